/**
 * A whole deployment on virtual time: real controllers, stand-ins for all other components, seeded faults, and checks of
 * the protocol's rules after every event. This module connects the components; their own modules document them.
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
import { StartLatencyCheck, type ServiceLevel } from './start-latency-check.js';
import { applyCalendars } from './calendar-operators.js';
import { CapacityCheck } from './capacity-check.js';
import { Cloud } from './cloud.js';
import { Controllers } from './controllers.js';
import { UsageCount } from './usage-count.js';
import { loadBurstArrival } from './load-burst.js';
import type { CutoffCheck } from './cutoffs.js';
import { DataLoss } from './data-loss.js';
import { type Size, SMALL } from './deployment-size.js';
import { DuplicateDelivery } from './duplicate-delivery.js';
import { FaultInjector } from './fault-injector.js';
import { FaultLog } from './fault-log.js';
import type { Faults } from './faults.js';
import { History } from './history.js';
import { drawLendingJobs, LENDING_TEAMS, LoanCheck, ServiceAvailability } from './lending.js';
import { Links, type LinkState } from './links.js';
import { TIGHT_TEAMS } from './scenarios/at-limit.js';
import { SCENARIO_NAMES } from './scenarios/scenario-names.js';
import { Scenarios } from './scenarios/scenarios.js';
import { type MachineInfo, Rules } from './rules.js';
import { createScenarioWorld } from './scenario-host.js';
import { StateService } from './state-service/state-service.js';
import { Time } from './time.js';
import { type Submission, Users } from './users.js';
import type { JobTruth } from './job-truth.js';
import type { TaskWorld } from './worker/task-runner.js';
import { type WorkerNet, Worker } from './worker/worker.js';

/** Interval between two runs of the checks that do not run after every event, in microseconds. */
const CHECK_INTERVAL = 1e6;
/** Interval between two comparisons of the controllers' accounts, in microseconds. */
const ACCOUNTS_INTERVAL = 5e6;
/**
 * A day with scenarios continues for this long after the last fault, in microseconds, so that a job whose polls get no
 * response is detected.
 */
const AFTER_SCENARIOS = 90e6;
/** A day may end this long after its faults, in microseconds, once all jobs have finished. */
const MIN_QUIET = 60e6;
/** Number of polls for jobs that were never submitted. */
const UNKNOWN_JOB_POLLS = 5;

