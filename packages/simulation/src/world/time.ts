/** Virtual time: a clock and an event queue that run the real program deterministically from a seed. */
import { Clock, Duration, Effect, Fiber, Layer, Logger, Random, Scheduler } from 'effect';
import { type Micros, micros } from '@lilacvalve/runtime/micros';

/** A scheduled event. Events at the same time run in the order in which they were scheduled. */
interface Event {
  readonly at: number;
  readonly order: number;
  readonly action: () => void;
}

const noLogger = Logger.remove(Logger.defaultLogger);

/** The virtual clock, in microseconds, and the queue of scheduled events. */
export class Time {
  now = 0;
  private order = 0;
  private forks = 0;
  /** A binary heap with the earliest event first. */
  private readonly heap: Event[] = [];
  private readonly scheduler = new Scheduler.ControlledScheduler();
  /** Called after each event. */
  onStep: () => void = () => undefined;

  constructor(
    private readonly seed: number,
    /** Whether to print the controllers' logs, with the time in seconds and the host's name. */
    private readonly print = false,
  ) {}

  micros = (): Micros => micros(this.now);

  /** Schedules an action after a delay in microseconds. Returns a function that cancels it. */
  after(delay: number, action: () => void): () => void {
    const event: Event = { at: this.now + Math.max(0, Math.round(delay)), order: this.order++, action };
    const heap = this.heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!before(heap[i]!, heap[parent]!)) break;
      [heap[i], heap[parent]] = [heap[parent]!, heap[i]!];
      i = parent;
    }
    let active = true;
    (event as { action: () => void }).action = () => {
      if (active) action();
    };
    return () => {
      active = false;
    };
  }

  /** Removes the earliest event from the heap. */
  private pop(): Event | undefined {
    const heap = this.heap;
    const top = heap[0];
    const last = heap.pop();
    if (top === undefined || last === undefined || heap.length === 0) return top;
    heap[0] = last;
    for (let i = 0; ;) {
      let earliest = i;
      for (const child of [2 * i + 1, 2 * i + 2])
        if (child < heap.length && before(heap[child]!, heap[earliest]!)) earliest = child;
      if (earliest === i) return top;
      [heap[i], heap[earliest]] = [heap[earliest]!, heap[i]!];
      i = earliest;
    }
  }

  /** Runs fibers until all of them are suspended. */
  private runFibers(): void {
    while (this.scheduler.tasks.buckets.length > 0) this.scheduler.step();
  }

  /** Runs all events up to `end` in order. After each event, fibers run until all of them are suspended. */
  run(end: number): void {
    this.runFibers();
    for (;;) {
      const event = this.heap[0];
      if (!event || event.at > end) break;
      this.pop();
      this.now = event.at;
      event.action();
      this.runFibers();
      this.onStep();
    }
    this.now = end;
  }

  /** Starts an effect on virtual time. `host`: the simulated host on which it runs, which may freeze. */
  fork<A, E>(effect: Effect.Effect<A, E>, host?: ControllerHost): Fiber.RuntimeFiber<A, E> {
    return Effect.runFork(
      effect.pipe(
        // Each fiber has its own seeded source, so that two controllers never draw the same random numbers.
        Effect.withRandom(Random.make(`${this.seed}/${this.forks++}`)),
        Effect.withClock(
          host
            ? {
                ...this.clock,
                sleep: (duration) =>
                  Effect.zipLeft(this.clock.sleep(Duration.sum(duration, host.timerDelay)), host.whenResumed),
              }
            : this.clock,
        ),
        Effect.provide(this.print ? this.printingLogger(host) : noLogger),
      ),
      { scheduler: this.scheduler },
    );
  }

  /** A logger that prints to stdout. */
  private printingLogger(host: ControllerHost | undefined): Layer.Layer<never> {
    return Logger.replace(
      Logger.defaultLogger,
      Logger.make(({ message }) => {
        const values = Array.isArray(message) ? message : [message];
        const text = values
          .map((value) => (typeof value === 'string' ? value : JSON.stringify(value)))
          .join(' ');
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
    sleep: (duration) =>
      Effect.async<void>((resume) => {
        const cancel = this.after(Duration.toMillis(duration) * 1000, () => resume(Effect.void));
        return Effect.sync(cancel);
      }),
  };
}

/**
 * A simulated host of a controller. While it is frozen, the controller makes no progress; all timers and messages that
 * became due meanwhile take effect when it resumes.
 */
export class ControllerHost {
  constructor(readonly name = '') {}

  /** Delay that an overloaded host adds to all its timers. */
  timerDelay = Duration.zero;
  private frozen = false;
  get isFrozen(): boolean {
    return this.frozen;
  }
  /** Actions that wait for the host to resume. */
  private waiting: (() => void)[] = [];

  /** Completes at once, or when a frozen host resumes. */
  readonly whenResumed: Effect.Effect<void> = Effect.suspend(() =>
    this.frozen
      ? Effect.async<void>((resume) => void this.waiting.push(() => resume(Effect.void)))
      : Effect.void,
  );

  /** Delays the result of an effect while the host is frozen. Used for everything that arrives from outside the host. */
  delayWhileFrozen<A, E>(effect: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.flatMap(Effect.exit(effect), (exit) => Effect.zipRight(this.whenResumed, exit));
  }

  /** Freezes the host for some microseconds. No effect if it is frozen already. */
  freeze(time: Time, micros: number): void {
    if (this.frozen) return;
    this.frozen = true;
    time.after(micros, () => {
      this.frozen = false;
      const due = this.waiting;
      this.waiting = [];
      for (const action of due) action();
    });
  }
}

const before = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);
