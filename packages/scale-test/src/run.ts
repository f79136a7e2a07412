/** One scale run: starts everything, plays the users, injects a fault, measures, and checks the rules. */
import type { Histogram } from 'hdr-histogram-js';
import { RunChild } from './child-process.js';
import { nowMs, sleepMs } from './clock.js';
import { Cloud } from './cloud.js';
import {
  type ClusterSettings,
  controllerAddresses,
  ControllerProcess,
  settingsDirectory,
  settingsText,
} from './controllers.js';
import { EventOrder } from './event-order.js';
import { GangBoard } from './gang-board.js';
import { HttpLine } from './http-line.js';
import { type JsonServer, serveJson } from './json-server.js';
import type { FromChild } from './messages.js';
import type { MachineDescription, WorkerCommand } from './model.js';
import { type ProcessUsage, usageOf } from './process-usage.js';
import { seededRandom } from './random.js';
import { exceeded, type ResourceLimits, resourceUse } from './resource-guard.js';
import type { StateCounts } from './state-service.js';
import { Truth, type Violation } from './truth.js';
import { type UserFigures, Users } from './users.js';
import { joinFigures, unpackHistogram, type WorkerFigures } from './worker-counts.js';
import { machineKinds, objectives, teamSettings, Workload, type WorkloadOptions } from './workload.js';

export const FAULTS = ['none', 'kill-leader', 'restart-tenth'] as const;
export type Fault = (typeof FAULTS)[number];

export interface RunOptions extends WorkloadOptions {
  readonly controllers: number;
  readonly reportS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly requestsPerS: number;
  readonly writesPerS: number;
  readonly valueKb: number;
  readonly transactionOps: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly connections: number;
  readonly workersPerProcess: number;
  readonly warmupS: number;
  readonly lengthS: number;
  readonly seed: number;
  readonly fault: Fault;
  readonly program: string;
  readonly flags: readonly string[];
  readonly logLevel: string;
  readonly profileDir?: string;
  readonly limits: ResourceLimits;
}

export interface RoleUsage {
  readonly role: string;
  readonly processes: number;
  /** Of a core, by all processes of the role together. */
  readonly cores: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

export interface RunResult {
  readonly lengthS: number;
  readonly machines: number;
  readonly tasksHeld: number;
  readonly startsPerS: number;
  readonly endsPerS: number;
  /** The longest time without any start. */
  readonly longestPauseMs: number;
  readonly workers: WorkerFigures;
  readonly answerMs: Histogram;
  /** Bytes a second of one worker, both directions, headers included. */
  readonly workerBytesPerS: { readonly median: number; readonly p99: number };
  readonly users: UserFigures;
  readonly roles: readonly RoleUsage[];
  readonly state: StateCounts;
  readonly cloudCalls: number;
  readonly unexpectedEnds: readonly string[];
  readonly violations: readonly Violation[];
  /** Why the run was cut short; null: it was not. */
  readonly stopped: string | null;
}

export interface Progress {
  readonly phase: string;
  readonly secondsLeft: number;
  readonly machines: number;
  readonly tasks: number;
  readonly started: number;
}

const CHECK_EVERY_MS = 100;
const GUARD_EVERY_MS = 1000;
const CONTROLLER_BACK_MS = 6000;
const STOP_WITHIN_MS = 8000;
const GANG_WAIT_MS = 35_000;
const GANG_PEER_MS = 5000;
const BOOT_MS = 2000;
/** The fault comes after this part of the measured time. */
const FAULT_AT = 0.3;
const RESTARTED_SHARE = 0.1;

type UsageByPid = ReadonlyMap<number, ProcessUsage>;

export class ScaleRun {
  private readonly random;
  private readonly machines = new Map<string, MachineDescription>();
  private readonly hostOf = new Map<string, RunChild>();
  private readonly unexpectedEnds: string[] = [];
  private workers: RunChild[] = [];
  private state!: RunChild;
  private stateAddress = '';
  private controllers: ControllerProcess[] = [];
  private cloud!: Cloud;
  private cloudServer: JsonServer | null = null;
  private truth!: Truth;
  private users!: Users;
  private gangs!: GangBoard;
  private events!: EventOrder;
  private submitting = true;
  private stopped: string | null = null;

