/** A virtual clock and a scheduler of our own: the real program runs, on seeded, simulated time. */
import { Clock, Duration, Effect, Fiber, Layer, Logger, Random, Scheduler } from 'effect';
import { type Micros, micros } from '@lilacvalve/runtime/micros';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly go: () => void;
}

const silent = Logger.remove(Logger.defaultLogger);

export class Time {
  now = 0;
  private order = 0;
  private forks = 0;
  private readonly heap: Event[] = [];
  private readonly scheduler = new Scheduler.ControlledScheduler();
  onStep: () => void = () => undefined;

  constructor(
    private readonly seed: number,
    /** Prints what the nodes log, with the time in seconds and the host's name. */
    private readonly print = false,
  ) {}

  micros = (): Micros => micros(this.now);

  after(delay: number, go: () => void): () => void {
    const e: Event = { at: this.now + Math.max(0, Math.round(delay)), order: this.order++, go };
    const h = this.heap;
    let i = h.push(e) - 1;
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (!before(h[i]!, h[up]!)) break;
      [h[i], h[up]] = [h[up]!, h[i]!];
      i = up;
    }
    let live = true;
    (e as { go: () => void }).go = () => {
      if (live) go();
    };
    return () => {
      live = false;
    };
  }

  private pop(): Event | undefined {
    const h = this.heap;
    const top = h[0];
    const last = h.pop();
    if (top === undefined || last === undefined || h.length === 0) return top;
    h[0] = last;
    for (let i = 0; ;) {
      let least = i;
      for (const c of [2 * i + 1, 2 * i + 2]) if (c < h.length && before(h[c]!, h[least]!)) least = c;
      if (least === i) return top;
      [h[i], h[least]] = [h[least]!, h[i]!];
      i = least;
    }
  }

  /** Runs fibers until all of them wait. */
  private settle(): void {
    while (this.scheduler.tasks.buckets.length > 0) this.scheduler.step();
  }

  /** Runs until `end`, one event after another, each with all that follows from it at once. */
  run(end: number): void {
    this.settle();
    for (;;) {
      const e = this.heap[0];
      if (!e || e.at > end) break;
      this.pop();
      this.now = e.at;
      e.go();
      this.settle();
      this.onStep();
    }
    this.now = end;
  }

  /** `host`: the machine it runs on, which may stand still. */
  fork<A, E>(effect: Effect.Effect<A, E>, host?: Host): Fiber.RuntimeFiber<A, E> {
    return Effect.runFork(
      effect.pipe(
        // Each with luck of its own: two nodes never draw the same.
        Effect.withRandom(Random.make(`${this.seed}/${this.forks++}`)),
        Effect.withClock(
          host
            ? {
                ...this.clock,
                sleep: (d) => Effect.zipLeft(this.clock.sleep(Duration.sum(d, host.late)), host.pass),
              }
            : this.clock,
        ),
        Effect.provide(this.print ? this.printing(host) : silent),
      ),
      { scheduler: this.scheduler },
    );
  }

  private printing(host: Host | undefined): Layer.Layer<never> {
    return Logger.replace(
      Logger.defaultLogger,
      Logger.make(({ message }) => {
        const parts = Array.isArray(message) ? message : [message];
        const text = parts.map((p) => (typeof p === 'string' ? p : JSON.stringify(p))).join(' ');
        process.stdout.write(`${(this.now / 1e6).toFixed(3)} ${host?.name ?? '-'} ${text}\n`);
      }),
    );
  }

  private readonly clock: Clock.Clock = {
    [Clock.ClockTypeId]: Clock.ClockTypeId,
    unsafeCurrentTimeMillis: () => this.now / 1000,
    unsafeCurrentTimeNanos: () => BigInt(this.now) * 1000n,
    currentTimeMillis: Effect.sync(() => this.now / 1000),
    currentTimeNanos: Effect.sync(() => BigInt(this.now) * 1000n),
    sleep: (d) =>
      Effect.async<void>((resume) => {
        const cancel = this.after(Duration.toMillis(d) * 1000, () => resume(Effect.void));
        return Effect.sync(cancel);
      }),
  };
}

/** A machine that may stand still: while it does, nothing on it goes on, and all that is due happens as it wakes. */
export class Host {
  constructor(readonly name = '') {}

  /** With more to do than it can, all its timers fire so late. */
  late = Duration.zero;
  private frozen = false;
  get still(): boolean {
    return this.frozen;
  }
  private held: (() => void)[] = [];

  /** Goes on at once, or when the machine wakes. */
  readonly pass: Effect.Effect<void> = Effect.suspend(() =>
    this.frozen
      ? Effect.async<void>((resume) => void this.held.push(() => resume(Effect.void)))
      : Effect.void,
  );

  /** What arrives from outside. */
  gate<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.flatMap(Effect.exit(effect), (exit) => Effect.zipRight(this.pass, exit));
  }

  freeze(time: Time, micros: number): void {
    if (this.frozen) return;
    this.frozen = true;
    time.after(micros, () => {
      this.frozen = false;
      const due = this.held;
      this.held = [];
      for (const go of due) go();
    });
  }
}

const before = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);
