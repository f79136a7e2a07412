/**
 * Compound faults: successive and overlapping leaders, and machines whose messages are lost, delayed and
 * duplicated. Runs the worker registry, the direct and relayed handling of heartbeats, and the accounting of used
 * resources against model workers that follow the protocol.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pack, unpack } from 'msgpackr';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { isUnreachable } from '../src/provisioning/machine-health.js';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeJobKey } from '../src/jobs/keys.js';
import {
  type LogEntry,
  isComplete,
  type Job,
  type JobChange,
  NO_HEADER,
  taskKey,
} from '../src/jobs/model.js';
import { Contacts } from '../src/leadership/contacts.js';
import type { CycleContext } from '../src/scheduler/cycle-context.js';
import { placedTasksOf } from '../src/scheduler/cycle-input.js';
import { hasExited } from '../src/workers/observed-exits.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import {
  type HeartbeatResponses,
  HEARTBEAT_PATH,
  HeartbeatReader,
  encodeOrders,
} from '../src/workers/codec.js';
import { heartbeatReceiver, heartbeatHandler } from '../src/workers/heartbeat-handler.js';
import { responseAt, relayHandler } from '../src/workers/heartbeat-relay.js';
import { job as anyJob } from './support/job.js';
import { RandomSource } from './support/random-source.js';
import { type WorkerWorld, noteFault, type TaskSpec, VirtualTime, Worker } from './support/machines.js';
import { worldSettings } from './support/settings.js';

const settings = worldSettings('n0');
const MAX_RUNNING = 9;
const MACHINE_COUNT = 7;
const FAULTY_UNTIL = seconds(150);
const END = seconds(420);
/** Delay until enough controllers have acknowledged a new term. */
const ACKNOWLEDGEMENT_DELAY = [seconds(0.5), seconds(20)] as const;
const MAX_HOLD_ON = seconds(3);

/** A committed log entry, or the value of a job's own key. Its revision is its position in the log. */
type StoredChange = { readonly logEntry: LogEntry } | { readonly job: Job };

/** One leader: its view of the log, its registry and its scheduling cycles. */
class LeaderProcess {
  readonly jobState = new JobState();
  readonly registry: WorkerRegistry;
  ended = false;
  private readCount = 0;
  private busy = false;
  private waitingResponses: (() => void)[] = [];
  readonly direct: ReturnType<typeof heartbeatHandler>;
  readonly relayed: ReturnType<typeof relayHandler>;

  constructor(
    private readonly cluster: Cluster,
    readonly term: number,
    readonly began: Micros,
    private readonly acknowledgedAfter: number,
  ) {
    this.catchUp();
    this.registry = new WorkerRegistry(settings, this.jobState, term, began);
    const leaderTerm = { number: term, revision: 0, began };
    const leadership = {
      respondingTerm: () => (this.ended ? null : leaderTerm),
      mayStart: () => true,
      currentTerm: () => (this.mayAct() ? leaderTerm : null),
      depose: (token: number) => void (token > term && (this.ended = true)),
    };
    const service = {
      registry: this.registry,
      afterNextCycle: (callback: () => void) => void this.waitingResponses.push(callback),
    };
    const receive = heartbeatReceiver(
      leadership,
      () => service,
      () => cluster.time.now as Micros,
      new Contacts(settings),
      {
        suspected: false,
        noteToken: () => undefined,
      },
    );
    const ignoreContact = () => undefined;
    this.direct = heartbeatHandler(
      receive,
      () => true,
      (_, reply) => reply({ status: 503, body: '' }),
      () => null,
      ignoreContact,
      new HeartbeatReader(),
    );
    this.relayed = relayHandler(receive, new HeartbeatReader());
    cluster.time.after(5e5, () => this.runCycle());
  }

  private mayAct(): boolean {
    return !this.ended && this.cluster.term === this.term;
  }