  constructor(
    private readonly options: RunOptions,
    private readonly childProgram: string,
    private readonly onProgress: (progress: Progress) => void,
  ) {
    this.random = seededRandom(options.seed);
  }

  async play(): Promise<RunResult> {
    const timers: NodeJS.Timeout[] = [];
    try {
      await this.setUp();
      timers.push(setInterval(() => this.check(), CHECK_EVERY_MS));
      timers.push(setInterval(() => this.guard(), GUARD_EVERY_MS));
      void this.submit();
      await this.wait('warming up', this.options.warmupS);
      return await this.measure();
    } finally {
      for (const t of timers) clearInterval(t);
      await this.end();
    }
  }

  private async setUp(): Promise<void> {
    const { options: o } = this;
    const timing = {
      reportMs: o.reportS * 1000,
      leaseMs: o.leaseS * 1000,
      gangWaitMs: GANG_WAIT_MS,
      gangPeerMs: GANG_PEER_MS,
      cancelMs: o.cancelS * 1000,
    };
    const kinds = machineKinds(o);
    const teams = teamSettings(o);
    const addresses = await controllerAddresses(o.controllers, o.zones);
    this.truth = new Truth({
      limits: new Map(teams.map((t) => [t.name, { vcpus: t.cpus_max, accelerators: t.gpus_max }])),
      cancelMs: timing.cancelMs,
      machine: (id) => this.machines.get(id),
    });
    this.gangs = new GangBoard(
      GANG_PEER_MS,
      (id) => this.truth.description(id),
      (command) => this.broadcast(command),
    );
    this.events = new EventOrder((event) => this.truth.take(event));
    this.cloud = new Cloud({
      kinds,
      bootMs: BOOT_MS,
      random: this.random,
      up: (machine) => this.machineUp(machine),
      down: (id) => this.hostOf.get(id)?.send({ kind: 'command', command: { kind: 'machine-down', id } }),
    });
    this.cloudServer = await serveJson((request, respond) => this.cloud.handle(request, respond));
    this.state = new RunChild(this.childProgram);
    const limits = { requestsPerS: o.requestsPerS, writesPerS: o.writesPerS };
    this.stateAddress = (await this.state.setUp({ role: 'state', limits }))!;
    const groups = Math.ceil(o.machines / o.workersPerProcess);
    this.workers = Array.from({ length: groups }, () => new RunChild(this.childProgram));
    await Promise.all(
      this.workers.map((child, i) => {
        child.onMessage = (message) => this.fromWorkers(message);
        return child.setUp({
          role: 'workers',
          kinds,
          controllers: addresses,
          timing,
          seed: o.seed + i + 1,
        });
      }),
    );
    const settings: ClusterSettings = {
      cloud: this.cloudServer.address,
      state: this.stateAddress,
      zones: o.zones,
      teams,
      objectives: objectives(),
      timing,
      requestsPerS: o.requestsPerS,
      writesPerS: o.writesPerS,
      valueKb: o.valueKb,
      transactionOps: o.transactionOps,
      cores: o.cores,
      memoryMb: o.memoryMb,
      connections: o.connections,
    };
    const directory = settingsDirectory();
    this.controllers = addresses.map(
      (a) =>
        new ControllerProcess(a, settingsText(a, addresses, settings), directory, {
          program: o.program,
          flags: o.flags,
          logLevel: o.logLevel,
          ...(o.profileDir === undefined ? {} : { profileDir: o.profileDir }),
          onUnexpectedEnd: (label, code) => this.endedByItself(label, code),
        }),
    );
    for (const c of this.controllers) c.start();
    this.users = new Users({
      controllers: addresses,
      isUp: (label) => this.controllers.find((c) => c.address.label === label)?.isUp === true,
      random: this.random,
      truth: this.truth,
      upload: (job) => this.broadcast({ kind: 'job', job }),
    });
  }

