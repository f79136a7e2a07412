/** Stand-in for the state service, with outages, refusals, lost answers, late transactions and losses of data. */
import {
  Refused,
  type Changes,
  type Condition,
  type Outcome,
  type StateFailure,
  type Write,
} from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Links } from '../links.js';
import type { Time } from '../time.js';
import { Connection } from './connection.js';
import { Leases } from './leases.js';
import { type Limits, RateLimits } from './rate-limits.js';
import { type Copy, type Loss, type SentWrite, Store, type StoredValue } from './store.js';

/** What a lease lasts whose time nobody knows any more, microseconds. */
const UNKNOWN_TTL = 4e6;

/** The service: its content, who is connected, and the faults it is under. */
export class StateService {
  /** While true nothing is answered. */
  out = false;
  /** Controllers that are refused. */
  readonly refusedTo = new Set<string>();
  /** This share of requests gets no answer: carried out, carried out much later, or never. */
  lossy = 0;
  /** This share of transactions gets no answer and is carried out 2 to 12 s later. */
  lateShare = 0;
  /** This share of transactions is carried out at once, and nothing is heard of it. */
  unansweredShare = 0;
  /** Until then answers come late, beyond the callers' time-outs and out of order; requests are carried out. */
  slowUntil = 0;
  /** A watch whose time is over while its controller is not served ends with no answer. */
  watchesWait = false;

  /** Called with every change that is committed; undefined: the key is deleted. */
  onPut: (key: string, value: string | undefined) => void = () => undefined;
  /** Called with each change of a transaction once all of it is committed; undefined: the key is deleted. */
  onCommit: (key: string, value: unknown, stamp: number) => void = () => undefined;
  /** A value can't be read any more. */
  onSpoilt: (key: string) => void = () => undefined;
  /** A transaction was carried out of which its sender hears nothing. */
  onUnanswered: (
    by: string,
    when: readonly { readonly key: string; readonly revision: number }[],
    then: readonly Write[],
    revision: number,
  ) => void = () => undefined;
  /** What a controller has read shows it the store up to this revision. */
  onRead: (by: string, revision: number) => void = () => undefined;
  /** A transaction that will be carried out late is sent; what it returns is called when that happens. */
  onLate: (key: string) => () => void = () => () => undefined;
  /** What scenarios wait for has happened. */
  onOccurred: (what: string) => void = () => undefined;

  readonly leases: Leases;
  /** Called at every change: the watches that wait. */
  readonly watchers = new Set<() => void>();
  /** Requests of all controllers, by second, also those that get no answer. */
  readonly requests: number[] = [];
  private readonly rates: RateLimits;
  private readonly store: Store;
  /** While two copies answer in turn: the older one, and whether it answered last. */
  private older: (Copy & { turn: boolean }) | null = null;

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
      if (!this.out) this.endLease(id);
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

  /** Requests and writes a second; null: as many as controllers like. To be set before the first `port`. */
  get limits(): Limits | null {
    return this.rates.limits;
  }
  set limits(limits: Limits | null) {
    this.rates.limits = limits;
  }

  /** Every put and delete that was asked for: when. Not counted without limits. */
  get written(): readonly number[] {
    return this.rates.written;
  }

  get refusedAsTooMany(): number {
    return this.rates.refusedAsTooMany;
  }

  /** A new connection of one controller: by its budgets, where the service has limits. */
  port(node: string): StatePort {
    const port = new Connection(node, this, this.time, this.random, this.links);
    const { limits } = this.rates;
    return limits === null ? port : this.rates.limited(port, limits);
  }

  /** Begins or ends an outage. After it every lease has its full time again. */
  outage(on: boolean): void {
    this.out = on;
    if (on) return;
    this.leases.extendAll();
    this.notify();
  }

  /** A controller that was refused is served again: its open watches go on. */
  served(): void {
    this.notify();
  }

  /** A request has been sent. */
  countRequest(): void {
    const second = Math.floor(this.time.now / 1e6);
    this.requests[second] = (this.requests[second] ?? 0) + 1;
  }

  /** A compare-and-swap. `Refused` (400) if a write names a lease that there is not. */
  transact(when: readonly Condition[], then: readonly Write[]): Outcome | StateFailure {
    for (const write of then)
      if ('set' in write && write.lease !== undefined && !this.leases.has(write.lease))
        return new Refused({ status: 400, reason: 'no such lease' });
    const writes = JSON.parse(JSON.stringify(then)) as SentWrite[];
    const outcome = this.store.transact(when, writes);
    if (!outcome.ok || writes.length === 0) return outcome;
    for (const write of writes) this.onCommit(write.set ?? write.delete!, write.value, outcome.revision);
    this.notify();
    return outcome;
  }

  /** Ends a lease, and deletes the keys that are bound to it. */
  endLease(id: number): void {
    if (this.leases.remove(id) && this.store.deleteBoundTo(id)) this.notify();
  }

  /** What a watch is answered with; an older copy has not seen the latest changes. */
  changesAfter(prefix: string, after: number): Changes {
    const copy = this.readable();
    return copy === this.older
      ? { tooOld: false, revision: copy.revision, changes: [] }
      : this.store.changesAfter(prefix, after);
  }

  /** What answers the next read. */
  readable(): Copy {
    if (this.older === null) return this.store;
    this.older.turn = !this.older.turn;
    return this.older.turn ? this.older : this.store;
  }

  /** Every key as of one revision; not after a loss. */
  entriesAt(revision: number): Generator<{ readonly key: string; readonly value: unknown }> {
    return this.store.entriesAt(revision);
  }

  /** Data is lost now. */
  lose(loss: Loss): void {
    switch (loss.kind) {
      case 'all':
        this.store.clear();
        this.leases.reset();
        break;
      case 'window':
        this.loseWindow(loss);
        break;
      case 'keys':
        for (const key of this.store.keysBelow(loss.prefix))
          if (this.random.chance(loss.part)) this.keys.delete(key);
        break;
      case 'damage':
        this.damage(loss);
        break;
      case 'copies':
        this.older = { ...this.store.asOf(loss.since), turn: false };
        this.time.after(loss.lasts, () => (this.older = null));
    }
    this.notify();
  }

  private loseWindow({ leases, since }: Extract<Loss, { kind: 'window' }>): void {
    this.store.goBack(since);
    const ttls = this.leases.removeAll();
    for (const [key, { lease }] of [...this.keys]) {
      if (lease === null) continue;
      if (leases === 'gone') this.keys.delete(key);
      else if (leases === 'renewed') this.leases.arm(lease, ttls.get(lease) ?? UNKNOWN_TTL);
    }
  }

  private damage({ how, part, prefix }: Extract<Loss, { kind: 'damage' }>): void {
    const all = this.store.keysBelow(prefix);
    for (const key of part === null ? this.anyOf(all) : all.filter(() => this.random.chance(part))) {
      if (how === 'older') this.store.revert(key);
      else {
        this.store.spoil(key);
        this.onSpoilt(key);
      }
    }
  }

  private anyOf(keys: readonly string[]): readonly string[] {
    const one = keys[this.random.int(Math.max(1, keys.length))];
    return one === undefined ? [] : [one];
  }

  private notify(): void {
    for (const watcher of [...this.watchers]) watcher();
  }
}
