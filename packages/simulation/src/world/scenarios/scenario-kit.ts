/** What troubles that meet need of the world, and what several of them do. */
import type { Answer } from '@lilacvalve/runtime/http-server';
import type { Luck } from '@lilacvalve/controller/support/luck';
import type { Arrival } from '../load-burst.js';
import type { Answered, Ask, Asked } from '../history.js';
import type { LinkState } from '../links.js';
import type { Got, Rules } from '../rules.js';
import type { StateService } from '../state-service/state-service.js';
import type { Time } from '../time.js';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import type { Meeting } from './scenarios.js';

/** What of the world they need. */
/** How machines come, as long as a trouble says so. */
export interface CloudWays {
  /** Up within two seconds until then. */
  fastUntil: number;
  /** Up, and reaching no controller, until then. */
  muteUntil: number;
}
/** A request to rent: carried out so late, and answered so long after that, or never (null). */
export interface HireWay {
  readonly late: number;
  readonly answer: number | null;
}

export interface Stage {
  readonly cloud: CloudWays;
  readonly time: Time;
  readonly luck: Luck;
  readonly state: StateService;
  readonly rules: Rules;
  readonly jobs: Map<string, JobTruth>;
  readonly workers: Map<string, Worker>;
  readonly nodes: readonly string[];
  readonly zones: readonly string[];
  readonly lease: number;
  readonly cancelWithin: number;
  strike(what: Meeting): true;
  troubled(lasts: number): void;
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
  counted(team: string): ReadonlyMap<string, number> | null;
  /** By its view, the controller has a task of the job placed. */
  places(node: string, job: string): boolean;
  /** What the acting leader has placed on the machine. */
  placedOn(machine: string): readonly string[];
  /** The cloud has answered the machine's delete. */
  isDeleted(machine: string): boolean;
  node(): string;
  /** What the controllers that are up keep in memory. */
  caches(): readonly { readonly jobs: number; readonly tail: number; readonly finals: number }[];
  crash(node: string, back: number): void;
  /** It stands still while its clocks run on. */
  freeze(node: string, lasts: number): void;
  giveWay(node: string, forMicros: number): void;
  cut(a: string, b: string, state: 'held' | 'reset', lasts: number): void;
  /** One direction alone. */
  link(from: string, to: string, state: LinkState, lasts: number): void;
  /** A machine is gone without a word. */
  take(machine: string): void;
  submit(job: Arrival, via: () => string): string | undefined;
  /** One request about a job to one controller, beside those of its user. */
  ask(what: Ask, id: string, node: string, then?: (asked: Asked, a: Answered | null) => void): void;
  /** What users have submitted, by job. */
  readonly bodies: ReadonlyMap<string, string>;
  /** One request of a user; null: no answer. */
  call(
    node: string,
    method: string,
    path: string,
    body: string | null,
    then: (a: Answer | null, got: Got | undefined) => void,
  ): void;
  cancel(id: string, via: () => string, confirmed: (by: string) => void): void;
}

/** One trouble: how it begins, and what it looks at meanwhile. */
export interface Trouble {
  begin(): void;
  /** A worker has sent a report. */
  reported?(by: Worker, node: string, body: Buffer): void;
  /** For how long the machine stands still before it acts on what it got. */
  holds?(by: Worker): number;
  /** It has gone on; `order`: with a direct order, else with an answer. */
  wentOn?(lapsed: boolean, order: boolean): void;
  /** A controller gets a worker's report. */
  heard?(node: string): void;
  /** An order to its address has stopped a task of a machine. */
  stoppedDirectly?(by: Worker, task: string): void;
  /** A task has its image and is on a machine. */
  started?(task: string, machine: string): void;
  /** A request to rent is on its way to the cloud; null: as usual. */
  hires?(): HireWay | null;
  /** A machine was rented in this way. */
  rented?(machine: string, how: HireWay): void;
  /** A controller is given a list with these machines. */
  listed?(machines: readonly string[]): void;
  /** A worker has begun. */
  came?(machine: Worker): void;
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

export class Shared {
  /** What really met: a day that was meant to bring a meeting about and did not shows nothing. */
  readonly met: Record<string, number> = {};
  readonly longest: Record<string, number> = {};

  constructor(readonly w: Stage) {}

  meet(what: string): void {
    this.met[what] = (this.met[what] ?? 0) + 1;
  }

  /** The longest time that something took. */
  took(what: string, micros: number): void {
    this.longest[what] = Math.max(this.longest[what] ?? 0, micros);
  }

  at(delay: number, go: () => void): void {
    this.w.time.after(delay, go);
  }

  /** Leaders and others, in the shares that such troubles have. */
  mostlyLeader(): string {
    const { w } = this;
    return w.luck.chance(0.75) ? (w.leader() ?? w.node()) : w.node();
  }

  /** A user cancels, through any controller. */
  cancel(id: string): void {
    this.w.cancel(
      id,
      () => this.w.node(),
      () => undefined,
    );
  }

  others(than: string): () => string {
    const rest = this.w.nodes.filter((n) => n !== than);
    return () => rest[this.w.luck.int(rest.length)]!;
  }

  /** Some that run for long, so that there is something to cancel. */
  longJobs(n: number): string[] {
    const l = this.w.luck;
    return Array.from({ length: n }, () => {
      const job = { ...PLAIN, tasks: 1 + l.int(3), cpus: 1 + l.int(2), runUs: l.between(60e6, 130e6) };
      return this.w.submit({ job, urgency: 'high', due: null }, () => this.w.node());
    }).flatMap((id) => id ?? []);
  }

  change(leader: string): void {
    const { luck } = this.w;
    if (luck.chance(0.5)) this.w.crash(leader, luck.between(200_000, 8e6));
    else this.w.giveWay(leader, luck.between(0, 3e6));
  }

  refuse(node: string, lasts: number): void {
    const { w } = this;
    w.state.refusedTo.add(node);
    w.troubled(lasts);
    this.at(lasts, () => {
      w.state.refusedTo.delete(node);
      w.state.served();
    });
  }
}

/** What jobs of a trouble's own have in common. */
export const PLAIN = {
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
