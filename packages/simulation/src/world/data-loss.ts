/** The state service loses data, and what the controllers that lived through it must still know afterwards. */
import { INCARNATION, REBUILD } from '@lilacvalve/controller/jobs/keys';
import type { Controller } from '@lilacvalve/controller/controller';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Controllers } from './controllers.js';
import type { FaultLog } from './fault-log.js';
import type { LossPlan } from './faults.js';
import type { Links } from './links.js';
import { Memory, type Process } from './memory.js';
import { BY_MEMORY, type Rules } from './rules.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';

/** How often it is noted how each controller stands, microseconds. */
const OBSERVE_EVERY = 100_000;
/** A loss counts as lived through when a controller of before is up for so long after it. */
const LIVED_THROUGH_AFTER = 20e6;

/** What data losses need of the simulation around them. */
export interface DataLossOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly controllers: Controllers;
  readonly rules: Rules;
  readonly log: FaultLog;
}

/** Carries out planned losses, and decides which broken rules they excuse. */
export class DataLoss {
  /** When data was lost. */
  readonly at: number[] = [];
  /** What controllers must know of what users were told. */
  readonly memory = new Memory();
  /** Rules broken by what all who were promised to know it took along. */
  excused = 0;
  /** Losses through which a controller lived that had read the store before, and those through which none did. */
  livedThrough = 0;
  unwitnessed = 0;
  /** The store's incarnation before the last loss. */
  private incarnation: string | null = null;
  /** The controllers that lived through the last loss so far; null: that is decided. */
  private survivors: Set<Controller> | null = null;

  constructor(private readonly options: DataLossOptions) {}

  /** A controller has crashed. */
  crashed(node: Controller): void {
    this.survivors?.delete(node);
  }

  /** Notes from now on how each controller that is up stands. */
  observe(): void {
    const { controllers, links, state, time } = this.options;
    const connected = (one: string, other: string): boolean =>
      links.state(one, other) === null && links.state(other, one) === null;
    const up = controllers.processes();
    this.memory.look(
      time.now,
      up.map((process) => ({
        process,
        fine:
          !process.host.still &&
          process.node.unreadyReason() === null &&
          !state.out &&
          !state.refusedTo.has(process.label) &&
          connected(process.label, 'state'),
        reaches: new Set(
          up.flatMap((other) =>
            other !== process && connected(process.label, other.label) ? [other.label] : [],
          ),
        ),
      })),
    );
    time.after(OBSERVE_EVERY, () => this.observe());
  }

  /** Begins a planned loss now: an outage, crashes around the moment of the loss, the loss at the outage's end. */
  begin(plan: LossPlan): void {
    const { log, state, time } = this.options;
    log.strike('losses');
    log.disturbed(plan.out);
    if (plan.loss.kind === 'copies') log.disturbed(plan.out + plan.loss.lasts);
    if (plan.out > 0) state.outage(true);
    this.crashAround(plan);
    time.after(plan.out, () => this.lose(plan));
  }

  /** Once it is known who lived on: broken rules that depend on memory count, or are excused. */
  judge(): void {
    const { rules, state, time } = this.options;
    const rebuilt = this.rebuilt(this.incarnation) && !state.keys.has(REBUILD);
    const open = !this.memory.settle(time.now, rebuilt);
    if (open) return;
    for (const doubtful of rules.doubtful.splice(0))
      if (this.memory.promised(doubtful.facts, doubtful.at, doubtful.present))
        rules.broken.push(doubtful.what);
      else this.excused++;
  }

  /** Decides whether a controller lived through the last loss, as soon as that is known. */
  settle(): void {
    if (this.survivors === null || this.survivors.size === 0) {
      if (this.survivors !== null) this.unwitnessed++;
      this.survivors = null;
      return;
    }
    if (this.options.time.now - this.at[this.at.length - 1]! < LIVED_THROUGH_AFTER) return;
    this.livedThrough++;
    this.survivors = null;
  }

  /** A rule is broken that the day must keep, whoever lived through its losses. */
  isDayBroken(): boolean {
    const { broken } = this.options.rules;
    return this.unwitnessed === 0 ? broken.length > 0 : broken.some((what) => !BY_MEMORY.test(what));
  }

  /** The store is of another incarnation than `before`, and all that the controllers heard from knew is durable in it. */
  rebuilt(before: string | null): boolean {
    const { keys } = this.options.state;
    const marks = [...keys.keys()].filter((key) => key.startsWith(INCARNATION));
    const rebuild = keys.get(REBUILD);
    return (
      marks.length > 0 &&
      !marks.includes(`${INCARNATION}${before ?? ''}`) &&
      (rebuild === undefined || (JSON.parse(rebuild.value) as { phase: string }).phase === 'wait')
    );
  }

  /** The job's acceptance was promised to be known still. */
  remembers(id: string): boolean {
    const { controllers, rules, time } = this.options;
    const facts = rules.accepted(id);
    const all = new Set<Process>(controllers.processes());
    return facts.length === 0 || this.memory.promised(facts, time.now, all);
  }

  private crashAround(plan: LossPlan): void {
    const { controllers, random, time } = this.options;
    const leader = controllers.leader();
    const order = [...controllers.nodes].sort(() => random.next() - 0.5);
    const crashing = {
      none: [],
      one: order.slice(0, 1),
      leader: [leader ?? order[0]!],
      'all but one': order.slice(1),
      all: order,
    }[plan.crash];
    for (const label of crashing) {
      const at = random.between(plan.within[0], plan.within[1]);
      time.after(Math.max(0, plan.out + at), () =>
        controllers.crash(label, random.between(plan.back[0], plan.back[1])),
      );
    }
  }

  private lose({ loss, out }: LossPlan): void {
    const { controllers, state, time } = this.options;
    const up = controllers.up();
    this.at.push(time.now);
    this.survivors = new Set(up.flatMap(({ node }) => (node.lossDetector.incarnation ? [node] : [])));
    this.incarnation = up[0]?.node.lossDetector.incarnation?.id ?? null;
    const kept = loss.kind === 'window' ? time.now - loss.since : loss.kind === 'copies' ? Infinity : 0;
    this.memory.lose(time.now, kept);
    state.lose(loss);
    if (out > 0) state.outage(false);
  }
}