  private endedByItself(label: string, code: number | null): void {
    this.unexpectedEnds.push(`${label} ended with status ${code}`);
    // As a platform does.
    setTimeout(() => {
      if (this.submitting) this.controllers.find((c) => c.address.label === label)?.start();
    }, CONTROLLER_BACK_MS);
  }

  private machineUp(machine: MachineDescription): void {
    this.machines.set(machine.id, machine);
    const host = this.workers[this.machines.size % this.workers.length]!;
    this.hostOf.set(machine.id, host);
    host.send({ kind: 'command', command: { kind: 'machine-up', machine } });
  }

  private broadcast(command: WorkerCommand): void {
    for (const w of this.workers) w.send({ kind: 'command', command });
  }

  private fromWorkers(message: FromChild): void {
    if (message.kind === 'events') {
      this.events.add(message.events);
      for (const e of message.events) {
        this.gangs.take(e);
        if (e.kind === 'saved')
          this.broadcast({ kind: 'progress', job: e.job, task: e.task, progressMs: e.progressMs });
      }
    } else if (message.kind === 'result-kept')
      this.broadcast({ kind: 'finished', job: message.job, task: message.task });
  }

  private async submit(): Promise<void> {
    const workload = new Workload(this.options, this.random);
    let at = nowMs();
    while (this.submitting) {
      const { job, cancels } = workload.next();
      void this.users.play(job, cancels);
      at += (job.tasks / this.options.starts) * 1000;
      await sleepMs(Math.max(0, at - nowMs()));
    }
  }

  private check(): void {
    this.events.flush(nowMs());
    this.truth.checkCancelled(nowMs());
  }

  private pids(): Map<string, number[]> {
    const leading = this.leaderLabel;
    const pidsOf = (list: readonly ControllerProcess[]): number[] =>
      list.flatMap((c) => (c.pid === null ? [] : [c.pid]));
    return new Map([
      ['leading controller', pidsOf(this.controllers.filter((c) => c.address.label === leading))],
      ['other controllers', pidsOf(this.controllers.filter((c) => c.address.label !== leading))],
      ['hollow workers', this.workers.map((w) => w.pid)],
      ['state service', [this.state.pid]],
      ['users, cloud, checks', [process.pid]],
    ]);
  }

  private leaderLabel: string | null = null;

  private async lookForLeader(): Promise<void> {
    const line = new HttpLine();
    const reply = await line.ask(this.stateAddress, 'GET', '/kv/s/leader', '', 2000);
    line.close();
    if (reply?.status !== 200) return;
    this.leaderLabel = (JSON.parse(reply.body) as { value: { node: string } }).value.node;
  }

  private guard(): void {
    const use = resourceUse([...this.pids().values()].flat());
    this.stopped ??= exceeded(use, this.options.limits);
  }

  private async wait(phase: string, seconds: number): Promise<void> {
    const until = nowMs() + seconds * 1000;
    while (nowMs() < until && this.stopped === null) {
      await sleepMs(Math.min(1000, until - nowMs()));
      this.onProgress({
        phase,
        secondsLeft: Math.max(0, Math.round((until - nowMs()) / 1000)),
        machines: this.cloud.size,
        tasks: this.truth.presentTasks,
        started: this.truth.started,
      });
    }
  }

  private usage(): UsageByPid {
    const out = new Map<number, ProcessUsage>();
    for (const pid of [...this.pids().values()].flat()) {
      const usage = usageOf(pid);
      if (usage !== null) out.set(pid, usage);
    }
    return out;
  }

