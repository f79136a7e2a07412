/** A controller's connection to the state service, with the faults that requests and responses meet on the way. */
import { Effect } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { micros } from '@lilacvalve/runtime/micros';
import {
  Refused,
  Rejected,
  type Changes,
  type Condition,
  type Found,
  type Outcome,
  type StateFailure,
  type Write,
} from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Links } from '../links.js';
import type { Time } from '../time.js';
import type { StateService } from './state-service.js';

/** Maximum number of entries of a page. */
const MAX_PAGE_ENTRIES = 40;
/** Timeout of a request that is lost in the network, in microseconds. */
const LOST_TIMEOUT = 1_200_000;
/** Timeouts of the client by operation, in milliseconds. */
const GET_TIMEOUT_MS = 1000;
const PAGE_TIMEOUT_MS = 3000;
const FOLLOW_TIMEOUT_MS = 1500;
const GRANT_TIMEOUT_MS = 1500;
const RELEASE_TIMEOUT_MS = 800;

/** A request in flight. */
interface Call<A> {
  /** Executes the request. */
  readonly execute: () => A | StateFailure;
  /** How long the caller waits. */
  readonly timeoutMs: number;
  /** Passes the result to the caller. */
  readonly resume: (effect: Effect.Effect<A, StateFailure>) => void;
}

/** Converts the outcome of a request to the effect that its caller receives. */
const toEffect = <A>(outcome: A | StateFailure): Effect.Effect<A, StateFailure> =>
  outcome instanceof Refused || outcome instanceof Rejected || outcome instanceof NoResponse
    ? Effect.fail(outcome)
    : Effect.succeed(outcome);

const isCommitted = (outcome: Outcome | StateFailure): outcome is Outcome => 'ok' in outcome && outcome.ok;

/** The key of a transaction's first write, which identifies it in reports; empty if it writes nothing. */
const firstKey = (then: readonly Write[]): string => {
  const [first] = then;
  return first === undefined ? '' : 'set' in first ? first.set : first.delete;
};

/** The port of one controller process. Its methods do not depend on `this`, since callers pass them on as functions. */
export class Connection implements StatePort {
  /** When a request was last answered, in microseconds. */
  lastServed = Number.NEGATIVE_INFINITY;
  /** When a request was last refused or timed out, in microseconds. */
  lastRefused = Number.NEGATIVE_INFINITY;
  /** Number of transactions sent by this process. */
  private sentCount = 0;
  /** Number of the newest transaction that was executed. */
  private newestExecuted = 0;

  constructor(
    private readonly label: string,
    private readonly service: StateService,
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly links: Links,
  ) {}

  readonly leading: StatePort['leading'] = () => undefined;

  readonly writeWait: StatePort['writeWait'] = () => micros(0);

  readonly transact: StatePort['transact'] = (when, then, _priority, timeoutMs) =>
    Effect.suspend(() => {
      const { service } = this;
      const execute = this.withOrderCheck(() => service.transact(when, then));
      if (service.unansweredFraction > 0 && this.random.chance(service.unansweredFraction))
        return this.sendWithLostResponse(() => this.executeUnanswered(execute, when, then), timeoutMs);
      return this.call<Outcome>(execute, timeoutMs, firstKey(then));
    });

  readonly get: StatePort['get'] = (key) =>
    this.call<Found>(() => {
      const copy = this.service.readable();
      const stored = copy.keys.get(key);
      return stored
        ? {
            entry: { key, value: JSON.parse(stored.value) as unknown, revision: stored.revision },
            revision: null,
          }
        : { entry: null, revision: copy.revision };
    }, GET_TIMEOUT_MS);

  readonly page: StatePort['page'] = (prefix, after, limit) =>
    this.call(() => {
      const copy = this.service.readable();
      const keys = [...copy.keys.keys()]
        .filter((key) => key.startsWith(prefix) && (after === null || key > after))
        .sort();
      const entries = keys.slice(0, Math.min(limit, MAX_PAGE_ENTRIES)).map((key) => {
        const { revision, value } = copy.keys.get(key)!;
        return { key, value: JSON.parse(value) as unknown, revision };
      });
      return { entries, more: keys.length > entries.length, revision: copy.revision };
    }, PAGE_TIMEOUT_MS);

