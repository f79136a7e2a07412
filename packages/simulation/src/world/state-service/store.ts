/** The content of the state service: keys with revisions and a log of changes, and how data losses alter them. */
import type { Changes, Outcome } from '@lilacvalve/controller/state-store/client';

/** Number of changes that the service keeps for answering watches. */
const MAX_LOG_CHANGES = 10_000;

/** A data loss to inject. Times in microseconds. */
export type Loss =
  /** All data. */
  | { readonly kind: 'all' }
  /** All changes of the last `since` microseconds. `leases`: what happens to leases and the keys bound to them. */
  | { readonly kind: 'window'; readonly since: number; readonly leases: 'renewed' | 'gone' | 'keys stay' }
  /** Each key with the prefix, with probability `part`. Watches see no change. */
  | { readonly kind: 'keys'; readonly prefix: string; readonly part: number }
  /**
   * Values of keys with the prefix become unreadable or revert to older ones, each with probability `part`; null: a single
   * one of them.
   */
  | {
      readonly kind: 'damage';
      readonly prefix: string;
      readonly part: number | null;
      readonly how: 'unreadable' | 'older';
    }
  /** For a duration of `lasts`, every second read is answered from a copy that is `since` microseconds old. */
  | { readonly kind: 'copies'; readonly since: number; readonly lasts: number };

/** A stored value in JSON, the revision that wrote it, and the lease that its key is bound to. */
export interface StoredValue {
  readonly value: string;
  readonly revision: number;
  readonly lease: number | null;
}

/** The content that a read is answered from. */
export interface Copy {
  readonly keys: ReadonlyMap<string, StoredValue>;
  readonly revision: number;
}

/** One change in the log. `value` undefined: the key was deleted. */
interface LogEntry {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
  readonly lease: number | null;
  readonly at: number;
}

/** A write of a transaction as it is sent: either `set` with a value, or `delete`. */
export interface SentWrite {
  readonly set?: string;
  readonly value?: unknown;
  readonly lease?: number;
  readonly delete?: string;
}

/** Keys, revisions and the log of changes. It performs no I/O and takes the time from its creator. */
export class Store {
  keys = new Map<string, StoredValue>();
  revision = 0;
  private log: LogEntry[] = [];

  /** `onPut`: called with every change, in order. */
  constructor(
    private readonly now: () => number,
    private readonly onPut: (key: string, value: string | undefined) => void,
  ) {}

  /** Executes a transaction: if every condition holds, all writes as one new revision, else none. */
  transact(
    when: readonly { readonly key: string; readonly revision: number }[],
    then: readonly SentWrite[],
  ): Outcome {
    const failed = when
      .filter((condition) => (this.keys.get(condition.key)?.revision ?? 0) !== condition.revision)
      .map((condition) => condition.key);
    if (failed.length > 0) return { ok: false, failed, revision: this.revision };
    if (then.length === 0) return { ok: true, revision: this.revision };
    this.revision++;
    for (const write of then) {
      if (write.set !== undefined) this.put(write.set, JSON.stringify(write.value), write.lease ?? null);
      else if (this.keys.has(write.delete!)) this.put(write.delete!, undefined, null);
    }
    return { ok: true, revision: this.revision };
  }

  /** Deletes all keys bound to a lease as one new revision. Returns whether there were any. */
  deleteBoundTo(lease: number): boolean {
    const boundKeys = [...this.keys].filter(([, stored]) => stored.lease === lease).map(([key]) => key);
    if (boundKeys.length === 0) return false;
    this.revision++;
    for (const key of boundKeys) this.put(key, undefined, null);
    return true;
  }

  /** The changes after a revision, for answering a watch. */
  changesAfter(prefix: string, after: number): Changes {
    const { log } = this;
    if (log.length > 0 && after < log[Math.max(0, log.length - MAX_LOG_CHANGES)]!.revision - 1)
      return { tooOld: true };
    const changes = [];
    for (let i = log.length - 1; i >= 0 && log[i]!.revision > after; i--) {
      const { key, revision, value } = log[i]!;
      if (key.startsWith(prefix))
        changes.unshift({ key, value: value === undefined ? undefined : JSON.parse(value), revision });
    }
    return { tooOld: false, revision: this.revision, changes };
  }

  /** All keys with their values as of a revision. Not valid after a data loss. */
  *entriesAt(revision: number): Generator<{ readonly key: string; readonly value: unknown }> {
    const keys = new Map<string, string>();
    for (const entry of this.log) {
      if (entry.revision > revision) break;
      if (entry.value === undefined) keys.delete(entry.key);
      else keys.set(entry.key, entry.value);
    }
    for (const [key, value] of keys) yield { key, value: JSON.parse(value) as unknown };
  }

  /** The content as it was `since` microseconds ago. */
  asOf(since: number): Copy {
    return this.replay(since).copy;
  }

  /** The keys with a prefix, sorted. */
  keysWithPrefix(prefix: string): string[] {
    return [...this.keys.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** Loses all data, including the revision. */
  clear(): void {
    this.keys = new Map();
    this.revision = 0;
    this.log = [];
  }

  /** Loses all changes of the last `since` microseconds. The revision goes back as well. */
  revertTo(since: number): void {
    const { copy, changes } = this.replay(since);
    this.keys = copy.keys;
    this.revision = copy.revision;
    this.log = this.log.slice(0, changes);
  }

  /** Makes a value unreadable. Watches see no change. */
  makeUnreadable(key: string): void {
    this.keys.set(key, { ...this.keys.get(key)!, value: '{"c":7}' });
  }

  /** Restores the value that a key had before its latest change, if it had one. Watches see no change. */
  revert(key: string): void {
    const current = this.keys.get(key)!;
    const previous = this.log
      .filter((entry) => entry.key === key && entry.value !== undefined && entry.revision < current.revision)
      .pop();
    if (previous)
      this.keys.set(key, { value: previous.value!, revision: previous.revision, lease: current.lease });
  }

  /** Applies a change at the current revision. */
  private put(key: string, value: string | undefined, lease: number | null): void {
    const revision = this.revision;
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, revision, lease });
    this.log.push({ key, value, revision, lease, at: this.now() });
    this.onPut(key, value);
  }

  /** Rebuilds the content as of `since` microseconds ago from the log. `changes`: the number of log entries it contains. */
  private replay(since: number): {
    readonly copy: { readonly keys: Map<string, StoredValue>; readonly revision: number };
    readonly changes: number;
  } {
    const keys = new Map<string, StoredValue>();
    let revision = 0;
    let changes = 0;
    for (const { at, key, lease, revision: entryRevision, value } of this.log) {
      if (at > this.now() - since) break;
      changes++;
      revision = entryRevision;
      if (value === undefined) keys.delete(key);
      else keys.set(key, { value, revision: entryRevision, lease });
    }
    return { copy: { keys, revision }, changes };
  }
}
