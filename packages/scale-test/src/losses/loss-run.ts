/** One run of losses: real controllers beside stand-ins, faults while users work, then the end of all accepted jobs. */
import { sleepMs } from '../clock.js';
import { Cloud } from '../cloud.js';
import { controllerAddresses, ControllerProcess, settingsDirectory, settingsText } from '../controllers.js';
import { serveJson } from '../json-server.js';
import type { JobDescription, MachineKind, Timing } from '../model.js';
import { seededRandom } from '../random.js';
import { StateService } from '../state-service.js';
import { WorkerGroup } from '../worker-group.js';
import { AnswerWatch } from './answer-watch.js';
import { AttemptHistory } from './attempt-history.js';
import { ControllerFaults, type Killed } from './controller-faults.js';
import { JobUsers } from './job-users.js';
import { StoreLosses } from './store-losses.js';

/** The flags of a run; what each does is said where they are declared. */
export interface LossOptions {
  readonly program: string;
  readonly nodes: number;
  readonly machines: number;
  readonly jobs: number;
  readonly tasks: number;
  readonly runMs: number;
  readonly for: number;
  readonly every: number;
  readonly kill: Killed;
  readonly atOnce?: boolean;
  readonly restarts: number;
  readonly losses: boolean;
  readonly forgotten: number;
  readonly snapshots?: boolean;
  readonly log: string;
  readonly seed: number;
}

/** What a run prints, in this order. Percentiles are seconds with two digits, or `-`. */
export interface LossResult {
  readonly nodes: number;
  readonly kill: Killed;
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
  /** The first ones. */
  readonly faults: readonly string[];
}

const ZONES = ['zone-0', 'zone-1'];
const LIMITS = { requestsPerS: 180, writesPerS: 60 };
const TIMING: Timing = {
  reportMs: 1500,
  leaseMs: 11_000,
  gangWaitMs: 35_000,
  gangPeerMs: 5000,
  cancelMs: 36_000,
};
const BOOT_MS = 1000;
const RUN_SPREAD = { least: 0.5, most: 1.5 };
/** Before the first loss. */
const WARM_UP_MS = 10_000;
/** After the last loss, all accepted jobs are done within this. */
const DONE_WITHIN_S = 180;
const MOST_FAULTS_SHOWN = 20;

const machineKind = (count: number): MachineKind => ({
  label: 'box',
  vcpus: 4,
  accelerators: 0,
  memGb: 64,
  hourly: 0.8,
  zones: ZONES,
  count,
});

/** Plays one run; it can be played once. */
export class LossRun {
  private readonly random;
  private readonly violations: string[] = [];
  private readonly store = new StateService(LIMITS);
  private readonly jobs = new Map<string, JobDescription>();
  private readonly watch: AnswerWatch;
  private readonly faults: ControllerFaults;

  /** `say` is told of each violation as it comes, and of controllers that end by themselves. */
  constructor(
    private readonly options: LossOptions,
    private readonly say: (line: string) => void,
  ) {
    this.random = seededRandom(options.seed);
    this.watch = new AnswerWatch(options.forgotten);
    this.faults = new ControllerFaults({
      random: this.random,
      atOnce: options.atOnce === true,
      onFault: (seconds) => this.watch.faultLasts(seconds),
    });
  }

