/** The view of the simulation that the scenarios of compound faults have, and the actions that several of them share. */
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Arrival } from '../load-burst.js';
import type { ReportedResponse, RequestKind, SentRequest } from '../history.js';
import type { LinkState } from '../links.js';
import type { Observation, Rules } from '../rules.js';
import type { StateService } from '../state-service/state-service.js';
import type { Time } from '../time.js';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import type { ScenarioName } from './scenario-names.js';

/** Temporary faults of booting machines; times in microseconds. */
export interface BootFaults {
  /** Until when new machines boot within two seconds. */
  fastUntil: number;
  /** Until when new machines may boot without reaching any controller. */
  muteUntil: number;
}
/** Delays of a rental request, in microseconds. */
export interface RentalTiming {
  /** How late the cloud carries the request out. */
  readonly late: number;
  /** How long after that the cloud responds; null: it never responds. */
  readonly answer: number | null;
}

/** Everything of the simulation that scenarios observe and act on. Times in microseconds. */
export interface ScenarioWorld {
  readonly cloud: BootFaults;
  readonly time: Time;
  readonly random: RandomSource;
  readonly state: StateService;
  readonly rules: Rules;
  readonly jobs: Map<string, JobTruth>;
  readonly workers: Map<string, Worker>;
  readonly nodes: readonly string[];
  readonly zones: readonly string[];
  /** Duration of a worker lease. */
  readonly lease: number;
  /** Maximum duration from a cancellation request to the stop of all tasks of the job. */
  readonly cancelTimeout: number;
  /** Counts an injection of the scenario's fault. */
  recordInjection(name: ScenarioName): true;
  /** Marks a disruption of this duration, from now on. */
  markDisruption(durationUs: number): void;
  /** The label of the acting leader; undefined: no controller leads. */
  leader(): string | undefined;
  /** The term of the acting leader; null: no controller leads. */
  term(): number | null;
  /** The current process of a controller, which differs after a restart; undefined: the controller is down. */
  process(controller: string): object | undefined;
  /** Whether the controller responds to heartbeats, under its leader lease or under a read lease. */
  isResponding(controller: string): boolean;
  /** Whether the acting leader has received a heartbeat of the machine. */
  hasReported(machine: string): boolean;
  /** By task that the acting leader counts against the team's limit: the attempt; null: no controller leads. */
  countedAgainstLimit(team: string): ReadonlyMap<string, number> | null;
  /** Whether a task of the job is placed according to the controller's view. */
  hasPlaced(controller: string, job: string): boolean;
  /** The tasks that the acting leader has placed on the machine. */
  placedOn(machine: string): readonly string[];
  /** Whether the cloud has confirmed the machine's deletion. */
  isDeleted(machine: string): boolean;
  /** A controller drawn at random. */
  anyController(): string;
  /** The sizes of the in-memory state of each running controller. */
  cacheSizes(): readonly { readonly jobs: number; readonly tail: number; readonly finals: number }[];
  /** Crashes a controller, which restarts after the delay. */
  crash(controller: string, restartDelayUs: number): void;
  /** Suspends a controller while its clocks run on. */
  freeze(controller: string, durationUs: number): void;
  /** Makes a controller give up the leadership and not campaign for the given time. */
  stepDown(controller: string, forMicros: number): void;
  /** Cuts the links between two endpoints in both directions. */
  cut(a: string, b: string, state: 'held' | 'reset', durationUs: number): void;
  /** Sets the state of a link in one direction. */
  link(from: string, to: string, state: LinkState, durationUs: number): void;
  /** Removes a machine without notice. */
  loseMachine(machine: string): void;
  /** Submits a job for a user; returns its ID, or undefined if the user submits nothing. */
  submit(job: Arrival, via: () => string): string | undefined;
  /** Sends one request about a job to one controller, besides the requests of its user. */
  ask(
    request: RequestKind,
    id: string,
    controller: string,
    then?: (asked: SentRequest, a: ReportedResponse | null) => void,
  ): void;
  /** The bodies that users have submitted, by job. */
  readonly submissions: ReadonlyMap<string, string>;
  /** Sends one request of a user; `then` receives the response, or null if there is none. */
  call(
    controller: string,
    method: string,
    path: string,
    body: string | null,
    then: (a: HttpResponse | null, got: Observation | undefined) => void,
  ): void;
  /** Cancels a job for a user, who retries until a controller confirms the cancellation. */
  cancel(id: string, via: () => string, confirmed: (by: string) => void): void;
}

