/**
 * Decides which facts reported to users must still be known after a data loss of the state service. It derives this from
 * the faults of each controller alone, never from the state that a controller holds, and checks the guarantee of
 * docs/rebuild.md ("What is promised") exactly.
 */

/** One process of a controller. Each start of a controller creates a new one. */
export interface Process {
  readonly label: string;
}

/** A fact about a job that a response reported to a user. */
export interface Fact {
  /** When the response left its controller, in microseconds. */
  readonly at: number;
  /** The controller that responded. */
  readonly by: Process;
  /** The controllers that could be reached. Two of them, or all if there are fewer, learn the fact before the user does. */
  readonly reached: readonly Process[];
}

/** The state of a controller at one moment. */
export interface ControllerStatus {
  readonly process: Process;
  /** Whether it is not frozen, has read the store, and is served by the state service. */
  readonly fine: boolean;
  /** The labels of the controllers with which it can exchange messages in both directions. */
  readonly reaches: ReadonlySet<string>;
}

/** A controller that has been healthy for this long has read everything that was stored before. Microseconds, as below. */
const READ_DELAY = 1e6;
/** A controller has read all final states this long after its start. */
const STARTUP_READ = 5e6;
/** Maximum time to wait for the recovery from a loss. */
const MAX_RECOVERY = 90e6;
/** Controllers that have reached each other for this long count each other as reachable. */
const CONTACT_DELAY = 5e6;
/** A controller that is healthy for this long after a loss has restored its knowledge or passed it to those that do. */
const CONTRIBUTION_DELAY = 8e6;
/** Number of other controllers that learn a fact before the user does. */
const INFORMED_PEERS = 2;

/** What has been observed of a running controller. Times in microseconds. */
interface ObservedController {
  /** When it was first observed. */
  readonly firstSeen: number;
  /** Since when it has been healthy without a break; null: it is not healthy. */
  healthySince: number | null;
  /** It knows every fact reported before this time. */
  knowsUntil: number;
  /** By label of a reachable controller: since when. */
  readonly reachableSince: Map<string, number>;
}

/** One data loss of the state service. Times in microseconds. */
interface DataLossRecord {
  readonly at: number;
  /** The store still holds every fact reported before this time. */
  readonly kept: number;
  /** By controller that was running at the loss: it knew every fact reported before this time. */
  readonly knewUntil: Map<Process, number>;
  /** Controllers that ended before the recovery from the loss. */
  readonly ended: Set<Process>;
  /** By controller: when it had contributed its knowledge to the recovery. */
  readonly contributedAt: Map<Process, number>;
  /** Whether the store has recovered, or no controller is left that could restore it. */
  recovered: boolean;
}

/** Observes controllers and data losses, and derives which facts must have survived. */
export class Memory {
  private readonly observed = new Map<Process, ObservedController>();
  private readonly losses: DataLossRecord[] = [];

  /** Records the current state of every running controller. Called periodically. */
  observe(now: number, up: readonly ControllerStatus[]): void {
    const recovering = this.losses.some((loss) => !loss.recovered);
    for (const status of up) {
      let observed = this.observed.get(status.process);
      if (!observed)
        this.observed.set(
          status.process,
          (observed = { firstSeen: now, healthySince: null, knowsUntil: -1, reachableSince: new Map() }),
        );
      observed.healthySince = status.fine ? (observed.healthySince ?? now) : null;
      for (const label of [...observed.reachableSince.keys()])
        if (!status.fine || !status.reaches.has(label)) observed.reachableSince.delete(label);
      if (status.fine)
        for (const label of status.reaches)
          if (!observed.reachableSince.has(label)) observed.reachableSince.set(label, now);
      // Reads during the recovery from a loss are incomplete.
      if (
        !recovering &&
        observed.healthySince !== null &&
        now - observed.healthySince >= READ_DELAY &&
        now - observed.firstSeen >= STARTUP_READ
      )
        observed.knowsUntil = Math.max(observed.knowsUntil, now - READ_DELAY);
      for (const loss of this.losses)
        if (
          observed.healthySince !== null &&
          now - Math.max(observed.healthySince, loss.at) >= CONTRIBUTION_DELAY &&
          !loss.contributedAt.has(status.process)
        )
          loss.contributedAt.set(status.process, now);
    }
    const running = new Set(up.map((status) => status.process));
    for (const process of this.observed.keys()) if (!running.has(process)) this.recordEnd(process);
  }

