/**
 * Injects data losses of the state service, and decides which violations the loss excuses, from what controllers that
 * survived it must still know.
 */
import { INCARNATION, REBUILD } from '@lilacvalve/controller/jobs/keys';
import type { Controller } from '@lilacvalve/controller/controller';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Controllers } from './controllers.js';
import type { FaultLog } from './fault-log.js';
import type { LossPlan } from './faults.js';
import type { Links } from './links.js';
import { Memory, type Process } from './memory.js';
import { KNOWLEDGE_DEPENDENT_RULES, type Rules } from './rules.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';

/** Interval at which the status of every controller is sampled, in microseconds. */
const SAMPLE_INTERVAL = 100_000;
/**
 * Time after a loss, in microseconds, at which a controller that had read the store before the loss and is still
 * running counts as its witness.
 */
const WITNESS_AFTER = 20e6;

/** Dependencies of `DataLoss`. */
export interface DataLossOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly controllers: Controllers;
  readonly rules: Rules;
  readonly log: FaultLog;
}

/** Injects planned data losses, and decides which violations they excuse. */
export class DataLoss {
  /** Times of the losses so far, in microseconds of simulated time. */
  readonly lossTimes: number[] = [];
  /** Tracks which facts, once reported to a user, some controller must still know. */
  readonly memory = new Memory();
  /** Number of dismissed violations: every controller that had to know the facts behind them was lost as well. */
  dismissed = 0;
  /** Number of losses with a witness: a controller that had read the store before the loss and kept running. */
  witnessed = 0;
  /** Number of losses without a witness. */
  unwitnessed = 0;
  /** ID of the store's incarnation before the last loss; null: unknown. */
  private incarnation: string | null = null;
  /**
   * Running controllers that had read the store before the last loss; null: it is decided whether that loss has a
   * witness.
   */
  private witnesses: Set<Controller> | null = null;

  constructor(private readonly options: DataLossOptions) {}

  /** Handles the crash of a controller. */
  crashed(controller: Controller): void {
    this.witnesses?.delete(controller);
  }

  /** Starts sampling the status of all running controllers. */
  observe(): void {
    const { controllers, links, state, time } = this.options;
    const connected = (one: string, other: string): boolean =>
      links.state(one, other) === null && links.state(other, one) === null;
    const up = controllers.processes();
    this.memory.observe(
      time.now,
      up.map((process) => ({
        process,
        fine:
          !process.host.isFrozen &&
          process.controller.unreadyReason() === null &&
          !state.isDown &&
          !state.refusedControllers.has(process.label) &&
          connected(process.label, 'state'),
        reaches: new Set(
          up.flatMap((other) =>
            other !== process && connected(process.label, other.label) ? [other.label] : [],
          ),
        ),
      })),
    );
    time.after(SAMPLE_INTERVAL, () => this.observe());
  }

  /**
   * Begins a planned loss: an outage starts now, controllers crash around the time of the loss, and the data is lost
   * when the outage ends.
   */
  begin(plan: LossPlan): void {
    const { log, state, time } = this.options;
    log.recordInjected('losses');
    log.disruptedFor(plan.out);
    if (plan.loss.kind === 'copies') log.disruptedFor(plan.out + plan.loss.lasts);
    if (plan.out > 0) state.outage(true);
    this.crashAround(plan);
    time.after(plan.out, () => this.lose(plan));
  }

  /**
   * Decides the unconfirmed violations as soon as it is known which controllers survived: each is confirmed if some
   * controller had to know the facts behind it, else dismissed.
   */
  decideUnconfirmed(): void {
    const { rules, state, time } = this.options;
    const rebuilt = this.rebuilt(this.incarnation) && !state.keys.has(REBUILD);
    const undecided = !this.memory.updateRecovery(time.now, rebuilt);
    if (undecided) return;
    for (const violation of rules.unconfirmedViolations.splice(0))
      if (this.memory.mustBeKnown(violation.facts, violation.at, violation.present))
        rules.violations.push(violation.what);
      else this.dismissed++;
  }

  /** Decides whether the last loss has a witness, as soon as that is known. */
  decideWitnesses(): void {
    if (this.witnesses === null || this.witnesses.size === 0) {
      if (this.witnesses !== null) this.unwitnessed++;
      this.witnesses = null;
      return;
    }
    if (this.options.time.now - this.lossTimes[this.lossTimes.length - 1]! < WITNESS_AFTER) return;
    this.witnessed++;
    this.witnesses = null;
  }

  /**
   * Whether a rule is violated that must hold even on a day with data losses. On days with a loss without a witness,
   * rules that depend on the controllers' memory do not count.
   */
  hasViolation(): boolean {
    const { violations } = this.options.rules;
    return this.unwitnessed === 0
      ? violations.length > 0
      : violations.some((what) => !KNOWLEDGE_DEPENDENT_RULES.test(what));
  }

  /**
   * Whether the store has an incarnation other than `before` and its rebuild has durably written everything that the
   * reachable controllers knew.
   */
  rebuilt(before: string | null): boolean {
    const { keys } = this.options.state;
    const incarnationKeys = [...keys.keys()].filter((key) => key.startsWith(INCARNATION));
    const rebuild = keys.get(REBUILD);
    return (
      incarnationKeys.length > 0 &&
      !incarnationKeys.includes(`${INCARNATION}${before ?? ''}`) &&
      (rebuild === undefined || (JSON.parse(rebuild.value) as { phase: string }).phase === 'wait')
    );
  }

  /** Whether some controller must still know that the job was accepted. */
  remembers(id: string): boolean {
    const { controllers, rules, time } = this.options;
    const facts = rules.acceptanceFacts(id);
    const processes = new Set<Process>(controllers.processes());
    return facts.length === 0 || this.memory.mustBeKnown(facts, time.now, processes);
  }

  private crashAround(plan: LossPlan): void {
    const { controllers, random, time } = this.options;
    const leader = controllers.leader();
    const shuffled = [...controllers.labels].sort(() => random.next() - 0.5);
    const crashing = {
      none: [],
      one: shuffled.slice(0, 1),
      leader: [leader ?? shuffled[0]!],
      'all but one': shuffled.slice(1),
      all: shuffled,
    }[plan.crash];
    for (const label of crashing) {
      const offset = random.between(plan.within[0], plan.within[1]);
      time.after(Math.max(0, plan.out + offset), () =>
        controllers.crash(label, random.between(plan.back[0], plan.back[1])),
      );
    }
  }

  private lose({ loss, out }: LossPlan): void {
    const { controllers, state, time } = this.options;
    const up = controllers.up();
    this.lossTimes.push(time.now);
    this.witnesses = new Set(
      up.flatMap(({ controller }) => (controller.lossDetector.incarnation ? [controller] : [])),
    );
    this.incarnation = up[0]?.controller.lossDetector.incarnation?.id ?? null;
    const keptUntil = loss.kind === 'window' ? time.now - loss.since : loss.kind === 'copies' ? Infinity : 0;
    this.memory.recordLoss(time.now, keptUntil);
    state.loseData(loss);
    if (out > 0) state.outage(false);
  }
}