/** One scenario: an action that injects its faults, and optional observers of the simulation. */
export interface Scenario {
  /** Injects the faults of the scenario. */
  begin(): void;
  /** Called when a worker has sent a heartbeat. */
  heartbeatSent?(worker: Worker, controller: string, body: Buffer): void;
  /** Returns how long the machine stalls before it acts on the response or order that it has just received. */
  stallFor?(worker: Worker): number;
  /** Called when a stalled machine has resumed; `order`: with a direct order, otherwise with a response. */
  resumed?(leaseExpired: boolean, order: boolean): void;
  /** Called when a controller receives a worker's heartbeat. */
  heartbeatReceived?(controller: string): void;
  /** Called when an order sent directly to a worker has stopped one of its tasks. */
  stoppedDirectly?(worker: Worker, task: string): void;
  /** Called when a task starts on a machine, after its image was fetched. */
  started?(task: string, machine: string): void;
  /** Returns the delays of a rental request that is being sent to the cloud; null: the usual ones. */
  rentalTiming?(): RentalTiming | null;
  /** Called when a machine was rented by a request with these delays. */
  rented?(machine: string, timing: RentalTiming): void;
  /** Called when a controller receives a list of these machines from the cloud. */
  listed?(machines: readonly string[]): void;
  /** Called when a worker has started. */
  workerStarted?(machine: Worker): void;
  /** Called when a machine is deleted. */
  deleted?(machine: Worker | undefined, id: string): void;
  /** Called when a task has completed. */
  completed?(task: string): void;
  /** Called with the response to a user's request, null: none in time. Not called on days with data losses. */
  answered?(asked: SentRequest, answer: ReportedResponse | null): void;
  /** Called when the state service has committed a value; undefined: the key is deleted. */
  committed?(key: string, value: string | undefined): void;
  /** Called when a machine has executed the order to start a task. */
  ordered?(task: string): void;
  /** Called when a machine executes the order to forget a task. */
  reaped?(task: string, done: boolean): void;
}

/** The dependencies of a scenario: the simulation, counters of its observations, and actions that several scenarios share. */
export class ScenarioKit {
  /** Counters of observed situations. A day whose scenario did not cause its situation proves nothing about it. */
  readonly occurred: Record<string, number> = {};
  /** By situation: the longest duration, in microseconds. */
  readonly longest: Record<string, number> = {};

  constructor(readonly world: ScenarioWorld) {}

  /** Counts a situation that the scenario is meant to cause. */
  record(name: string): void {
    this.occurred[name] = (this.occurred[name] ?? 0) + 1;
  }

  /** Updates the longest duration of a situation. */
  recordDuration(name: string, micros: number): void {
    this.longest[name] = Math.max(this.longest[name] ?? 0, micros);
  }

  /** Runs an action after a delay in microseconds; unlike `Time.after`, it cannot be cancelled. */
  after(delay: number, action: () => void): void {
    this.world.time.after(delay, action);
  }

  /** Draws a controller: the leader with a probability of at least 0.75. */
  mostlyLeader(): string {
    const { world } = this;
    return world.random.chance(0.75) ? (world.leader() ?? world.anyController()) : world.anyController();
  }

  /** Cancels a job for a user through controllers drawn at random. */
  cancel(id: string): void {
    this.world.cancel(
      id,
      () => this.world.anyController(),
      () => undefined,
    );
  }

  /** Returns a function that draws one of the other controllers at each call. */
  anyOther(than: string): () => string {
    const rest = this.world.nodes.filter((controller) => controller !== than);
    return () => rest[this.world.random.int(rest.length)]!;
  }

  /** Submits jobs that run long enough to be cancelled; returns their IDs. */
  longJobs(count: number): string[] {
    const { random } = this.world;
    return Array.from({ length: count }, () => {
      const job = {
        ...PLAIN_JOB,
        tasks: 1 + random.int(3),
        cpus: 1 + random.int(2),
        runUs: random.between(60e6, 130e6),
      };
      return this.world.submit({ job, urgency: 'high', due: null }, () => this.world.anyController());
    }).flatMap((id) => id ?? []);
  }

  /** Crashes the leader or makes it step down. */
  changeLeader(leader: string): void {
    const { random } = this.world;
    if (random.chance(0.5)) this.world.crash(leader, random.between(200_000, 8e6));
    else this.world.stepDown(leader, random.between(0, 3e6));
  }

  /** Makes the state service refuse a controller's requests for a duration in microseconds. */
  refuseFor(controller: string, durationUs: number): void {
    const { world } = this;
    world.state.refusedControllers.add(controller);
    world.markDisruption(durationUs);
    this.after(durationUs, () => {
      world.state.refusedControllers.delete(controller);
      world.state.resumeWatches();
    });
  }
}

/** Common properties of the jobs that scenarios submit. */
export const PLAIN_JOB = {
  jobClass: 'x',
  team: 'blue',
  shape: 'array',
  gpus: 0,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  broken: false,
} as const;