  private catchUp(): void {
    for (; this.readCount < this.cluster.log.length; this.readCount++) {
      const change = this.cluster.log[this.readCount]!;
      if ('logEntry' in change) this.jobState.appendLogEntry(change.logEntry);
      else
        this.jobState.apply({
          key: activeJobKey(change.job.spec.id),
          value: encodeJob(change.job, 0),
          revision: this.readCount + 1,
        });
    }
  }

  private runCycle(): void {
    if (this.ended) return;
    this.cluster.time.after(5e5, () => this.runCycle());
    if (!this.mayAct() || this.busy) return;
    this.catchUp();
    const at = this.cluster.time.now as Micros;
    const { registry, jobState } = this;
    registry.expireLeases(at, at - this.began > this.acknowledgedAfter);
    registry.needsCycle = false;
    for (const job of jobState.jobs.values()) {
      if (job.placed.size > 0 && (job.cancelled || registry.isBrokenGang(job)))
        registry.stopRemainingTasks(job);
      if (this.cluster.isFaulty && this.cluster.random.chance(0.01))
        for (const task of job.placed.keys()) registry.stop(job, task, 0 as Micros, at);
    }
    this.commit(this.decide(at));
    for (const { machine, order } of registry.urgentOrders.splice(0))
      this.cluster.sendOrder(this.term, machine, order);
    for (const machine of registry.machines.values())
      if (
        machine.reported &&
        (at > registry.leaseExpiry(machine) + 40e6 || isUnreachable(machine, settings.workers, at))
      )
        this.cluster.remove(machine.id);
  }

  /**
   * The log entry of a scheduling cycle: observed exits, and starts of open tasks within the limit and at most
   * four per machine.
   */
  private decide(at: Micros): Map<string, JobChange> {
    const { registry, jobState, cluster } = this;
    const changes = new Map<string, JobChange>();
    for (const [id, exits] of registry.exits)
      changes.set(id, {
        completed: [...exits.completed],
        exited: [...exits.exited].filter((task) => !exits.completed.has(task)),
      });
    const placedTasks = placedTasksOf({ registry, jobState } as unknown as CycleContext, at);
    const tasksPerMachine = new Map<string, number>();
    for (const placedTask of placedTasks)
      tasksPerMachine.set(placedTask.machine, (tasksPerMachine.get(placedTask.machine) ?? 0) + 1);
    let runningCount = placedTasks.length;
    for (const job of jobState.jobs.values()) {
      const exits = registry.exits.get(job.spec.id);
      const isGang = job.spec.shape === 'gang';
      if (job.cancelled || isComplete(job) || at < registry.retryNotBefore(job, at)) continue;
      const remaining = [...job.placed.keys()].filter((task) => !exits || !hasExited(exits, task));
      const freeMachines = [...registry.machines.values()].filter(
        (machine) => registry.isSchedulable(machine, at) && (tasksPerMachine.get(machine.id) ?? 0) < 4,
      );
      const tasks = Array.from({ length: job.spec.tasks }, (_, task) => task).filter(
        (task) => !job.completed.has(task) && !exits?.completed.has(task) && !remaining.includes(task),
      );
      if (
        tasks.length === 0 ||
        (isGang && remaining.length > 0) ||
        tasks.length > freeMachines.length ||
        runningCount + tasks.length > MAX_RUNNING
      )
        continue;
      const tasksByMachine = new Map<string, number[]>();
      for (const task of tasks) {
        const machine = freeMachines.splice(cluster.random.int(freeMachines.length), 1)[0]!;
        tasksByMachine.set(machine.id, [task]);
        tasksPerMachine.set(machine.id, (tasksPerMachine.get(machine.id) ?? 0) + 1);
      }
      runningCount += tasks.length;
      changes.set(job.spec.id, {
        ...changes.get(job.spec.id),
        start: { attempt: job.attempt + 1, on: tasksByMachine },
      });
    }
    return changes;
  }

