/** What the scenarios of compound faults see of the simulation, and what several of them do. */
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Arrival } from '../load-burst.js';
import type { Answered, Ask, Asked } from '../history.js';
import type { LinkState } from '../links.js';
import type { Observation, Rules } from '../rules.js';
import type { StateService } from '../state-service/state-service.js';
import type { Time } from '../time.js';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import type { ScenarioName } from './scenario-names.js';

/** How machines boot, as long as a scenario says so. */
export interface BootWays {
  /** Up within two seconds until then. */
  fastUntil: number;
  /** Up, and reaching no controller, until then. */
  muteUntil: number;
}
/** A request to rent: carried out so late, and answered so long after that, or never (null). */
export interface RentalWay {
  readonly late: number;
  readonly answer: number | null;
}

/** What scenarios look at and act on. Times in microseconds. */
export interface ScenarioWorld {
  readonly cloud: BootWays;
  readonly time: Time;
  readonly random: RandomSource;
  readonly state: StateService;
  readonly rules: Rules;
  readonly jobs: Map<string, JobTruth>;
  readonly workers: Map<string, Worker>;
  readonly nodes: readonly string[];
  readonly zones: readonly string[];
  readonly lease: number;
  readonly cancelWithin: number;
  strike(what: ScenarioName): true;
  disturbed(lasts: number): void;
  leader(): string | undefined;
  /** The term of whoever acts; null: nobody does. */
  term(): number | null;
  /** The process behind a label, to tell one life from another. */
  process(node: string): object | undefined;
  /** It answers reports, by its right or in a hold. */
  answering(node: string): boolean;
  /** The acting leader has had a report of the machine. */
  heardFrom(machine: string): boolean;
  /** What the acting leader counts against the team's limit: the attempt of each task; null: nobody acts. */
  countedAgainstLimit(team: string): ReadonlyMap<string, number> | null;
  /** By its view, the controller has a task of the job placed. */
  hasPlaced(node: string, job: string): boolean;
  /** What the acting leader has placed on the machine. */
  placedOn(machine: string): readonly string[];
  /** The cloud has answered the machine's delete. */
  isDeleted(machine: string): boolean;
  anyNode(): string;
  /** What the controllers that are up keep in memory. */
  cacheSizes(): readonly { readonly jobs: number; readonly tail: number; readonly finals: number }[];
  crash(node: string, back: number): void;
  /** It stands still while its clocks run on. */
  freeze(node: string, lasts: number): void;
  stepDown(node: string, forMicros: number): void;
  cut(a: string, b: string, state: 'held' | 'reset', lasts: number): void;
  /** One direction alone. */
  link(from: string, to: string, state: LinkState, lasts: number): void;
  /** A machine is gone without a word. */
  loseMachine(machine: string): void;
  submit(job: Arrival, via: () => string): string | undefined;
  /** One request about a job to one controller, beside those of its user. */
  ask(what: Ask, id: string, node: string, then?: (asked: Asked, a: Answered | null) => void): void;
  /** What users have submitted, by job. */
  readonly submissions: ReadonlyMap<string, string>;
  /** One request of a user; null: no answer. */
  call(
    node: string,
    method: string,
    path: string,
    body: string | null,
    then: (a: HttpResponse | null, got: Observation | undefined) => void,
  ): void;
  cancel(id: string, via: () => string, confirmed: (by: string) => void): void;
}

/** One scenario: how it begins, and what it observes meanwhile. */
export interface Scenario {
  begin(): void;
  /** A worker has sent a report. */
  heartbeatSent?(by: Worker, node: string, body: Buffer): void;
  /** For how long the machine stands still before it acts on what it got. */
  stallFor?(by: Worker): number;
  /** It has gone on; `order`: with a direct order, else with an answer. */
  resumed?(lapsed: boolean, order: boolean): void;
  /** A controller gets a worker's report. */
  heartbeatReceived?(node: string): void;
  /** An order to its address has stopped a task of a machine. */
  stoppedDirectly?(by: Worker, task: string): void;
  /** A task has its image and is on a machine. */
  started?(task: string, machine: string): void;
  /** A request to rent is on its way to the cloud; null: as usual. */
  rentalWay?(): RentalWay | null;
  /** A machine was rented in this way. */
  rented?(machine: string, how: RentalWay): void;
  /** A controller is given a list with these machines. */
  listed?(machines: readonly string[]): void;
  /** A worker has begun. */
  workerStarted?(machine: Worker): void;
  /** A machine is deleted. */
  deleted?(machine: Worker | undefined, id: string): void;
  /** A task has completed. */
  completed?(task: string): void;
  /** An answer to a user's request, or none in time. Not on days on which the state service loses data. */
  answered?(asked: Asked, answer: Answered | null): void;
  /** The state service has this now; undefined: the key is deleted. */
  committed?(key: string, value: string | undefined): void;
  /** A machine has executed the order to start a task. */
  ordered?(task: string): void;
  /** A machine was told to forget a task. */
  reaped?(task: string, done: boolean): void;
}

/** What a scenario is made with: the simulation, its observations, and actions that several scenarios share. */
export class ScenarioKit {
  /** What has happened, and how often: a day on which a scenario did not bring its situation about shows nothing. */
  readonly occurred: Record<string, number> = {};
  readonly longest: Record<string, number> = {};

  constructor(readonly world: ScenarioWorld) {}

  /** Something that the scenario is about has happened. */
  record(what: string): void {
    this.occurred[what] = (this.occurred[what] ?? 0) + 1;
  }

  /** The longest time that something took. */
  recordDuration(what: string, micros: number): void {
    this.longest[what] = Math.max(this.longest[what] ?? 0, micros);
  }

  /** As `Time.after`, without a way to cancel. */
  after(delay: number, go: () => void): void {
    this.world.time.after(delay, go);
  }

  /** Leaders and others, in the shares that scenarios use. */
  mostlyLeader(): string {
    const { world } = this;
    return world.random.chance(0.75) ? (world.leader() ?? world.anyNode()) : world.anyNode();
  }

  /** A user cancels, through any controller. */
  cancel(id: string): void {
    this.world.cancel(
      id,
      () => this.world.anyNode(),
      () => undefined,
    );
  }

  /** Draws one of the other controllers at each call. */
  anyOther(than: string): () => string {
    const rest = this.world.nodes.filter((n) => n !== than);
    return () => rest[this.world.random.int(rest.length)]!;
  }

  /** Some that run for long, so that there is something to cancel. */
  longJobs(n: number): string[] {
    const { random } = this.world;
    return Array.from({ length: n }, () => {
      const job = {
        ...PLAIN_JOB,
        tasks: 1 + random.int(3),
        cpus: 1 + random.int(2),
        runUs: random.between(60e6, 130e6),
      };
      return this.world.submit({ job, urgency: 'high', due: null }, () => this.world.anyNode());
    }).flatMap((id) => id ?? []);
  }

  /** The leader crashes, or steps down. */
  changeLeader(leader: string): void {
    const { random } = this.world;
    if (random.chance(0.5)) this.world.crash(leader, random.between(200_000, 8e6));
    else this.world.stepDown(leader, random.between(0, 3e6));
  }

  /** The state service refuses a controller for so long. */
  refuseFor(node: string, lasts: number): void {
    const { world } = this;
    world.state.refusedTo.add(node);
    world.disturbed(lasts);
    this.after(lasts, () => {
      world.state.refusedTo.delete(node);
      world.state.served();
    });
  }
}

/** What the jobs that a scenario submits have in common. */
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
