/** The state service's content: keys with revisions, the log of changes, and what a loss of data leaves of them. */
import type { Changes, Outcome } from '@lilacvalve/controller/state-store/client';

/** Changes that the service keeps to answer watches with. */
const LOG_KEPT = 10_000;

/** What the service loses. Times in microseconds. */
export type Loss =
  | { readonly kind: 'all' }
  /** Everything since; what becomes of leases, and of the keys on them. */
  | { readonly kind: 'window'; readonly since: number; readonly leases: 'renewed' | 'gone' | 'keys stay' }
  /** Each key below the prefix with this chance, without a change to tell of it. */
  | { readonly kind: 'keys'; readonly prefix: string; readonly part: number }
  /** Values below the prefix can't be read, or are older ones again: each with this chance; null: one of them. */
  | {
      readonly kind: 'damage';
      readonly prefix: string;
      readonly part: number | null;
      readonly how: 'unreadable' | 'older';
    }
  /** For so long every second read is answered by a copy that is as old as `since`. */
  | { readonly kind: 'copies'; readonly since: number; readonly lasts: number };

/** A value as it is stored, the revision that wrote it, and the lease that it is bound to. */
export interface StoredValue {
  readonly value: string;
  readonly revision: number;
  readonly lease: number | null;
}

/** What a read is answered from. */
export interface Copy {
  readonly keys: ReadonlyMap<string, StoredValue>;
  readonly revision: number;
}

/** One change of the log. `value` undefined: the key was deleted. */
interface LogEntry {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
  readonly lease: number | null;
  readonly at: number;
}

/** A write of a transaction, as it is sent. */
export interface SentWrite {
  readonly set?: string;
  readonly value?: unknown;
  readonly lease?: number;
  readonly delete?: string;
}

/** Keys, revisions and the log of changes. No I/O and no time of its own. */
export class Store {
  keys = new Map<string, StoredValue>();
  revision = 0;
  private log: LogEntry[] = [];

  /** `onPut`: called with every change, in order. */
  constructor(
    private readonly now: () => number,
    private readonly onPut: (key: string, value: string | undefined) => void,
  ) {}

  /** A transaction: all writes if every condition holds, which makes one new revision, else none. */
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

  /** Deletes every key that is bound to a lease, as one new revision. Whether there were any. */
  deleteBoundTo(lease: number): boolean {
    const bound = [...this.keys].filter(([, stored]) => stored.lease === lease).map(([key]) => key);
    if (bound.length === 0) return false;
    this.revision++;
    for (const key of bound) this.put(key, undefined, null);
    return true;
  }

  /** What a watch from `after` on is answered with now. */
  changesAfter(prefix: string, after: number): Changes {
    const { log } = this;
    if (log.length > 0 && after < log[Math.max(0, log.length - LOG_KEPT)]!.revision - 1)
      return { tooOld: true };
    const changes = [];
    for (let i = log.length - 1; i >= 0 && log[i]!.revision > after; i--) {
      const { key, revision: stamp, value } = log[i]!;
      if (key.startsWith(prefix))
        changes.unshift({ key, value: value === undefined ? undefined : JSON.parse(value), revision: stamp });
    }
    return { tooOld: false, revision: this.revision, changes };
  }

  /** Every key as of one revision; not after a loss. */
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

  /** The keys below a prefix, sorted. */
  keysBelow(prefix: string): string[] {
    return [...this.keys.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  /** Everything is lost, the revision too. */
  clear(): void {
    this.keys = new Map();
    this.revision = 0;
    this.log = [];
  }

  /** Everything since is lost, the revision goes back. */
  goBack(since: number): void {
    const { copy, changes } = this.replay(since);
    this.keys = copy.keys;
    this.revision = copy.revision;
    this.log = this.log.slice(0, changes);
  }

  /** A value can't be read any more. No change tells of it. */
  spoil(key: string): void {
    this.keys.set(key, { ...this.keys.get(key)!, value: '{"c":7}' });
  }

  /** A value is the one before its last change again, if there was one. No change tells of it. */
  revert(key: string): void {
    const now = this.keys.get(key)!;
    const before = this.log
      .filter((entry) => entry.key === key && entry.value !== undefined && entry.revision < now.revision)
      .pop();
    if (before) this.keys.set(key, { value: before.value!, revision: before.revision, lease: now.lease });
  }

  private put(key: string, value: string | undefined, lease: number | null): void {
    const stamp = this.revision;
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, revision: stamp, lease });
    this.log.push({ key, value, revision: stamp, lease, at: this.now() });
    this.onPut(key, value);
  }

  private replay(since: number): {
    readonly copy: { readonly keys: Map<string, StoredValue>; readonly revision: number };
    readonly changes: number;
  } {
    const keys = new Map<string, StoredValue>();
    let revision = 0;
    let changes = 0;
    for (const { at, key, lease, revision: stamp, value } of this.log) {
      if (at > this.now() - since) break;
      changes++;
      revision = stamp;
      if (value === undefined) keys.delete(key);
      else keys.set(key, { value, revision: stamp, lease });
    }
    return { copy: { keys, revision }, changes };
  }
}