  private commit(jobs: Map<string, JobChange>): void {
    const { cluster } = this;
    if (jobs.size === 0) return this.releaseResponses();
    const logEntry = cluster.write(this, jobs);
    if (logEntry === null) return;
    const onCommitted = (): void => {
      this.busy = false;
      if (!this.mayAct()) return;
      this.catchUp();
      for (const [id, change] of jobs)
        this.registry.dropDurableExits(id, change.completed ?? [], change.exited ?? []);
      this.releaseResponses();
    };
    // A late commit response: the next leader may be the first to act on the entry.
    const delay =
      cluster.isFaulty && cluster.random.chance(0.1)
        ? cluster.random.between(1e6, 3e6)
        : cluster.random.between(1e3, 5e4);
    this.busy = true;
    cluster.time.after(delay, onCommitted);
  }

  private releaseResponses(): void {
    for (const respond of this.waitingResponses.splice(0)) respond();
  }

  stop(): void {
    this.ended = true;
    this.releaseResponses();
  }
}

/** The machines, the leaders, the log of committed changes, and the rules that are checked. */
class Cluster implements WorkerWorld {
  readonly time = new VirtualTime();
  readonly random: RandomSource;
  readonly workers = new Map<string, Worker>();
  readonly running = new Map<string, { machine: string; attempt: number }>();
  readonly finished = new Set<string>();
  readonly violations: string[] = [];
  readonly log: StoredChange[] = [];
  term = 0;
  isFaulty = true;
  private lastSequence = 0;
  private leaders: LeaderProcess[] = [];
  private readonly specs = new Map<string, TaskSpec>();
  private readonly leaderOf = new Map<Worker, LeaderProcess>();
  private readonly removedBy = new Map<string, LeaderProcess>();
  private readonly cancelledAt = new Map<string, number>();
  /** The lowest term whose leader observed a task's exit, and the terms that recorded exits of a job. */
  private readonly firstObservedBy = new Map<string, number>();
  private readonly recordedBy = new Map<string, Set<number>>();

  constructor(
    seed: number,
    readonly seenFaults: Map<string, number>,
  ) {
    this.random = new RandomSource(seed);
    const { random, time } = this;
    for (let index = 0; index < 26; index++) {
      const gangSize = random.chance(0.5) ? 2 + random.int(2) : 0;
      const tasks = gangSize || 1 + random.int(3);
      const job = anyJob(`job-${index}`, { spot: false, shape: gangSize > 0 ? 'gang' : 'array', tasks });
      const runTime = random.chance(0.5) ? random.between(2e5, 4e6) : random.between(1e7, 4e7);
      this.specs.set(job.spec.id, { id: job.spec.id, gangSize, runTime });
      time.after(random.between(0, FAULTY_UNTIL * 0.8), () => this.log.push({ job }));
      if (random.chance(0.1))
        time.after(random.between(FAULTY_UNTIL * 0.8, FAULTY_UNTIL), () => {
          this.cancelledAt.set(job.spec.id, time.now);
          this.log.push({ job: { ...job, placed: new Map(), completed: new Set(), cancelled: true } });
        });
    }
    for (let index = 0; index < MACHINE_COUNT + 2; index++) this.boot(`vm-${index}`);
    this.elect();
    for (let at = 25e6; at < FAULTY_UNTIL; at += random.between(2e7, 45e6))
      time.after(at, () => this.changeLeader());
    for (let index = 0; index < 4; index++)
      time.after(random.between(0, FAULTY_UNTIL), () => {
        const worker = [...this.workers.values()][random.int(this.workers.size)]!;
        if (random.chance(0.3)) {
          worker.stop();
          // The cloud lists the machine as failed after a while, and it is deleted.
          time.after(random.between(2e6, 3e7), () => this.remove(worker.id));
        } else worker.unreachableUntil = random.chance(0.2) ? END : time.now + random.between(5e6, 6e7);
      });
    time.after(FAULTY_UNTIL, () => {
      this.isFaulty = false;
      for (let index = 0; index < MACHINE_COUNT; index++) this.boot(`vm-1${index}`);
    });
    this.checkRules();
  }