  private async measure(): Promise<RunResult> {
    const { options: o } = this;
    await this.lookForLeader();
    const roles = this.pids();
    for (const w of this.workers) w.send({ kind: 'reset' });
    this.users.resetFigures();
    const before = this.usage();
    const stateBefore = await this.stateCounts();
    const cloudBefore = this.cloud.calls;
    const startedBefore = this.truth.started;
    this.truth.longestPauseMs = 0;
    const completedBefore = this.truth.completed;
    const began = nowMs();
    await this.wait('measuring', o.lengthS * FAULT_AT);
    await this.inject(o.fault);
    await this.wait('measuring', o.lengthS * (1 - FAULT_AT));
    const lengthS = (nowMs() - began) / 1000;
    const after = this.usage();
    const stateAfter = await this.stateCounts();
    const answers = await Promise.all(this.workers.map((w) => w.ask({ kind: 'figures' }, 'workers-figures')));
    const workers = joinFigures(answers.map((a) => a.figures));
    this.events.flush(nowMs(), true);
    await sleepMs(FLUSH_MS);
    this.events.flush(nowMs(), true);
    const bytes = unpackHistogram(workers.workerBytes);
    return {
      lengthS,
      machines: this.cloud.size,
      tasksHeld: workers.tasksHeld,
      startsPerS: (this.truth.started - startedBefore) / lengthS,
      endsPerS: (this.truth.completed - completedBefore) / lengthS,
      longestPauseMs: Math.round(this.truth.longestPauseMs),
      workers,
      answerMs: unpackHistogram(workers.answerMs),
      workerBytesPerS: {
        median: bytes.getValueAtPercentile(50) / lengthS,
        p99: bytes.getValueAtPercentile(99) / lengthS,
      },
      users: this.users.figures,
      roles: [...roles].map(([role, pids]) => roleUsage(role, pids, before, after, lengthS)),
      state: difference(stateAfter, stateBefore),
      cloudCalls: this.cloud.calls - cloudBefore,
      unexpectedEnds: this.unexpectedEnds,
      violations: this.truth.violations,
      stopped: this.stopped,
    };
  }

  private async stateCounts(): Promise<StateCounts> {
    return (await this.state.ask({ kind: 'figures' }, 'state-figures')).counts;
  }

  private async inject(fault: Fault): Promise<void> {
    if (fault === 'restart-tenth') this.broadcast({ kind: 'restart-share', share: RESTARTED_SHARE });
    if (fault !== 'kill-leader') return;
    await this.lookForLeader();
    const leader = this.controllers.find((c) => c.address.label === this.leaderLabel);
    if (leader === undefined) return;
    leader.kill('SIGKILL');
    await leader.ended(STOP_WITHIN_MS);
    setTimeout(() => {
      if (this.submitting) leader.start();
    }, CONTROLLER_BACK_MS);
  }

  private async end(): Promise<void> {
    this.submitting = false;
    this.users?.stop();
    for (const c of this.controllers) c.kill('SIGTERM');
    await Promise.all(this.controllers.map((c) => c.ended(STOP_WITHIN_MS)));
    this.cloud?.end();
    this.cloudServer?.close();
    this.gangs?.end();
    for (const child of [...this.workers, ...(this.state === undefined ? [] : [this.state])]) child.end();
  }
}

/** Events of the last moments come within this time. */
const FLUSH_MS = 1600;

const roleUsage = (
  role: string,
  pids: readonly number[],
  before: UsageByPid,
  after: UsageByPid,
  lengthS: number,
): RoleUsage => {
  let cpuMs = 0;
  let residentMb = 0;
  let peakMb = 0;
  for (const pid of pids) {
    const now = after.get(pid);
    if (now === undefined) continue;
    cpuMs += now.cpuMs - (before.get(pid)?.cpuMs ?? 0);
    residentMb = Math.max(residentMb, now.residentMb);
    peakMb = Math.max(peakMb, now.peakMb);
  }
  return { role, processes: pids.length, cores: cpuMs / 1000 / lengthS, residentMb, peakMb };
};

const difference = (after: StateCounts, before: StateCounts): StateCounts => ({
  requests: after.requests - before.requests,
  changes: after.changes - before.changes,
  refused: after.refused - before.refused,
  followBytes: after.followBytes - before.followBytes,
  writtenBytes: after.writtenBytes - before.writtenBytes,
});