  readonly follow: StatePort['follow'] = (prefix, after, blockMs) => {
    const readChanges = (): Changes => this.service.changesAfter(prefix, after);
    if (blockMs === 0) return this.withReadReport(this.call(readChanges, FOLLOW_TIMEOUT_MS));
    const held = this.call<Changes>(readChanges, blockMs + FOLLOW_TIMEOUT_MS).pipe(
      Effect.flatMap((first) =>
        first.tooOld || first.changes.length > 0 ? Effect.succeed(first) : this.wait(readChanges, blockMs),
      ),
    );
    return this.withReadReport(held);
  };

  readonly grant: StatePort['grant'] = (ttl) =>
    this.call(() => this.service.leases.grant(ttl), GRANT_TIMEOUT_MS);

  readonly extend: StatePort['extend'] = (lease, timeoutMs) =>
    this.call(() => this.service.leases.extend(lease), timeoutMs);

  readonly release: StatePort['release'] = (lease) =>
    this.call<void>(() => this.service.endLease(lease), RELEASE_TIMEOUT_MS);

  /** Whether the service is down or refuses this controller. */
  private get refused(): boolean {
    return this.service.isDown || this.service.refusedControllers.has(this.label);
  }

  /** Wraps a transaction to report when it is executed after a newer one of the same process. */
  private withOrderCheck(execute: () => Outcome | StateFailure): () => Outcome | StateFailure {
    const number = ++this.sentCount;
    return () => {
      const outcome = execute();
      if (number < this.newestExecuted) {
        this.service.onOccurred('write after newer');
        if (isCommitted(outcome)) this.service.onOccurred('write after newer, committed');
      }
      this.newestExecuted = Math.max(this.newestExecuted, number);
      return outcome;
    };
  }

  /** Executes a transaction whose response will be lost, and reports it if it commits. */
  private executeUnanswered(
    execute: () => Outcome | StateFailure,
    when: readonly Condition[],
    then: readonly Write[],
  ): Outcome | StateFailure {
    const outcome = execute();
    if (isCommitted(outcome)) this.service.onUnanswered(this.label, when, then, outcome.revision);
    return outcome;
  }

  /** Sends a transaction that is executed if the service serves it, and whose response is always lost. */
  private sendWithLostResponse(
    execute: () => Outcome | StateFailure,
    timeoutMs: number,
  ): Effect.Effect<never, StateFailure> {
    return Effect.suspend(() => {
      const sentAt = this.time.now;
      const served = this.lastServed;
      return Effect.flatMap(this.call<Outcome>(execute, timeoutMs), () => {
        if (this.lastServed === this.time.now) this.lastServed = served;
        return Effect.async<never, StateFailure>((resume) => {
          this.time.after(sentAt + timeoutMs * 1000 - this.time.now, this.failure(resume, 'timeout'));
        });
      });
    });
  }

  /** Sends one request, subject to the current faults. `write`: the key that identifies a transaction; null: not one. */
  private call<A>(
    execute: () => A | StateFailure,
    timeoutMs: number,
    write: string | null = null,
  ): Effect.Effect<A, StateFailure> {
    return Effect.async<A, StateFailure>((resume) => {
      const { random, service } = this;
      const call: Call<A> = { execute, timeoutMs, resume };
      service.countRequest();
      if (write !== null && service.lateFraction > 0 && random.chance(service.lateFraction))
        return this.sendLate(call, write);
      const delay = random.chance(0.02) ? random.between(50_000, 400_000) : random.between(1000, 8000);
      if (random.chance(service.lossyFraction)) return this.sendUnanswered(call, delay);
      if (this.hasLinkFault()) return this.sendOverFailingLink(call);
      if (this.time.now < service.slowUntil) return this.sendSlowly(call);
      this.sendAsUsual(call, delay);
    });
  }

  /** Whether the link to or from the service has a fault. */
  private hasLinkFault(): boolean {
    return this.links.state(this.label, 'state') !== null || this.links.state('state', this.label) !== null;
  }

  /** Passes the response to the caller. */
  private served<A>(call: Call<A>, outcome: A | StateFailure): void {
    this.lastServed = this.time.now;
    call.resume(toEffect(outcome));
  }

  /** Returns an action that fails the request for lack of a response. */
  private failure(resume: (effect: Effect.Effect<never, StateFailure>) => void, reason: string): () => void {
    return () => {
      this.lastRefused = this.time.now;
      resume(Effect.fail(new NoResponse({ reason })));
    };
  }

