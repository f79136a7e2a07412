/**
 * One run of the losses test: injects faults into real controllers under load, then waits until all accepted jobs are
 * done.
 */
import { sleepMs } from '../clock.js';
import { Cloud } from '../cloud.js';
import {
  type ClusterLimits,
  controllerAddresses,
  ControllerProcess,
  settingsDirectory,
  settingsText,
} from '../controllers.js';
import { serveJson } from '../json-server.js';
import type { JobDescription, MachineKind, Timing } from '../model.js';
import { seededRandom } from '../random.js';
import { StateService } from '../state-service.js';
import { WorkerGroup } from '../worker-group.js';
import { ResponseWatch } from './answer-watch.js';
import { AttemptHistory } from './attempt-history.js';
import { ControllerFaults, type KillTarget } from './controller-faults.js';
import { JobUsers } from './job-users.js';
import { StoreLosses } from './store-losses.js';

/** Flags of the `losses` command; their descriptions are in `losses.ts`. */
export interface LossOptions {
  readonly program: string;
  readonly nodes: number;
  readonly machines: number;
  readonly jobs: number;
  readonly tasks: number;
  readonly runMs: number;
  readonly for: number;
  readonly every: number;
  readonly kill: KillTarget;
  readonly atOnce?: boolean;
  readonly restarts: number;
  readonly losses: boolean;
  readonly forgotten: number;
  readonly snapshots?: boolean;
  readonly log: string;
  readonly seed: number;
}

/** The printed result, in this order of fields. Percentiles are in seconds with two decimals, or `-` without data. */
export interface LossResult {
  readonly nodes: number;
  readonly kill: KillTarget;
  readonly snapshots: boolean;
  readonly kills: number;
  readonly longestUnansweredS: number;
  readonly losses: number;
  readonly accepted: number;
  readonly done: number;
  readonly tasksStarted: number;
  readonly killedByLease: number;
  readonly doneTwice: number;
  readonly durableS: { readonly middle: string; readonly nineInTen: string; readonly longest: string };
  /** Descriptions of the violations; only the first ones are printed. */
  readonly faults: readonly string[];
}

const ZONES = ['zone-0', 'zone-1'];
const LIMITS: ClusterLimits = {
  requestsPerS: 180,
  writesPerS: 60,
  valueKb: 32,
  transactionOps: 24,
  cores: 0.5,
  memoryMb: 350,
  connections: 1945,
};
const TIMING: Timing = {
  reportMs: 1500,
  leaseMs: 11_000,
  gangWaitMs: 35_000,
  gangPeerMs: 5000,
  cancelMs: 36_000,
};
const BOOT_MS = 1000;
const RUN_TIME_FACTOR = { min: 0.5, max: 1.5 };
/** Delay before the first data loss. */
const WARM_UP_MS = 10_000;
/** Time after the last data loss within which all accepted jobs must be done, in seconds. */
const DONE_TIMEOUT_S = 180;
const MAX_FAULTS_PRINTED = 20;

const machineKind = (count: number): MachineKind => ({
  label: 'box',
  vcpus: 4,
  accelerators: 0,
  memGb: 64,
  hourly: 0.8,
  zones: ZONES,
  count,
});

/** One run of the losses test. `play` may be called once. */
export class LossRun {
  private readonly random;
  private readonly violations: string[] = [];
  private readonly store = new StateService(LIMITS);
  private readonly jobs = new Map<string, JobDescription>();
  private readonly watch: ResponseWatch;
  private readonly faults: ControllerFaults;

  /** `log` is called with each violation when it is found, and for each controller that exits unexpectedly. */
  constructor(
    private readonly options: LossOptions,
    private readonly log: (line: string) => void,
  ) {
    this.random = seededRandom(options.seed);
    this.watch = new ResponseWatch(options.forgotten);
    this.faults = new ControllerFaults({
      random: this.random,
      restartAtOnce: options.atOnce === true,
      onFault: (seconds) => this.watch.extendFault(seconds),
    });
  }