  specOf(key: string): TaskSpec {
    return this.specs.get(key.slice(0, key.indexOf('/')))!;
  }

  private boot(id: string): void {
    this.workers.set(id, new Worker(id, this));
  }

  /** The cloud has confirmed the machine's deletion to the current leader. */
  remove(id: string): void {
    const worker = this.workers.get(id);
    if (worker?.alive && worker.isUnreachable) noteFault(this, 'unreachable machine returned');
    worker?.stop();
    const leader = this.leaders[this.leaders.length - 1]!;
    leader.registry.removeMachine(id);
    this.removedBy.set(id, leader);
  }

  private elect(): void {
    this.term++;
    const acknowledgedAfter = this.random.between(...ACKNOWLEDGEMENT_DELAY);
    const leader = new LeaderProcess(this, this.term, this.time.now as Micros, acknowledgedAfter);
    // An older leader that has not stepped down continues until enough controllers have acknowledged the new term,
    // and for as long as their earlier confirmations remain valid.
    for (const previous of this.leaders)
      this.time.after(acknowledgedAfter + this.random.between(0, MAX_HOLD_ON), () => previous.stop());
    this.leaders = [...this.leaders.filter((other) => !other.ended), leader];
  }

  private changeLeader(): void {
    const current = this.leaders[this.leaders.length - 1]!;
    // The current leader ends, or keeps responding to heartbeats without access to the state service.
    if (this.random.chance(0.5)) current.stop();
    else noteFault(this, 'two leaders respond');
    // Some workers become unreachable during the change of leader.
    for (const worker of this.workers.values())
      if (this.random.chance(0.25))
        worker.unreachableUntil = Math.max(
          worker.unreachableUntil,
          this.time.now + this.random.between(3e6, 3e7),
        );
    this.time.after(this.random.between(0, 1e6), () => this.elect());
  }

  write(leader: LeaderProcess, jobs: Map<string, JobChange>): LogEntry | null {
    if (leader.term !== this.term) return null;
    const logEntry = { sequence: ++this.lastSequence, revision: this.log.length + 1, head: NO_HEADER, jobs };
    this.log.push({ logEntry });
    for (const [id, change] of jobs)
      for (const task of [...(change.completed ?? []), ...(change.exited ?? [])]) {
        const key = taskKey(id, task);
        if ((this.firstObservedBy.get(key) ?? leader.term) < leader.term)
          noteFault(this, 'exit observed by one leader, recorded by another');
        this.firstObservedBy.delete(key);
        const terms = this.recordedBy.get(id) ?? new Set();
        if (terms.size > 0 && !terms.has(leader.term))
          noteFault(this, 'exits of one job recorded in two terms');
        this.recordedBy.set(id, terms.add(leader.term));
      }
    return logEntry;
  }

  sendOrder(
    term: number,
    machine: { id: string; incarnation: number },
    order: Parameters<typeof encodeOrders>[1][number],
  ): void {
    const delay = this.isFaulty && this.random.chance(0.3) ? this.random.between(1e6, 2e7) : 2e4;
    const body = encodeOrders(term, [order], machine.incarnation);
    this.time.after(delay, () => this.workers.get(machine.id)?.receiveOrders(body, delay));
  }

