/**
 * A whole deployment on virtual time: the real controllers, stand-ins for everything else, seeded faults, and the
 * protocol's rules checked after every step. This module joins the parts; each part's job is said in its own module.
 */
import type { Effect } from 'effect';
import type { HttpResponse, HttpRequest } from '@lilacvalve/runtime/http-server';
import type { MachineType } from '@lilacvalve/controller/provisioning/model';
import { LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import type { Controller } from '@lilacvalve/controller/controller';
import type { Settings } from '@lilacvalve/controller/settings/settings';
import { RandomSource } from '@lilacvalve/controller/support/random-source';
import { worldSettings } from '@lilacvalve/controller/support/settings';
import { AccountsCheck } from './accounts-check.js';
import { StartLatencyCheck, type LeastRow } from './start-latency-check.js';
import { applyCalendars } from './calendar-operators.js';
import { CapacityCheck } from './capacity-check.js';
import { Cloud } from './cloud.js';
import { Controllers } from './controllers.js';
import { UsageCount } from './usage-count.js';
import { loadBurstArrival } from './load-burst.js';
import type { Cutoffs } from './cutoffs.js';
import { DataLoss } from './data-loss.js';
import { type Size, SMALL } from './deployment-size.js';
import { DuplicateDelivery } from './duplicate-delivery.js';
import { FaultInjector } from './fault-injector.js';
import { FaultLog } from './fault-log.js';
import type { Faults } from './faults.js';
import { History } from './history.js';
import { coming, LENDING_TEAMS, Loans, Serving } from './lending.js';
import { Links, type LinkState } from './links.js';
import { TIGHT_TEAMS } from './scenarios/at-limit.js';
import { SCENARIO_NAMES } from './scenarios/scenario-names.js';
import { Scenarios } from './scenarios/scenarios.js';
import { type Place, Rules } from './rules.js';
import { hostScenarios } from './scenario-host.js';
import { StateService } from './state-service/state-service.js';
import { Time } from './time.js';
import { type Submission, Users } from './users.js';
import type { JobTruth } from './job-truth.js';
import type { TaskWorld } from './worker/task-runner.js';
import { type WorkerNet, Worker } from './worker/worker.js';

/** The rules and checks are looked at this often, besides the rules' own check after every event. Microseconds. */
const CHECK_EVERY = 1e6;
const ACCOUNTS_EVERY = 5e6;
/** A day goes on for so long after the last fault, for a job that nobody answers for to show. */
const SCENARIOS_GO_ON = 90e6;
/** A day without scenarios may end so long after its faults. */
const ENDS_AFTER = 60e6;
/** Users who ask about jobs that nobody has submitted. */
const STRANGERS = 5;

/** One simulated deployment, and the day that is played in it. The same seed, faults and size give the same day. */
export class World {
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly rules: Rules;
  readonly log: FaultLog;
  readonly controllers: Controllers;
  readonly cloud: Cloud;
  readonly workers = new Map<string, Worker>();
  readonly users: Users;
  readonly dataLoss: DataLoss;
  /** Every answer of a day on which nothing is lost. After a loss, `rules` and `dataLoss` say what must still be known. */
  readonly history: History | null;
  readonly begun = new StartLatencyCheck();
  readonly serving = new Serving();
  readonly loans: Loans | null;
  readonly capacity: CapacityCheck;
  /** null: no scenario of compound faults is on. */
  readonly scenarios: Scenarios | null;
  /** null: jobs have no cutoffs, or the day has not begun. */
  cutoffs: Cutoffs | null = null;
  /** Tasks that a worker killed because its lease expired. */
  killed = 0;
  private readonly settings: (label: string) => Settings;
  private readonly limits: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>;
  private readonly duplicates: DuplicateDelivery;
  private readonly injector: FaultInjector;
  private readonly accounts: AccountsCheck;

  /** `print`: writes what the controllers log to stdout. */
  constructor(
    seed: number,
    private readonly faults: Faults,
    private readonly size: Size = SMALL,
    print = false,
  ) {
    this.settings = settingsOf(seed, faults, size);
    const { teams, workers } = this.settings('n0');
    this.limits = Object.fromEntries(teams.map((team) => [team.name, team.limit]));
    const lossless = (faults.losses?.length ?? 0) === 0;
    this.time = new Time(seed, print);
    this.history = lossless ? new History() : null;
    this.random = new RandomSource(seed);
    const { random, time } = this;
    this.links = new Links(time, random);
    this.state = new StateService(time, random, this.links);
    if (faults.manySmallJobs) this.state.limits = { rps: 100, writeRps: 25, nodes: size.nodes.length };
    this.rules = new Rules(workers.cancel, this.limits);
    const { links, rules, state } = this;
    this.log = new FaultLog(time, rules);
    const { log } = this;
    this.duplicates = new DuplicateDelivery(faults.echoes === true, time, random, log);
    const scenarios = (): Scenarios | null => this.scenarios;
    this.cloud = new Cloud({
      time,
      random,
      rules,
      log,
      listAge: faults.oldLists ? 20e6 : 8e6,
      workers: this.workers,
      startWorker: (place, type) => this.startWorker(place, type),
      scenarios,
      onRent: (count) => this.capacity.rented(count),
    });
    const { cloud } = this;
    this.controllers = new Controllers({
      nodes: size.nodes,
      settings: this.settings,
      time,
      random,
      links,
      state,
      duplicates: this.duplicates,
      log,
      cloud: () => cloud.port(),
      workers: this.workers,
      losesOrders: faults.lending === true,
      onHeartbeat: (label) => this.scenarios?.heartbeatReceived(label),
      onCrash: (node) => this.dataLoss.crashed(node),
    });
    const { controllers } = this;
    this.dataLoss = new DataLoss({ time, random, links, state, controllers, rules, log });
    const { dataLoss } = this;
    this.users = new Users({
      time,
      random,
      links,
      controllers,
      rules,
      history: this.history,
      memory: dataLoss.memory,
      log,
      size,
      brokenShare: faults.brokenJobs ? 0.5 : 0.03,
      cpuLimit: (team) => this.limits[team]?.cpus,
      begun: this.begun,
      scenarios,
    });
    const { users } = this;
    this.capacity = new CapacityCheck({
      time,
      rules,
      cloud,
      workers: this.workers,
      jobs: users.jobs,
      limits: this.limits,
      remembers: (id) => dataLoss.remembers(id),
      checksCost: faults.fastBoots === true || faults.outboundLoss === true,
    });
    const count = this.countCommits();
    this.accounts = new AccountsCheck(controllers, state, count, (machine) => cloud.kindOf(machine));
    this.loans = faults.lending
      ? new Loans(
          teams,
          (what) => this.rules.broken.push(what),
          (step) => this.injector.loanStep(step, ''),
        )
      : null;
    if (this.loans) state.onCommit = (key, value, stamp) => this.loans?.committed(key, value, stamp);
    const parts = { time, random, links, state, rules, controllers, cloud, users, log };
    this.scenarios =
      faults.compoundFaults || SCENARIO_NAMES.some((name) => faults[name])
        ? new Scenarios(
            hostScenarios({
              ...parts,
              workers: this.workers,
              settings: workers,
              injector: () => this.injector,
            }),
          )
        : null;
    rules.onStart = (task, machine) => this.scenarios?.started(task, machine);
    rules.onComplete = (task) => this.scenarios?.completed(task);
    rules.onOrdered = (task) => this.scenarios?.ordered(task);
    this.injector = new FaultInjector({
      ...parts,
      faults,
      size,
      workers: this.workers,
      dataLoss,
      duplicates: this.duplicates,
      scenarios: this.scenarios,
      applyCalendars: (troubled) => {
        const lostAt = (): number => dataLoss.at[dataLoss.at.length - 1] ?? Number.NEGATIVE_INFINITY;
        this.cutoffs = applyCalendars(troubled, { time, random, state, controllers, rules, log, lostAt });
      },
    });
    time.onStep = () => rules.check(time.now);
    for (const label of size.nodes) controllers.start(label);
    if (!lossless) dataLoss.observe();
    if (faults.lost) state.lossy = 0.03;
  }

  /** The controllers' labels. */
  get nodes(): readonly string[] {
    return this.size.nodes;
  }

  /** The controllers that are up. */
  up(): { readonly name: string; readonly node: Controller }[] {
    return this.controllers.up();
  }

  /** The label of the controller that may act as leader. */
  leader(): string | undefined {
    return this.controllers.leader();
  }

  /** A request to a controller's listener; null: it is down. */
  handle(label: string, request: HttpRequest): Effect.Effect<HttpResponse> | null {
    return this.controllers.handle(label, request);
  }

  /** A controller ends without a word, and is back after so many microseconds. */
  crash(label: string, back: number): void {
    this.controllers.crash(label, back);
  }

  /** Both directions between two ends fail for so many microseconds. */
  cut(one: string, other: string, state: LinkState, lasts: number): void {
    this.injector.cut(one, other, state, lasts);
  }

  /** A user submits a job now. Its id; undefined: the drawn one was taken. */
  submit(submission: Submission = {}): string | undefined {
    return this.users.submit(submission);
  }

  /**
   * Plays a day: some jobs, faults until `troubled`, then a time of at most `quiet` in which everything should come to its
   * end. All in microseconds. What is wrong is in `rules.broken` afterwards.
   */
  play(jobs: number, troubled: number, quiet: number): void {
    this.scheduleUsers(jobs, troubled);
    this.injector.schedule(troubled);
    this.run(troubled, quiet);
    const { dataLoss, loans, rules } = this;
    if (dataLoss.unwitnessed === 0) rules.broken.push(...this.accountsWrong());
    if (loans && this.unfinished().length === 0) loans.end();
  }

  /** What is wrong with the accounts of the controllers that are up, a line each. */
  accountsWrong(): string[] {
    return this.accounts.wrong(this.dataLoss.at.length === 0);
  }

  /** Accepted jobs that nobody cancelled and that are not called done. */
  unfinished(): string[] {
    return [...this.users.jobs.values()]
      .filter((job) => this.rules.state(job.id) === 'accepted' && job.shape !== 'daemon' && !job.broken)
      .filter((job) => this.dataLoss.remembers(job.id))
      .map((job) => job.id);
  }

  /** The part of the accepted jobs of each team that came to their end, those cancelled or broken left out. */
  served(): Record<string, number> {
    const byTeam = new Map<string, { all: number; ended: number }>();
    for (const job of this.users.jobs.values()) {
      const state = this.rules.state(job.id);
      if (state === undefined || state === 'aborted' || job.shape === 'daemon' || job.broken) continue;
      if (state === 'accepted' && !this.dataLoss.remembers(job.id)) continue;
      let counted = byTeam.get(job.team);
      if (!counted) byTeam.set(job.team, (counted = { all: 0, ended: 0 }));
      counted.all++;
      if (state === 'done') counted.ended++;
    }
    return Object.fromEntries([...byTeam].sort().map(([team, { all, ended }]) => [team, ended / all]));
  }

  /** Served and begun in time, by class, team and each class's largest. */
  least(): LeastRow[] {
    return this.begun.rows((id) => this.rules.state(id));
  }

  /** Ends all controllers; the world can't be played any more. */
  stop(): void {
    this.controllers.stop();
    this.time.run(this.time.now + 1e6);
  }

  private scheduleUsers(jobs: number, troubled: number): void {
    const { random, time, users } = this;
    for (let i = 0; i < jobs; i++) {
      if (this.size.crowd) {
        const arrival = loadBurstArrival(random);
        time.after(random.between(0, troubled * 0.7), () => users.submit({ arrival }));
        continue;
      }
      const cancelAfter = random.chance(0.25) ? random.between(1e6, 60e6) : null;
      time.after(random.between(0, troubled * 0.7), () => users.submit({ cancelAfter }));
    }
    for (let i = 0; i < STRANGERS; i++) time.after(random.between(0, troubled), () => users.pollUnknown());
    if (!this.faults.lending) return;
    for (const { arrival, at, cancelAfter } of coming(random, troubled, this.size === SMALL ? 1 : 2))
      time.after(at, () => users.submit({ arrival, cancelAfter }));
  }

  /** Until a rule is broken, all is done, or the day's time is over. */
  private run(troubled: number, quiet: number): void {
    const { capacity, dataLoss, rules, time } = this;
    const end = troubled + quiet;
    for (let at = 0; at < end && !dataLoss.isDayBroken(); at += CHECK_EVERY) {
      time.run(at);
      dataLoss.settle();
      this.checkLending();
      capacity.look();
      if (at % ACCOUNTS_EVERY === 0) rules.broken.push(...this.accounts.apart());
      dataLoss.judge();
      if (this.scenarios && at < rules.quiescentAt + SCENARIOS_GO_ON) continue;
      if (capacity.open) continue;
      if (at > troubled + ENDS_AFTER && this.unfinished().length === 0) break;
    }
  }

  private startWorker(place: Place, type: MachineType): Worker {
    const faulty =
      this.faults.faultyMachines === true && this.random.chance(0.15) && this.log.strike('faultyMachines');
    return new Worker({
      place,
      room: type,
      time: this.time,
      random: this.random,
      net: this.workerNet(),
      rules: this.rules,
      world: this.taskWorld(),
      timing: this.settings('n0').workers,
      faulty,
      onKilled: (tasks) => (this.killed += tasks),
    });
  }

  private workerNet(): WorkerNet {
    const { controllers, duplicates, links, scenarios } = this;
    return {
      echo: (from, again) => duplicates.sending(from, again),
      heartbeatSent: (by, label, body) => scenarios?.heartbeatSent(by, label, body),
      stallFor: (by) => scenarios?.stallFor(by) ?? 0,
      resumed: (lapsed, order) => scenarios?.resumed(lapsed, order),
      stoppedDirectly: (by, task) => scenarios?.stoppedDirectly(by, task),
      reaped: (task, done) => scenarios?.reaped(task, done),
      handle: (label, request) => controllers.handle(label, request),
      links,
      nodes: controllers.nodes,
    };
  }

  private taskWorld(): TaskWorld {
    return {
      jobs: this.users.jobs,
      begun: this.begun,
      workers: this.workers,
      step: (what, machine) => this.injector.loanStep(what, machine),
    };
  }

  /** Follows every change of the store: for the accounts, the scenarios, and the rule that no record is written twice. */
  private countCommits(): UsageCount {
    const { cloud, dataLoss, rules, state, time, users } = this;
    const count = new UsageCount(
      (id) => countedJob(users.jobs.get(id)),
      (machine) => cloud.kindOf(machine),
    );
    const records = new Set<string>();
    state.onPut = (key, value) => {
      count.put(key, value);
      this.scenarios?.committed(key, value);
      // Not even once it is compacted and deleted: a late copy of it finds no key, and must not commit.
      if (!key.startsWith(LOG_ENTRIES) || value === undefined || dataLoss.at.length > 0) return;
      if (records.has(key)) rules.broken.push(`record_rewritten: ${key} at ${time.now}`);
      records.add(key);
    };
    state.onSpoilt = (key) => count.spoil(key);
    return count;
  }

  /** Loans against their rules, and how many replicas of each service are up. */
  private checkLending(): void {
    if (!this.loans) return;
    this.loans.check(
      this.time.now,
      this.up().map(({ node }) => node.jobState),
      this.leader() !== undefined,
    );
    const running = new Map<string, number>();
    for (const worker of this.workers.values())
      for (const task of worker.tasks.values()) {
        if (task.status !== 'running') continue;
        const id = task.key.slice(0, task.key.indexOf('/'));
        running.set(id, (running.get(id) ?? 0) + 1);
      }
    for (const job of this.users.jobs.values()) {
      if (job.shape !== 'daemon' || job.gpus === 0 || !job.image.startsWith('w-')) continue;
      if (this.rules.state(job.id) === 'accepted' && !this.rules.cancelAsked(job.id))
        this.serving.second(this.time.now, job, running.get(job.id) ?? 0);
    }
  }
}

/** Each controller's settings. On every other day few records are kept, so that they are compacted again and again. */
const settingsOf = (seed: number, faults: Faults, size: Size): ((label: string) => Settings) => {
  const { state, workers } = worldSettings('n0');
  return (label) =>
    worldSettings(label, {
      state: seed % 2 === 0 ? { ...state, maxLogEntries: 12 } : state,
      controllerCount: size.nodes.length,
      peers: size.nodes
        .filter((other) => other !== label)
        .map((other) => ({ label: other, zone: 'a', address: '' })),
      ...(faults.lending ? { teams: LENDING_TEAMS } : faults.atLimit ? { teams: TIGHT_TEAMS } : {}),
      ...(size.workers ? { workers: { ...workers, ...size.workers } } : {}),
    });
};

/** What the accounts count of a job: thousandths of CPUs, GPUs and GB of memory. */
const countedJob = (job: JobTruth | undefined): ReturnType<ConstructorParameters<typeof UsageCount>[0]> =>
  job && { team: job.team, jobClass: job.jobClass, shape: [job.cpus * 1000, job.gpus * 1000, 2000] };
