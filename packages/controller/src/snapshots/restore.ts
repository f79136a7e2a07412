/**
 * Restores a snapshot's content into an empty state service, using ordinary transactions. The last transaction begins a new
 * incarnation that is marked as being rebuilt: terms and attempts used after the snapshot are never used again, and the first
 * leader waits until no task from before the restore can be running.
 */
import { Effect, Random } from 'effect';
import type { SnapshotContent } from '@lilacvalve/snapshot/read';
import { generationFloor } from '../recovery/model.js';
import { QUIESCENT, INCARNATION, LEADER, REBUILD, ROOT, RECOVERED, TERM } from '../jobs/keys.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import { jsonBytes, maxValueBytes, writeBytes } from '../state-store/transaction-limits.js';

/** Key that exists while a restore is in progress; its value identifies the snapshot and the last key restored. */
export const RESTORE_PROGRESS = 's/l/restore';

/** Limits of the state service: operations per transaction, and bytes per value. */
export interface RestoreLimits {
  readonly txnOps: number;
  readonly valueBytes: number;
}
/** Outcome of a restore: the number of keys, and whether an interrupted restore was resumed; or why it failed. */
export type RestoreResult =
  | { readonly ok: true; readonly written: number; readonly resumed: boolean }
  | { readonly ok: false; readonly reason: string };

/** Value of `RESTORE_PROGRESS`; it is stored under these field names. */
interface Progress {
  /** The snapshot being restored, as `incarnation@revision`. */
  readonly of: string;
  /** The last key written; empty if none was. */
  readonly to: string;
}

/** Whether a restore omits the key: the keys of the leadership, and those that belong to the lost incarnation. */
const isExcluded = (key: string): boolean =>
  key === LEADER ||
  key === TERM ||
  key === RESTORE_PROGRESS ||
  [REBUILD, QUIESCENT, RECOVERED].includes(key) ||
  key.startsWith(INCARNATION);

/** Maximum bytes of keys and values in one transaction: the protocol's body limit less an allowance for the other fields. */
const TRANSACTION_BYTES = 48 * 1024;

/**
 * Restores `content`. After an interruption, a repeated call continues after the last key restored. `onProgress` is called
 * after each transaction with the numbers of keys written and of all keys.
 */
export const restoreSnapshot = (
  content: SnapshotContent,
  store: StatePort,
  limits: RestoreLimits,
  onProgress: (written: number, total: number) => void,
): Effect.Effect<RestoreResult, StateFailure> =>
  Effect.gen(function* () {
    const snapshot = `${content.incarnation}@${content.revision}`;
    const firstPage = yield* store.page(ROOT, null, 1);
    const stored = (yield* store.get(RESTORE_PROGRESS)).entry;
    if (stored === null && firstPage.entries.length > 0)
      return {
        ok: false,
        reason: `the store is not empty: it contains the key ${firstPage.entries[0]!.key}`,
      } as const;
    let progress = (stored?.value as Progress | undefined) ?? { of: snapshot, to: '' };
    let revision = stored?.revision ?? 0;
    if (progress.of !== snapshot)
      return {
        ok: false,
        reason: `a restore of another snapshot (${progress.of}) is in progress`,
      } as const;
    const entries = [...content.entries.values()]
      .filter((entry) => entry.key.startsWith(ROOT) && !isExcluded(entry.key) && entry.value !== undefined)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const resumed = stored !== null;
    let remaining = entries.filter((entry) => entry.key > progress.to);
    /**
     * Writes one batch together with the progress, which is null for the last batch. Returns false if another process
     * changed the store.
     */
    const commit = (writes: readonly Write[], next: Progress | null) =>
      Effect.gen(function* () {
        for (;;) {
          const outcome = yield* Effect.either(
            store.transact(
              // The last transaction deletes the progress and writes the term. Requiring that there is no term protects the
              // store from a delayed copy of the first transaction, which also expects no progress: applied after the restore,
              // it would overwrite what the controllers have written since.
              [
                { key: RESTORE_PROGRESS, revision: revision },
                { key: TERM, revision: 0 },
              ],
              [
                ...writes,
                next === null ? { delete: RESTORE_PROGRESS } : { set: RESTORE_PROGRESS, value: next },
              ],
              Priority.Commit,
              3000,
            ),
          );
          if (outcome._tag === 'Right' && outcome.right.ok) {
            revision = outcome.right.revision;
            return true;
          }
          if (outcome._tag === 'Left' && outcome.left._tag === 'Rejected') return yield* outcome.left;
          // The transaction may have been applied and its response lost; the stored progress then equals the new one.
          const current = (yield* store.get(RESTORE_PROGRESS)).entry;
          const applied = JSON.stringify(current?.value ?? null) === JSON.stringify(next);
          if (applied) {
            revision = current?.revision ?? 0;
            return true;
          }
          if (outcome._tag === 'Right' || current?.revision !== (revision === 0 ? undefined : revision))
            return false;
          yield* Effect.sleep(100 + 100 * (yield* Random.next));
        }
      });
    while (remaining.length > 0) {
      const batch: Write[] = [];
      let bytes = 0;
      for (const entry of remaining) {
        const valueBytes = jsonBytes(entry.value);
        const size = writeBytes(entry.key, valueBytes);
        if (batch.length > 0 && (batch.length >= limits.txnOps - 1 || bytes + size > TRANSACTION_BYTES))
          break;
        if (valueBytes > maxValueBytes(limits))
          return {
            ok: false,
            reason: `${entry.key}: ${valueBytes} bytes exceed the store's limit of ${limits.valueBytes} per value`,
          } as const;
        batch.push({ set: entry.key, value: entry.value });
        bytes += size;
      }
      const to = remaining[batch.length - 1]!.key;
      if (!(yield* commit(batch, { of: snapshot, to })))
        return { ok: false, reason: 'another process is writing to the store' } as const;
      progress = { of: snapshot, to };
      remaining = remaining.slice(batch.length);
      onProgress(entries.length - remaining.length, entries.length);
    }
    const generation = content.generation + 1;
    const random = (yield* Random.nextIntBetween(0, 2 ** 31)).toString(36);
    const finalWrites: Write[] = [
      { set: TERM, value: { term: generationFloor(generation) } },
      { set: `${INCARNATION}restored.${generation}.${random}`, value: { g: generation, by: 'restore' } },
      { set: REBUILD, value: { phase: 'gather', heard: [] } },
    ];
    if (!(yield* commit(finalWrites, null)))
      return { ok: false, reason: 'another process is writing to the store' } as const;
    return { ok: true, written: entries.length, resumed } as const;
  });