  /** Takes about as long as the losses go on, and up to three minutes more. */
  async play(): Promise<LossResult> {
    const { options, random, store } = this;
    const addresses = await controllerAddresses(options.nodes, ZONES);
    const kinds = [machineKind(options.machines)];
    const workers: WorkerGroup = new WorkerGroup({
      kinds,
      controllers: addresses,
      timing: TIMING,
      random,
      emit: (event) => history.take(event),
      // A lost result is not kept: its task runs again and counts as done twice.
      keepResult: () => undefined,
      jobOf: (id) => this.drawnJob(id),
    });
    const history = new AttemptHistory((task) => workers.machinesWith(task));
    const cloud = new Cloud({
      kinds,
      bootMs: BOOT_MS,
      random,
      up: (machine) => workers.apply({ kind: 'machine-up', machine }),
      down: (id) => workers.apply({ kind: 'machine-down', id }),
    });
    const stateServer = await serveJson((request, respond) => store.handle(request, respond));
    const cloudServer = await serveJson((request, respond) => cloud.handle(request, respond));
    const controllers = this.controllersAt(addresses, cloudServer.address, stateServer.address);
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
      killed: options.kill,
      restartEveryS: options.restarts,
      onFault: (seconds) => this.watch.faultLasts(seconds),
      onViolation: (violation) => this.violate(violation),
    });
    for (const controller of controllers) controller.start();
    users.submitAt(options.jobs);
    await this.injectFaults(losses);
    await this.awaitDone(users);
    this.violations.push(...history.violations);
    const result = this.result(users, losses, history, workers);
    cloud.end();
    workers.end();
    for (const controller of controllers) controller.kill('SIGTERM');
    return result;
  }

  /** A job as a worker sees it: each task runs for another time. */
  private drawnJob(id: string): JobDescription | undefined {
    const job = this.jobs.get(id);
    if (job === undefined) return undefined;
    return { ...job, runMs: job.runMs * this.random.between(RUN_SPREAD.least, RUN_SPREAD.most) };
  }

  private controllersAt(
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
        ...LIMITS,
        valueKb: 32,
        transactionOps: 24,
        cores: 0.5,
        memoryMb: 350,
        connections: 1945,
      });
      const controller: ControllerProcess = new ControllerProcess(address, settings, directory, {
        program: options.program,
        flags: [],
        logLevel: options.log,
        arguments: options.snapshots === true ? ['--snapshots', `${directory}/${address.label}`] : [],
        onUnexpectedEnd: (label, code) => {
          this.faults.endedByItself(controller);
          this.say(`${label} ended by itself: ${code}`);
        },
      });
      return controller;
    });
  }

  private async injectFaults(losses: StoreLosses): Promise<void> {
    const { options, random } = this;
    await sleepMs(WARM_UP_MS);
    const until = performance.now() + options.for * 1000;
    const isOver = (): boolean => performance.now() >= until;
    if (options.restarts > 0) void losses.restartUntil(isOver);
    while (!isOver()) {
      if (options.losses) await losses.lose();
      else await sleepMs(1000);
      await sleepMs(random.between(options.every * 0.5, options.every) * 1000);
    }
  }

  /** All that was accepted must come to its end. */
  private async awaitDone(users: JobUsers): Promise<void> {
    users.stopSubmitting();
    for (let i = 0; i < DONE_WITHIN_S && users.open.length > 0; i++) await sleepMs(1000);
    for (const job of users.open) this.violate(`${job}: accepted and not done`);
    users.stop();
    this.faults.stop();
  }

  private violate(violation: string): void {
    this.violations.push(violation);
    this.say(violation);
  }

  private result(
    users: JobUsers,
    losses: StoreLosses,
    history: AttemptHistory,
    workers: WorkerGroup,
  ): LossResult {
    const { options } = this;
    const recoveries = [...losses.recoveriesS].sort((a, b) => a - b);
    const percentile = (part: number): string =>
      recoveries[Math.min(recoveries.length - 1, Math.floor(part * recoveries.length))]?.toFixed(2) ?? '-';
    return {
      nodes: options.nodes,
      kill: options.kill,
      snapshots: options.snapshots === true,
      kills: this.faults.kills,
      longestUnansweredS: Math.round(this.watch.longestS * 10) / 10,
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

/** The line that a run prints: JSON, with the first violations. */
export const resultLine = (result: LossResult): string =>
  JSON.stringify({ ...result, faults: result.faults.slice(0, MOST_FAULTS_SHOWN) });
