/** One controller's connection to the state service: what happens to each request and its answer on the way. */
import { Effect } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { micros } from '@lilacvalve/runtime/micros';
import {
  Refused,
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

/** Entries of a page at most. */
const PAGE = 40;
/** A client gives up on a request that the network has swallowed after this, microseconds. */
const LOST_TIMEOUT = 1_200_000;
/** By operation: how long the client waits, milliseconds. */
const GET_MS = 1000;
const PAGE_MS = 3000;
const FOLLOW_MS = 1500;
const GRANT_MS = 1500;
const RELEASE_MS = 800;

/** A request on its way. */
interface Call<A> {
  /** Carries it out. */
  readonly go: () => A | StateFailure;
  readonly limitMs: number;
  readonly resume: (effect: Effect.Effect<A, StateFailure>) => void;
}

/** A request's outcome as its caller gets it. */
const answerOf = <A>(outcome: A | StateFailure): Effect.Effect<A, StateFailure> =>
  outcome instanceof Refused || outcome instanceof NoResponse
    ? Effect.fail(outcome)
    : Effect.succeed(outcome);

const isCommitted = (outcome: Outcome | StateFailure): outcome is Outcome => 'ok' in outcome && outcome.ok;

/** The key that stands for a transaction: its first write's; empty: it writes nothing. */
const firstKey = (then: readonly Write[]): string => {
  const [first] = then;
  return first === undefined ? '' : 'set' in first ? first.set : first.delete;
};

/** The port of one controller process. Its methods need no `this`: they are handed on by name. */
export class Connection implements StatePort {
  lastServed = Number.NEGATIVE_INFINITY;
  lastRefused = Number.NEGATIVE_INFINITY;
  /** Transactions that this process has sent, and the newest that was carried out. */
  private sent = 0;
  private newest = 0;

  constructor(
    private readonly node: string,
    private readonly service: StateService,
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly links: Links,
  ) {}

  readonly leading: StatePort['leading'] = () => undefined;

  readonly writeWait: StatePort['writeWait'] = () => micros(0);

  readonly transact: StatePort['transact'] = (when, then, _priority, limitMs) =>
    Effect.suspend(() => {
      const { service } = this;
      const go = this.inOrder(() => service.transact(when, then));
      if (service.unansweredShare > 0 && this.random.chance(service.unansweredShare))
        return this.unheard(() => this.carryOutUnheard(go, when, then), limitMs);
      return this.call<Outcome>(go, limitMs, firstKey(then));
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
    }, GET_MS);

  readonly page: StatePort['page'] = (prefix, after, limit) =>
    this.call(() => {
      const copy = this.service.readable();
      const keys = [...copy.keys.keys()]
        .filter((key) => key.startsWith(prefix) && (after === null || key > after))
        .sort();
      const entries = keys.slice(0, Math.min(limit, PAGE)).map((key) => {
        const { revision: stamp, value } = copy.keys.get(key)!;
        return { key, value: JSON.parse(value) as unknown, revision: stamp };
      });
      return { entries, more: keys.length > entries.length, revision: copy.revision };
    }, PAGE_MS);

  readonly follow: StatePort['follow'] = (prefix, after, blockMs) => {
    const look = (): Changes => this.service.changesAfter(prefix, after);
    if (blockMs === 0) return this.observed(this.call(look, FOLLOW_MS));
    const held = this.call<Changes>(look, blockMs + FOLLOW_MS).pipe(
      Effect.flatMap((first) =>
        first.tooOld || first.changes.length > 0 ? Effect.succeed(first) : this.wait(look, blockMs),
      ),
    );
    return this.observed(held);
  };

  readonly grant: StatePort['grant'] = (ttl) => this.call(() => this.service.leases.grant(ttl), GRANT_MS);

  readonly extend: StatePort['extend'] = (lease, limitMs) =>
    this.call(() => this.service.leases.extend(lease), limitMs);

  readonly release: StatePort['release'] = (lease) =>
    this.call<void>(() => this.service.endLease(lease), RELEASE_MS);

  /** The service does not serve this controller, or it is out. */
  private get refused(): boolean {
    return this.service.out || this.service.refusedTo.has(this.node);
  }

  /** A transaction that may be overtaken by a newer one of the same process. */
  private inOrder(go: () => Outcome | StateFailure): () => Outcome | StateFailure {
    const number = ++this.sent;
    return () => {
      const outcome = go();
      if (number < this.newest) {
        this.service.onOccurred('write after newer');
        if (isCommitted(outcome)) this.service.onOccurred('write after newer, committed');
      }
      this.newest = Math.max(this.newest, number);
      return outcome;
    };
  }

  private carryOutUnheard(
    go: () => Outcome | StateFailure,
    when: readonly Condition[],
    then: readonly Write[],
  ): Outcome | StateFailure {
    const outcome = go();
    if (isCommitted(outcome)) this.service.onUnanswered(this.node, when, then, outcome.revision);
    return outcome;
  }

  /** Carried out if it is served, and its answer lost. */
  private unheard(go: () => Outcome | StateFailure, limitMs: number): Effect.Effect<never, StateFailure> {
    return Effect.suspend(() => {
      const sentAt = this.time.now;
      const served = this.lastServed;
      return Effect.flatMap(this.call<Outcome>(go, limitMs), () => {
        if (this.lastServed === this.time.now) this.lastServed = served;
        return Effect.async<never, StateFailure>((resume) => {
          this.time.after(sentAt + limitMs * 1000 - this.time.now, this.unanswered(resume, 'timeout'));
        });
      });
    });
  }

  /** One request by whatever way it takes. `write`: the key that a transaction stands for; null: it is none. */
  private call<A>(
    go: () => A | StateFailure,
    limitMs: number,
    write: string | null = null,
  ): Effect.Effect<A, StateFailure> {
    return Effect.async<A, StateFailure>((resume) => {
      const { random, service } = this;
      const call: Call<A> = { go, limitMs, resume };
      service.countRequest();
      if (write !== null && service.lateShare > 0 && random.chance(service.lateShare))
        return this.sendLate(call, write);
      const delay = random.chance(0.02) ? random.between(50_000, 400_000) : random.between(1000, 8000);
      if (random.chance(service.lossy)) return this.sendUnanswered(call, delay);
      if (this.linkFails()) return this.sendOverFailingLink(call);
      if (this.time.now < service.slowUntil) return this.sendSlowly(call);
      this.sendAsUsual(call, delay);
    });
  }

  private linkFails(): boolean {
    return this.links.state(this.node, 'state') !== null || this.links.state('state', this.node) !== null;
  }

  private served<A>(call: Call<A>, outcome: A | StateFailure): void {
    this.lastServed = this.time.now;
    call.resume(answerOf(outcome));
  }

  private unanswered(
    resume: (effect: Effect.Effect<never, StateFailure>) => void,
    reason: string,
  ): () => void {
    return () => {
      this.lastRefused = this.time.now;
      resume(Effect.fail(new NoResponse({ reason })));
    };
  }

  /** Carried out some seconds later, and not answered. */
  private sendLate<A>(call: Call<A>, write: string): void {
    const carried = this.service.onLate(write);
    this.time.after(this.random.between(2e6, 12e6), () => {
      if (this.service.out) return;
      carried();
      call.go();
    });
    this.time.after(call.limitMs * 1000, this.unanswered(call.resume, 'timeout'));
  }

  /** "No response": carried out, carried out much later, or never. */
  private sendUnanswered<A>(call: Call<A>, delay: number): void {
    const late = this.random.int(3);
    if (late < 2)
      this.time.after(late === 0 ? delay : this.random.between(1e6, 60e6), () => {
        if (!this.service.out) call.go();
      });
    this.time.after(LOST_TIMEOUT, this.unanswered(call.resume, 'timeout'));
  }

  private sendOverFailingLink<A>(call: Call<A>): void {
    const { links, node } = this;
    this.time.after(LOST_TIMEOUT, this.unanswered(call.resume, 'timeout'));
    const arrive = (): void => {
      if (this.refused) return;
      const outcome = call.go();
      links.answer(node, 'state', () => this.served(call, outcome), this.unanswered(call.resume, 'reset'));
    };
    links.send(node, 'state', arrive, this.unanswered(call.resume, 'reset'));
  }

  /** Both ways may take longer than the client waits. */
  private sendSlowly<A>(call: Call<A>): void {
    const { random, time } = this;
    const delay = (): number => (random.chance(0.5) ? random.between(1000, 4e5) : random.between(2e5, 4e6));
    let over = false;
    const once = (then: () => void) => () => {
      if (!over) then();
      over = true;
    };
    time.after(call.limitMs * 1000, once(this.unanswered(call.resume, 'timeout')));
    time.after(delay(), () => {
      const { refused } = this;
      const outcome = refused ? new Refused({ status: 503, reason: 'trouble' }) : call.go();
      if (over && !refused) this.service.onOccurred('carried out after the time-out');
      time.after(
        delay(),
        once(() => {
          if (refused) this.lastRefused = time.now;
          else this.lastServed = time.now;
          call.resume(answerOf(outcome));
        }),
      );
    });
  }

  private sendAsUsual<A>(call: Call<A>, delay: number): void {
    this.time.after(delay, () => {
      if (this.refused) {
        this.lastRefused = this.time.now;
        call.resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' })));
        return;
      }
      const outcome = call.go();
      this.time.after(this.random.between(500, 4000), () => this.served(call, outcome));
    });
  }

  /** A watch that waits for the next change, for so long at most. */
  private wait(look: () => Changes, blockMs: number): Effect.Effect<Changes, StateFailure> {
    const { service, time } = this;
    return Effect.async<Changes, StateFailure>((resume) => {
      const cut = (): boolean => this.refused || this.links.state('state', this.node) !== null;
      const done = (): void => {
        // It waits on, until the caller gives up.
        if (service.watchesWait && cut()) return;
        service.watchers.delete(check);
        stop();
        resume(Effect.succeed(look()));
      };
      const check = (): void => {
        if (cut()) return;
        const seen = look();
        if (seen.tooOld || seen.changes.length > 0) time.after(2000, done);
      };
      const stop = time.after(blockMs * 1000, done);
      if (service.watchesWait)
        time.after((blockMs + FOLLOW_MS) * 1000, () => {
          if (!service.watchers.delete(check)) return;
          this.unanswered(resume, 'timeout')();
        });
      service.watchers.add(check);
      return Effect.sync(() => {
        service.watchers.delete(check);
        stop();
      });
    });
  }

  private observed(read: Effect.Effect<Changes, StateFailure>): Effect.Effect<Changes, StateFailure> {
    return Effect.tap(read, (changes) =>
      Effect.sync(() => changes.tooOld || this.service.onRead(this.node, changes.revision)),
    );
  }
}
