/** Stand-in for the state service, with outages, refusals, lost responses, delayed transactions and data losses. */
import {
  Rejected,
  wireTransaction,
  type Changes,
  type Condition,
  type Outcome,
  type StateFailure,
  type Write,
} from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import {
  transactionViolation,
  type StateServiceLimits,
} from '@lilacvalve/controller/support/transaction-rules';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Links } from '../links.js';
import type { Time } from '../time.js';
import { Connection } from './connection.js';
import { Leases } from './leases.js';
import { type Limits, RateLimits } from './rate-limits.js';
import { type Copy, type Loss, type SentWrite, Store, type StoredValue } from './store.js';

/** Duration of a lease whose original duration is lost, in microseconds. */
const UNKNOWN_TTL = 4e6;

/** The service: its content, its leases, its connections, and the faults that are in effect. */
export class StateService {
  /** While true, the service answers no request. */
  isDown = false;
  /** Labels of the controllers that the service refuses. */
  readonly refusedControllers = new Set<string>();
  /** The fraction of requests that get no response; each is executed as usual, much later, or never. */
  lossyFraction = 0;
  /** The fraction of transactions that get no response and are executed 2 to 12 s later. */
  lateFraction = 0;
  /** The fraction of transactions that are executed as usual and get no response. */
  unansweredFraction = 0;
  /** Until this time, requests are executed, but responses may arrive after the callers' timeouts and out of order. */
  slowUntil = 0;
  /** Whether a watch that reaches its time limit while the service refuses its controller ends without a response. */
  watchesWait = false;

  /** The limits on a transaction. */
  transactionLimits: StateServiceLimits = { valueBytes: 16 * 1024, txnOps: 20 };
  /** Called with the reason of each transaction that exceeds a limit. */
  onRejected: (reason: string) => void = () => undefined;
  /** Called with every change as it is applied. `value` undefined: the key is deleted. */
  onPut: (key: string, value: string | undefined) => void = () => undefined;
  /** Called with each change of a transaction after the whole commit. `value` undefined: the key is deleted. */
  onCommit: (key: string, value: unknown, revision: number) => void = () => undefined;
  /** Called when a value becomes unreadable. */
  onDamaged: (key: string) => void = () => undefined;
  /** Called with a committed transaction whose sender gets no response. */
  onUnanswered: (
    by: string,
    when: readonly { readonly key: string; readonly revision: number }[],
    then: readonly Write[],
    revision: number,
  ) => void = () => undefined;
  /** Called when a controller has read all changes up to a revision. */
  onRead: (by: string, revision: number) => void = () => undefined;
  /** Called when a transaction is sent that will be executed late. The returned function is called at its execution. */
  onLate: (key: string) => () => void = () => () => undefined;
  /** Called with the name of an event that scenarios count. */
  onOccurred: (what: string) => void = () => undefined;

  readonly leases: Leases;
  /** The pending watches, called at every change. */
  readonly watchers = new Set<() => void>();
  /** Number of requests by second, of all controllers and including unanswered ones. */
  readonly requests: number[] = [];
  private readonly rates: RateLimits;
  private readonly store: Store;
  /** While two copies answer reads alternately: the older copy, and whether it answered the latest read. */
  private older: (Copy & { answeredLast: boolean }) | null = null;

  constructor(
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly links: Links,
  ) {
    this.store = new Store(
      () => time.now,
      (key, value) => this.onPut(key, value),
    );
    this.rates = new RateLimits(time);
    this.leases = new Leases(time, random, (id) => {
      if (!this.isDown) this.endLease(id);
    });
  }

  get keys(): Map<string, StoredValue> {
    return this.store.keys;
  }

  get revision(): number {
    return this.store.revision;
  }
  set revision(revision: number) {
    this.store.revision = revision;
  }

  /** The rate limits; null: unlimited. Must be set before the first call of `port`. */
  get limits(): Limits | null {
    return this.rates.limits;
  }
  set limits(limits: Limits | null) {
    this.rates.limits = limits;
  }

  /** The time of every requested put and delete, in microseconds. Recorded only if there are limits. */
  get writeTimes(): readonly number[] {
    return this.rates.written;
  }

  /** Number of requests rejected because of the limits. */
  get rejectedRequests(): number {
    return this.rates.refusedAsTooMany;
  }

  /** Opens a connection for a controller. It applies the controller's budgets if the service has limits. */
  port(label: string): StatePort {
    const port = new Connection(label, this, this.time, this.random, this.links);
    const { limits } = this.rates;
    return limits === null ? port : this.rates.limited(port, limits);
  }