  /** Runs the test, which takes the duration of the losses and up to three more minutes. */
  async play(): Promise<LossResult> {
    const { options, random, store } = this;
    const addresses = await controllerAddresses(options.nodes, ZONES);
    const kinds = [machineKind(options.machines)];
    const workers: WorkerGroup = new WorkerGroup({
      kinds,
      controllers: addresses,
      timing: TIMING,
      random,
      emit: (event) => history.recordEvent(event),
      // The result of a dropped task is not kept: the task runs again and is counted in `doneTwice`.
      keepResult: () => undefined,
      findJob: (id) => this.jobWithRandomRunTime(id),
    });
    const history = new AttemptHistory((task) => workers.machinesWith(task));
    const cloud = new Cloud({
      kinds,
      bootMs: BOOT_MS,
      random,
      onMachineUp: (machine) => workers.apply({ kind: 'machine-up', machine }),
      onMachineDown: (id) => workers.apply({ kind: 'machine-down', id }),
    });
    const stateServer = await serveJson((request, respond) => store.handle(request, respond));
    const cloudServer = await serveJson((request, respond) => cloud.handle(request, respond));
    const controllers = this.createControllers(addresses, cloudServer.address, stateServer.address);
    const users = new JobUsers({
      random,
      controllers: addresses,
      tasks: options.tasks,
      runMs: options.runMs,
      watch: this.watch,
      upload: (job) => this.jobs.set(job.id, job),
      onViolation: (violation) => this.violate(violation),
    });
    const losses = new StoreLosses({
      random,
      store,
      controllers,
      faults: this.faults,
      killTarget: options.kill,
      restartEveryS: options.restarts,
      onFault: (seconds) => this.watch.extendFault(seconds),
      onViolation: (violation) => this.violate(violation),
    });
    for (const controller of controllers) controller.start();
    users.startSubmitting(options.jobs);
    await this.injectFaults(losses);
    await this.awaitDone(users);
    this.violations.push(...history.violations);
    const { rejected } = store.counts;
    if (rejected > 0) this.violate(`${rejected} transactions exceeded a limit of the state service`);
    const result = this.result(users, losses, history, workers);
    cloud.end();
    workers.end();
    for (const controller of controllers) controller.kill('SIGTERM');
    return result;
  }

  /** Returns a job as a worker looks it up, with a random run time, so that the run times of its tasks differ. */
  private jobWithRandomRunTime(id: string): JobDescription | undefined {
    const job = this.jobs.get(id);
    if (job === undefined) return undefined;
    return { ...job, runMs: job.runMs * this.random.between(RUN_TIME_FACTOR.min, RUN_TIME_FACTOR.max) };
  }

  private createControllers(
    addresses: Awaited<ReturnType<typeof controllerAddresses>>,
    cloud: string,
    state: string,
  ): ControllerProcess[] {
    const { options } = this;
    const directory = settingsDirectory();
    return addresses.map((address) => {
      const settings = settingsText(address, addresses, {
        cloud,
        state,
        zones: ZONES,
        teams: [{ name: 'crew' }],
        objectives: [{ kind: 'finished', class: 'render', within_s: 350, share: 0.99 }],
        timing: TIMING,
        limits: LIMITS,
      });
      const controller: ControllerProcess = new ControllerProcess(address, settings, directory, {
        program: options.program,
        flags: [],
        logLevel: options.log,
        arguments: options.snapshots === true ? ['--snapshots', `${directory}/${address.label}`] : [],
        onUnexpectedExit: (label, code) => {
          this.faults.markExited(controller);
          this.log(`${label} exited unexpectedly with status ${code}`);
        },
      });
      return controller;
    });
  }

  private async injectFaults(losses: StoreLosses): Promise<void> {
    const { options, random } = this;
    await sleepMs(WARM_UP_MS);
    const until = performance.now() + options.for * 1000;
    const isFinished = (): boolean => performance.now() >= until;
    if (options.restarts > 0) void losses.restartUntil(isFinished);
    while (!isFinished()) {
      if (options.losses) await losses.lose();
      else await sleepMs(1000);
      await sleepMs(random.between(options.every * 0.5, options.every) * 1000);
    }
  }

  /** Waits until all accepted jobs are done; a job that is not done in time is a violation. */
  private async awaitDone(users: JobUsers): Promise<void> {
    users.stopSubmitting();
    for (let i = 0; i < DONE_TIMEOUT_S && users.open.length > 0; i++) await sleepMs(1000);
    for (const job of users.open) this.violate(`${job}: accepted, but not done in time`);
    users.stop();
    this.faults.stop();
  }

  private violate(violation: string): void {
    this.violations.push(violation);
    this.log(violation);
  }

  private result(
    users: JobUsers,
    losses: StoreLosses,
    history: AttemptHistory,
    workers: WorkerGroup,
  ): LossResult {
    const { options } = this;
    const recoveries = [...losses.recoveriesS].sort((a, b) => a - b);
    const percentile = (fraction: number): string =>
      recoveries[Math.min(recoveries.length - 1, Math.floor(fraction * recoveries.length))]?.toFixed(2) ??
      '-';
    return {
      nodes: options.nodes,
      kill: options.kill,
      snapshots: options.snapshots === true,
      kills: this.faults.kills,
      longestUnansweredS: Math.round(this.watch.longestUnansweredS * 10) / 10,
      losses: recoveries.length,
      accepted: users.accepted,
      done: users.done,
      tasksStarted: history.ordered,
      killedByLease: workers.figures().counters.tasksKilled,
      doneTwice: history.completedAgain,
      durableS: { middle: percentile(0.5), nineInTen: percentile(0.9), longest: percentile(1) },
      faults: this.violations,
    };
  }
}

/** Returns the result as one line of JSON with the first violations. */
export const resultLine = (result: LossResult): string =>
  JSON.stringify({ ...result, faults: result.faults.slice(0, MAX_FAULTS_PRINTED) });