  /** Sends a transaction that is executed some seconds later, and never answered. */
  private sendLate<A>(call: Call<A>, write: string): void {
    const onExecuted = this.service.onLate(write);
    this.time.after(this.random.between(2e6, 12e6), () => {
      if (this.service.isDown) return;
      onExecuted();
      call.execute();
    });
    this.time.after(call.timeoutMs * 1000, this.failure(call.resume, 'timeout'));
  }

  /** Sends a request that gets no response. It is executed as usual, much later, or never, each with equal probability. */
  private sendUnanswered<A>(call: Call<A>, delay: number): void {
    const late = this.random.int(3);
    if (late < 2)
      this.time.after(late === 0 ? delay : this.random.between(1e6, 60e6), () => {
        if (!this.service.isDown) call.execute();
      });
    this.time.after(LOST_TIMEOUT, this.failure(call.resume, 'timeout'));
  }

  /** Sends a request over a link with a fault, which may delay, lose or reset the request or its response. */
  private sendOverFailingLink<A>(call: Call<A>): void {
    const { links, label } = this;
    this.time.after(LOST_TIMEOUT, this.failure(call.resume, 'timeout'));
    const arrive = (): void => {
      if (this.refused) return;
      const outcome = call.execute();
      links.sendResponse(
        label,
        'state',
        () => this.served(call, outcome),
        this.failure(call.resume, 'reset'),
      );
    };
    links.send(label, 'state', arrive, this.failure(call.resume, 'reset'));
  }

  /** Sends a request whose delays in both directions may exceed the client's timeout. */
  private sendSlowly<A>(call: Call<A>): void {
    const { random, time } = this;
    const delay = (): number => (random.chance(0.5) ? random.between(1000, 4e5) : random.between(2e5, 4e6));
    let finished = false;
    const once = (then: () => void) => () => {
      if (!finished) then();
      finished = true;
    };
    time.after(call.timeoutMs * 1000, once(this.failure(call.resume, 'timeout')));
    time.after(delay(), () => {
      const { refused } = this;
      const outcome = refused ? new Refused({ status: 503, reason: 'trouble' }) : call.execute();
      if (finished && !refused) this.service.onOccurred('carried out after the time-out');
      time.after(
        delay(),
        once(() => {
          if (refused) this.lastRefused = time.now;
          else this.lastServed = time.now;
          call.resume(toEffect(outcome));
        }),
      );
    });
  }

  /** Sends a request without network faults. The service may still refuse it. */
  private sendAsUsual<A>(call: Call<A>, delay: number): void {
    this.time.after(delay, () => {
      if (this.refused) {
        this.lastRefused = this.time.now;
        call.resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' })));
        return;
      }
      const outcome = call.execute();
      this.time.after(this.random.between(500, 4000), () => this.served(call, outcome));
    });
  }

  /** Waits for the next change that a watch matches, for at most `blockMs`. */
  private wait(readChanges: () => Changes, blockMs: number): Effect.Effect<Changes, StateFailure> {
    const { service, time } = this;
    return Effect.async<Changes, StateFailure>((resume) => {
      const unreachable = (): boolean => this.refused || this.links.state('state', this.label) !== null;
      const finish = (): void => {
        // The watch stays open until the caller's timeout.
        if (service.watchesWait && unreachable()) return;
        service.watchers.delete(check);
        stop();
        resume(Effect.succeed(readChanges()));
      };
      const check = (): void => {
        if (unreachable()) return;
        const changes = readChanges();
        if (changes.tooOld || changes.changes.length > 0) time.after(2000, finish);
      };
      const stop = time.after(blockMs * 1000, finish);
      if (service.watchesWait)
        time.after((blockMs + FOLLOW_TIMEOUT_MS) * 1000, () => {
          if (!service.watchers.delete(check)) return;
          this.failure(resume, 'timeout')();
        });
      service.watchers.add(check);
      return Effect.sync(() => {
        service.watchers.delete(check);
        stop();
      });
    });
  }

  /** Reports the revision that a read has shown to the controller. */
  private withReadReport(read: Effect.Effect<Changes, StateFailure>): Effect.Effect<Changes, StateFailure> {
    return Effect.tap(read, (changes) =>
      Effect.sync(() => changes.tooOld || this.service.onRead(this.label, changes.revision)),
    );
  }
}