  /** Begins or ends an outage. Its end restarts the time of every lease. */
  outage(isDown: boolean): void {
    this.isDown = isDown;
    if (isDown) return;
    this.leases.extendAll();
    this.notify();
  }

  /** Resumes the open watches after the refusal of a controller has ended. */
  resumeWatches(): void {
    this.notify();
  }

  /** Counts a request that has been sent. */
  countRequest(): void {
    const second = Math.floor(this.time.now / 1e6);
    this.requests[second] = (this.requests[second] ?? 0) + 1;
  }

  /**
   * Executes a compare-and-swap transaction. Returns `Rejected` if it exceeds a limit or a write refers to a lease that does
   * not exist.
   */
  transact(when: readonly Condition[], then: readonly Write[]): Outcome | StateFailure {
    const violation = transactionViolation(wireTransaction(when, then), this.transactionLimits);
    if (violation !== null) {
      this.onRejected(violation);
      return new Rejected({ reason: violation });
    }
    for (const write of then)
      if ('set' in write && write.lease !== undefined && !this.leases.has(write.lease))
        return new Rejected({ reason: 'no such lease' });
    const writes = JSON.parse(JSON.stringify(then)) as SentWrite[];
    const outcome = this.store.transact(when, writes);
    if (!outcome.ok || writes.length === 0) return outcome;
    for (const write of writes) this.onCommit(write.set ?? write.delete!, write.value, outcome.revision);
    this.notify();
    return outcome;
  }

  /** Ends a lease and deletes the keys bound to it. */
  endLease(id: number): void {
    if (this.leases.remove(id) && this.store.deleteBoundTo(id)) this.notify();
  }

  /** The changes to answer a watch with; none from an older copy, which lacks the latest ones. */
  changesAfter(prefix: string, after: number): Changes {
    const copy = this.readable();
    return copy === this.older
      ? { tooOld: false, revision: copy.revision, changes: [] }
      : this.store.changesAfter(prefix, after);
  }

  /** The copy that answers the next read. */
  readable(): Copy {
    if (this.older === null) return this.store;
    this.older.answeredLast = !this.older.answeredLast;
    return this.older.answeredLast ? this.older : this.store;
  }

  /** All keys with their values as of a revision. Not valid after a data loss. */
  entriesAt(revision: number): Generator<{ readonly key: string; readonly value: unknown }> {
    return this.store.entriesAt(revision);
  }

  /** Injects a data loss. */
  loseData(loss: Loss): void {
    switch (loss.kind) {
      case 'all':
        this.store.clear();
        this.leases.reset();
        break;
      case 'window':
        this.loseWindow(loss);
        break;
      case 'keys':
        for (const key of this.store.keysWithPrefix(loss.prefix))
          if (this.random.chance(loss.part)) this.keys.delete(key);
        break;
      case 'damage':
        this.damage(loss);
        break;
      case 'copies':
        this.older = { ...this.store.asOf(loss.since), answeredLast: false };
        this.time.after(loss.lasts, () => (this.older = null));
    }
    this.notify();
  }

  /** Reverts the store to an earlier state, and treats leases and the keys bound to them as the loss specifies. */
  private loseWindow({ leases, since }: Extract<Loss, { kind: 'window' }>): void {
    this.store.revertTo(since);
    const ttls = this.leases.removeAll();
    for (const [key, { lease }] of [...this.keys]) {
      if (lease === null) continue;
      if (leases === 'gone') this.keys.delete(key);
      else if (leases === 'renewed') this.leases.start(lease, ttls.get(lease) ?? UNKNOWN_TTL);
    }
  }

  /** Makes values unreadable, or replaces them with older ones. */
  private damage({ how, part, prefix }: Extract<Loss, { kind: 'damage' }>): void {
    const keys = this.store.keysWithPrefix(prefix);
    for (const key of part === null ? this.drawOne(keys) : keys.filter(() => this.random.chance(part))) {
      if (how === 'older') this.store.revert(key);
      else {
        this.store.makeUnreadable(key);
        this.onDamaged(key);
      }
    }
  }

  /** One of the keys, drawn at random; none if there are none. */
  private drawOne(keys: readonly string[]): readonly string[] {
    const key = keys[this.random.int(Math.max(1, keys.length))];
    return key === undefined ? [] : [key];
  }

  private notify(): void {
    for (const watcher of [...this.watchers]) watcher();
  }
}