/** One simulated deployment and its day. The same seed, faults and size reproduce the same day. */
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
  /**
   * All responses of a day without data loss; null on days with one, when `rules` and `dataLoss` determine what
   * controllers must still know.
   */
  readonly history: History | null;
  readonly startLatency = new StartLatencyCheck();
  readonly serving = new ServiceAvailability();
  readonly loans: LoanCheck | null;
  readonly capacity: CapacityCheck;
  /** null: no scenario of compound faults is enabled. */
  readonly scenarios: Scenarios | null;
  /** null: jobs have no cutoffs, or the day has not started. */
  cutoffs: CutoffCheck | null = null;
  /** Number of tasks that workers killed because their lease expired. */
  killed = 0;
  private readonly settings: (label: string) => Settings;
  private readonly limits: Readonly<Record<string, { readonly cpus: number; readonly gpus: number }>>;
  private readonly duplicates: DuplicateDelivery;
  private readonly injector: FaultInjector;
  private readonly accounts: AccountsCheck;

  /** `print`: writes the controllers' logs to stdout. */
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
    if (faults.manySmallJobs)
      this.state.limits = { rps: 100, writeRps: 25, controllers: size.controllerLabels.length };
    this.rules = new Rules(workers.cancel, this.limits);
    this.state.transactionLimits = this.settings('n0').state;
    this.state.onRejected = (reason) => this.rules.recordRejectedTransaction(reason);
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
      labels: size.controllerLabels,
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
      onCrash: (controller) => this.dataLoss.crashed(controller),
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
      brokenFraction: faults.brokenJobs ? 0.5 : 0.03,
      cpuLimit: (team) => this.limits[team]?.cpus,
      startLatency: this.startLatency,
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
    const usageCount = this.countCommits();
    this.accounts = new AccountsCheck(controllers, state, usageCount, (machine) => cloud.kindOf(machine));
    this.loans = faults.lending
      ? new LoanCheck(
          teams,
          (what) => this.rules.violations.push(what),
          (step) => this.injector.loanStep(step, ''),
        )
      : null;
    if (this.loans) state.onCommit = (key, value, revision) => this.loans?.committed(key, value, revision);
    const components = { time, random, links, state, rules, controllers, cloud, users, log };
    this.scenarios =
      faults.compoundFaults || SCENARIO_NAMES.some((name) => faults[name])
        ? new Scenarios(
            createScenarioWorld({
              ...components,
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
      ...components,
      faults,
      size,
      workers: this.workers,
      dataLoss,
      duplicates: this.duplicates,
      scenarios: this.scenarios,
      applyCalendars: (troubled) => {
        const lostAt = (): number =>
          dataLoss.lossTimes[dataLoss.lossTimes.length - 1] ?? Number.NEGATIVE_INFINITY;
        this.cutoffs = applyCalendars(troubled, { time, random, state, controllers, rules, log, lostAt });
      },
    });
    time.onStep = () => rules.check(time.now);
    for (const label of size.controllerLabels) controllers.start(label);
    if (!lossless) dataLoss.observe();
    if (faults.lost) state.lossyFraction = 0.03;
  }

  /** The labels of all controllers. */
  get nodes(): readonly string[] {
    return this.size.controllerLabels;
  }

  /** The running controllers. */
  up(): { readonly name: string; readonly controller: Controller }[] {
    return this.controllers.up();
  }

  /** The label of the controller that currently has the right to act as leader. */
  leader(): string | undefined {
    return this.controllers.leader();
  }

  /** Handles a request to a controller; null: the controller is not running. */
  handle(label: string, request: HttpRequest): Effect.Effect<HttpResponse> | null {
    return this.controllers.handle(label, request);
  }

  /** Ends a controller without notice and starts it again after `back` microseconds. */
  crash(label: string, back: number): void {
    this.controllers.crash(label, back);
  }

  /** Makes both directions between two network endpoints fail for `lasts` microseconds. */
  cut(one: string, other: string, state: LinkState, lasts: number): void {
    this.injector.cut(one, other, state, lasts);
  }

  /** Submits a job for a user. Returns its id; undefined if the id drawn at random is already in use. */
  submit(submission: Submission = {}): string | undefined {
    return this.users.submit(submission);
  }

  /**
   * Simulates a day with `jobs` jobs: faults until `troubled`, then at most `quiet` in which all jobs should finish. Both
   * in microseconds. Violations are in `rules.violations` afterwards.
   */
  play(jobs: number, troubled: number, quiet: number): void {
    this.scheduleUsers(jobs, troubled);
    this.injector.schedule(troubled);
    this.run(troubled, quiet);
    const { dataLoss, loans, rules } = this;
    if (dataLoss.unwitnessed === 0) rules.violations.push(...this.accountsWrong());
    if (loans && this.unfinished().length === 0) loans.checkAtEnd();
  }

  /** Descriptions of the errors in the accounts of the running controllers. */
  accountsWrong(): string[] {
    return this.accounts.compareWithCount(this.dataLoss.lossTimes.length === 0);
  }

  /** Ids of the accepted jobs that were neither cancelled nor reported as completed. */
  unfinished(): string[] {
    return [...this.users.jobs.values()]
      .filter((job) => this.rules.state(job.id) === 'accepted' && job.shape !== 'daemon' && !job.broken)
      .filter((job) => this.dataLoss.remembers(job.id))
      .map((job) => job.id);
  }

  /** By team: the fraction of its accepted jobs that completed. Cancelled and failing jobs are left out. */
  servedFractions(): Record<string, number> {
    const byTeam = new Map<string, { all: number; finished: number }>();
    for (const job of this.users.jobs.values()) {
      const state = this.rules.state(job.id);
      if (state === undefined || state === 'aborted' || job.shape === 'daemon' || job.broken) continue;
      if (state === 'accepted' && !this.dataLoss.remembers(job.id)) continue;
      let counted = byTeam.get(job.team);
      if (!counted) byTeam.set(job.team, (counted = { all: 0, finished: 0 }));
      counted.all++;
      if (state === 'done') counted.finished++;
    }
    return Object.fromEntries([...byTeam].sort().map(([team, { all, finished }]) => [team, finished / all]));
  }

  /** The fractions of jobs served and started in time, by job class, by team and for the largest jobs of each class. */
  serviceLevels(): ServiceLevel[] {
    return this.startLatency.rows((id) => this.rules.state(id));
  }

  /** Stops all controllers. The simulation cannot continue afterwards. */
  stop(): void {
    this.controllers.stop();
    this.time.run(this.time.now + 1e6);
  }

  private scheduleUsers(jobs: number, troubled: number): void {
    const { random, time, users } = this;
    for (let i = 0; i < jobs; i++) {
      if (this.size.loadBurst) {
        const arrival = loadBurstArrival(random);
        time.after(random.between(0, troubled * 0.7), () => users.submit({ arrival }));
        continue;
      }
      const cancelAfter = random.chance(0.25) ? random.between(1e6, 60e6) : null;
      time.after(random.between(0, troubled * 0.7), () => users.submit({ cancelAfter }));
    }
    for (let i = 0; i < UNKNOWN_JOB_POLLS; i++)
      time.after(random.between(0, troubled), () => users.pollUnknown());
    if (!this.faults.lending) return;
    for (const { arrival, at, cancelAfter } of drawLendingJobs(random, troubled, this.size === SMALL ? 1 : 2))
      time.after(at, () => users.submit({ arrival, cancelAfter }));
  }

  /** Runs until a rule is violated, all jobs have finished, or the time of the day is used up. */
  private run(troubled: number, quiet: number): void {
    const { capacity, dataLoss, rules, time } = this;
    const end = troubled + quiet;
    for (let at = 0; at < end && !dataLoss.hasViolation(); at += CHECK_INTERVAL) {
      time.run(at);
      dataLoss.decideWitnesses();
      this.checkLending();
      capacity.check();
      if (at % ACCOUNTS_INTERVAL === 0) rules.violations.push(...this.accounts.compareControllers());
      dataLoss.decideUnconfirmed();
      if (this.scenarios && at < rules.disruptedUntil + AFTER_SCENARIOS) continue;
      if (capacity.hasCharges) continue;
      if (at > troubled + MIN_QUIET && this.unfinished().length === 0) break;
    }
  }

  private startWorker(place: MachineInfo, type: MachineType): Worker {
    const faulty =
      this.faults.faultyMachines === true &&
      this.random.chance(0.15) &&
      this.log.recordInjected('faultyMachines');
    return new Worker({
      place,
      capacity: type,
      time: this.time,
      random: this.random,
      network: this.workerNet(),
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
      onSend: (from, again) => duplicates.recordSent(from, again),
      heartbeatSent: (by, label, body) => scenarios?.heartbeatSent(by, label, body),
      stallDuration: (by) => scenarios?.stallFor(by) ?? 0,
      resumed: (leaseExpired, order) => scenarios?.resumed(leaseExpired, order),
      stoppedDirectly: (by, task) => scenarios?.stoppedDirectly(by, task),
      reaped: (task, done) => scenarios?.reaped(task, done),
      handle: (label, request) => controllers.handle(label, request),
      links,
      controllers: controllers.labels,
    };
  }

  private taskWorld(): TaskWorld {
    return {
      jobs: this.users.jobs,
      startLatency: this.startLatency,
      workers: this.workers,
      step: (what, machine) => this.injector.loanStep(what, machine),
    };
  }

  /**
   * Observes every change of the store for the usage count, the scenarios, and the rule that no log entry is written twice.
   */
  private countCommits(): UsageCount {
    const { cloud, dataLoss, rules, state, time, users } = this;
    const usageCount = new UsageCount(
      (id) => countedJobOf(users.jobs.get(id)),
      (machine) => cloud.kindOf(machine),
    );
    const logEntries = new Set<string>();
    state.onPut = (key, value) => {
      usageCount.put(key, value);
      this.scenarios?.committed(key, value);
      // The rule also holds for entries that were compacted and deleted: a delayed copy of the transaction finds no key,
      // and must not commit.
      if (!key.startsWith(LOG_ENTRIES) || value === undefined || dataLoss.lossTimes.length > 0) return;
      if (logEntries.has(key)) rules.violations.push(`record_rewritten: ${key} at ${time.now}`);
      logEntries.add(key);
    };
    state.onDamaged = (key) => usageCount.recordDamaged(key);
    return usageCount;
  }

  /** Checks the rules of loans, and records the number of running replicas of each service. */
  private checkLending(): void {
    if (!this.loans) return;
    this.loans.check(
      this.time.now,
      this.up().map(({ controller }) => controller.jobState),
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
      if (this.rules.state(job.id) === 'accepted' && !this.rules.isCancelRequested(job.id))
        this.serving.addSample(this.time.now, job, running.get(job.id) ?? 0);
    }
  }
}

/** Returns the settings of a controller. Even seeds keep few log entries, so that compaction runs again and again. */
const settingsOf = (seed: number, faults: Faults, size: Size): ((label: string) => Settings) => {
  const { state: usualState, workers } = worldSettings('n0');
  const state = { ...usualState, valueBytes: size.valueBytes ?? usualState.valueBytes };
  return (label) =>
    worldSettings(label, {
      state: seed % 2 === 0 ? { ...state, maxLogEntries: 12 } : state,
      controllerCount: size.controllerLabels.length,
      peers: size.controllerLabels
        .filter((other) => other !== label)
        .map((other) => ({ label: other, zone: 'a', address: '' })),
      ...(faults.lending ? { teams: LENDING_TEAMS } : faults.atLimit ? { teams: TIGHT_TEAMS } : {}),
      ...(size.workers ? { workers: { ...workers, ...size.workers } } : {}),
    });
};

/** The properties of a job that accounts depend on. The shape holds thousandths of CPUs, GPUs and GB of memory. */
const countedJobOf = (job: JobTruth | undefined): ReturnType<ConstructorParameters<typeof UsageCount>[0]> =>
  job && { team: job.team, jobClass: job.jobClass, shape: [job.cpus * 1000, job.gpus * 1000, 2000] };