  deliver(body: string, worker: Worker, isCopy: boolean, reply: (response: string | null) => void): void {
    const answering = this.leaders.filter((candidate) => !candidate.ended);
    if (answering.length === 0) return reply(null);
    // A worker keeps talking to the leader that responded to it; a duplicated heartbeat reaches any leader.
    let leader = answering[this.random.int(answering.length)]!;
    if (!isCopy) {
      const previous = this.leaderOf.get(worker);
      if (previous !== undefined && !previous.ended && this.random.chance(0.95)) leader = previous;
      if (worker.fencingToken === this.term) leader = answering[answering.length - 1]!;
      this.leaderOf.set(worker, leader);
    }
    const heartbeat = JSON.parse(body) as {
      tick: number;
      pieces: { piece: string; status: string; cause?: string }[];
    };
    for (const task of heartbeat.pieces)
      if (task.status === 'ended')
        this.firstObservedBy.set(
          task.piece,
          Math.min(leader.term, this.firstObservedBy.get(task.piece) ?? leader.term),
        );
    if (isCopy && heartbeat.tick < worker.sequence) {
      const isKnown = leader.registry.machines.get(worker.id)?.reported === true;
      noteFault(
        this,
        isKnown
          ? 'duplicate heartbeat'
          : worker.alive
            ? 'duplicate before any other heartbeat'
            : 'duplicate from a removed machine',
      );
    }
    const replyWith = (response: { status: number; body: Buffer | string }): void =>
      reply(response.status === 200 ? response.body.toString() : null);
    if (this.random.chance(0.5))
      return void leader.direct({ method: 'POST', path: HEARTBEAT_PATH, body: Buffer.from(body) }, replyWith);
    leader.relayed({ method: 'POST', path: '/relay', body: pack([Buffer.from(body)]) }, (response) => {
      if (response.status !== 200) return replyWith(response);
      const [term, bodies] = unpack(response.body as Buffer) as [number, HeartbeatResponses['bodies']];
      replyWith(responseAt({ term, bodies }, 0));
    });
  }

  /** Checks the rules ten times per second. */
  private checkRules(): void {
    if (this.running.size > MAX_RUNNING)
      this.violations.push(`${this.running.size} tasks run at once, over the limit`);
    for (const [id, leader] of this.removedBy)
      if (leader.registry.machines.has(id)) this.violations.push(`${id} is known again after its removal`);
    for (const [key, { machine }] of this.running) {
      const cancelledAt = this.cancelledAt.get(key.slice(0, key.indexOf('/')));
      if (cancelledAt !== undefined && this.time.now > cancelledAt + settings.workers.cancel)
        this.violations.push(`${key} still runs on ${machine} after its cancellation`);
    }
    if (this.time.now < END) this.time.after(1e5, () => this.checkRules());
  }

  run(): void {
    this.time.runUntil(END);
    const { jobState } = this.leaders[this.leaders.length - 1]!;
    for (const job of jobState.jobs.values()) {
      if (job.cancelled ? job.placed.size > 0 : !isComplete(job))
        this.violations.push(`${job.spec.id} has not finished`);
      for (const task of job.completed)
        if (!this.finished.has(taskKey(job.spec.id, task)))
          this.violations.push(`${job.spec.id}/${task} is recorded as completed but did not complete`);
    }
  }
}

const COMPOUND_FAULTS = [
  'exit observed by one leader, recorded by another',
  'exits of one job recorded in two terms',
  'two leaders respond',
  'lease of an unreachable worker expired',
  'unreachable machine returned',
  'duplicate heartbeat',
  'duplicate before any other heartbeat',
  'duplicate from a removed machine',
  'delayed order executed',
  'delayed order of an older leader',
  'delayed order for an older incarnation',
];

test('no rule is violated when heartbeats, orders and leaders are late, duplicated or lost', () => {
  const seenFaults = new Map<string, number>();
  for (let seed = 1; seed <= 60; seed++) {
    const cluster = new Cluster(seed, seenFaults);
    cluster.run();
    assert.deepEqual(cluster.violations, [], `seed ${seed}`);
  }
  for (const fault of COMPOUND_FAULTS)
    assert.ok((seenFaults.get(fault) ?? 0) >= 10, `${fault}: ${seenFaults.get(fault) ?? 0} times`);
});