  private recordEnd(process: Process): void {
    this.observed.delete(process);
    for (const loss of this.losses) if (!loss.recovered) loss.ended.add(process);
  }

  /** Describes a response that leaves `by` now. `among`: selects the peers that learn the fact before the user does. */
  fact(now: number, by: Process, among: (process: Process) => boolean): Fact {
    return { at: now, by, reached: this.reachablePeers(by, now, CONTACT_DELAY).filter(among) };
  }

  /** The healthy peers that a controller has reached for at least `duration`. */
  private reachablePeers(by: Process, now: number, duration: number): Process[] {
    const reachableSince = this.observed.get(by)?.reachableSince;
    return [...this.observed].flatMap(([process, observed]) =>
      process !== by &&
      observed.healthySince !== null &&
      now - Math.max(observed.healthySince, reachableSince?.get(process.label) ?? now) >= duration
        ? [process]
        : [],
    );
  }

  /** The controllers that a response of `by` may depend on: itself and the peers that it has exchanged messages with. */
  present(now: number, by: Process): ReadonlySet<Process> {
    return new Set([by, ...this.reachablePeers(by, now, READ_DELAY)]);
  }

  /** Records that the store loses the facts reported from `kept` on. */
  recordLoss(now: number, kept: number): void {
    const knewUntil = new Map(
      [...this.observed].map(([process, observed]) => [process, observed.knowsUntil] as const),
    );
    this.losses.push({
      at: now,
      kept,
      knewUntil,
      ended: new Set(),
      contributedAt: new Map(),
      recovered: false,
    });
  }

  /** Marks losses as recovered; returns whether all are. `done`: whether the store reports the last loss as recovered. */
  updateRecovery(now: number, done: boolean): boolean {
    for (const loss of this.losses) {
      if (loss.recovered) continue;
      const noneLeft = [...loss.knewUntil.keys()].every((process) => loss.ended.has(process));
      if (noneLeft || (done && now - loss.at >= CONTRIBUTION_DELAY) || now - loss.at >= MAX_RECOVERY)
        loss.recovered = true;
    }
    return this.losses.every((loss) => loss.recovered);
  }

  /**
   * Whether a response at `now` had to reflect at least one of the facts. `present`: the controllers that the response may
   * depend on. Valid only once all losses are recovered, since a controller that ends before may take the fact with it.
   */
  mustBeKnown(facts: readonly Fact[], now: number, present: ReadonlySet<Process>): boolean {
    return facts.some((fact) =>
      this.losses.every(
        (loss) =>
          loss.at < fact.at ||
          loss.at > now ||
          fact.at < loss.kept ||
          this.survived(fact, loss, now, present),
      ),
    );
  }

  /** Whether a controller that knew the fact has survived the loss and can have contributed to a response at `now`. */
  private survived(fact: Fact, loss: DataLossRecord, now: number, present: ReadonlySet<Process>): boolean {
    const contributes = (process: Process): boolean =>
      loss.knewUntil.has(process) &&
      !loss.ended.has(process) &&
      (present.has(process) || (loss.contributedAt.get(process) ?? now + 1) <= now);
    for (const [process, knewUntil] of loss.knewUntil)
      if (contributes(process) && (process === fact.by || knewUntil >= fact.at)) return true;
    const informed = Math.min(INFORMED_PEERS, fact.reached.length);
    return informed > 0 && fact.reached.filter((process) => !contributes(process)).length < informed;
  }
}
