/**
 * Who must remember what users were told: the promise of docs/rebuild.md ("What is promised"), asked exactly, from what
 * happened to each controller and without a look at what it holds.
 */

/** A controller's process: another one after each start. */
export interface Process {
  readonly label: string;
}

/** What a user was told. */
export interface Fact {
  /** When the answer left its controller. */
  readonly at: number;
  readonly by: Process;
  /** Controllers that could be reached: two of them, or all if they are fewer, were told before the user. */
  readonly reached: readonly Process[];
}

/** How a controller stands right now. */
export interface Standing {
  readonly process: Process;
  /** It goes on, has read the store, and that serves it. */
  readonly fine: boolean;
  /** The labels of controllers that it reaches and that reach it. */
  readonly reaches: ReadonlySet<string>;
}

/** A controller that reads without a fault for so long has read all that was there before. */
const READS_WITHIN = 1e6;
/** Final states are read by then, after a start. */
const GROWN_UP = 5e6;
/** A loss that is not over by then is not waited for any longer. */
const WAITED = 90e6;
/** Peers that have reached each other for so long know of it. */
const MEETS_WITHIN = 5e6;
/** A controller that goes on for so long after a loss has made it good, or has told those who do. */
const SPEAKS_WITHIN = 8e6;
/** Told before a user is. */
const TOLD = 2;

interface Seen {
  /** Since when it has been there. */
  readonly from: number;
  /** Since when it is fine without a break; null: it is not. */
  fine: number | null;
  /** It knows all that was told before. */
  knows: number;
  readonly reaches: Map<string, number>;
}

interface Lost {
  readonly at: number;
  /** What was told before is in the store still. */
  readonly kept: number;
  /** What each controller that was there must have known. */
  readonly knew: Map<Process, number>;
  /** Those that ended before the loss was made good. */
  readonly ended: Set<Process>;
  /** When each was first heard after it. */
  readonly spoke: Map<Process, number>;
  settled: boolean;
}

export class Memory {
  private readonly seen = new Map<Process, Seen>();
  private readonly losses: Lost[] = [];

  /** Now and then: how each controller that is up stands. */
  look(now: number, up: readonly Standing[]): void {
    const open = this.losses.some((l) => !l.settled);
    for (const s of up) {
      let seen = this.seen.get(s.process);
      if (!seen) this.seen.set(s.process, (seen = { from: now, fine: null, knows: -1, reaches: new Map() }));
      seen.fine = s.fine ? (seen.fine ?? now) : null;
      for (const label of [...seen.reaches.keys()])
        if (!s.fine || !s.reaches.has(label)) seen.reaches.delete(label);
      if (s.fine) for (const label of s.reaches) if (!seen.reaches.has(label)) seen.reaches.set(label, now);
      // What it reads while a loss is being made good is not all.
      if (!open && seen.fine !== null && now - seen.fine >= READS_WITHIN && now - seen.from >= GROWN_UP)
        seen.knows = Math.max(seen.knows, now - READS_WITHIN);
      for (const l of this.losses)
        if (seen.fine !== null && now - Math.max(seen.fine, l.at) >= SPEAKS_WITHIN && !l.spoke.has(s.process))
          l.spoke.set(s.process, now);
    }
    const there = new Set(up.map((s) => s.process));
    for (const p of this.seen.keys()) if (!there.has(p)) this.ends(p);
  }

  private ends(p: Process): void {
    this.seen.delete(p);
    for (const l of this.losses) if (!l.settled) l.ended.add(p);
  }

  /** An answer leaves `by`, which told those of its peers first that are `among`. */
  fact(now: number, by: Process, among: (p: Process) => boolean): Fact {
    return { at: now, by, reached: this.met(by, now, MEETS_WITHIN).filter(among) };
  }

  private met(by: Process, now: number, within: number): Process[] {
    const met = this.seen.get(by)?.reaches;
    return [...this.seen].flatMap(([p, seen]) =>
      p !== by && seen.fine !== null && now - Math.max(seen.fine, met?.get(p.label) ?? now) >= within
        ? [p]
        : [],
    );
  }

  /** Who has a say in an answer that `by` gives: itself, and who has been in touch with it. */
  present(now: number, by: Process): ReadonlySet<Process> {
    return new Set([by, ...this.met(by, now, READS_WITHIN)]);
  }

  /** The store loses what was told from `kept` on. */
  lose(now: number, kept: number): void {
    const knew = new Map([...this.seen].map(([p, s]) => [p, s.knows] as const));
    this.losses.push({ at: now, kept, knew, ended: new Set(), spoke: new Map(), settled: false });
  }

  /** `done`: the store says that the last loss is made good. true: nothing is left open. */
  settle(now: number, done: boolean): boolean {
    for (const l of this.losses) {
      if (l.settled) continue;
      const nobody = [...l.knew.keys()].every((p) => l.ended.has(p));
      if (nobody || (done && now - l.at >= SPEAKS_WITHIN) || now - l.at >= WAITED) l.settled = true;
    }
    return this.losses.every((l) => l.settled);
  }

  /**
   * Whether an answer at `now` had to know one of `facts`. `present`: who had a say in it. To be asked once all losses are
   * settled: who ends before may take a fact along.
   */
  promised(facts: readonly Fact[], now: number, present: ReadonlySet<Process>): boolean {
    return facts.some((f) =>
      this.losses.every(
        (l) => l.at < f.at || l.at > now || f.at < l.kept || this.remembered(f, l, now, present),
      ),
    );
  }

  private remembered(f: Fact, l: Lost, now: number, present: ReadonlySet<Process>): boolean {
    const lives = (p: Process): boolean =>
      l.knew.has(p) && !l.ended.has(p) && (present.has(p) || (l.spoke.get(p) ?? now + 1) <= now);
    for (const [p, knew] of l.knew) if (lives(p) && (p === f.by || knew >= f.at)) return true;
    const told = Math.min(TOLD, f.reached.length);
    return told > 0 && f.reached.filter((p) => !lives(p)).length < told;
  }
}
