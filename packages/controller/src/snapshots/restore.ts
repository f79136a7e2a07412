/**
 * Writes a snapshot's content into an empty state service, by ordinary transactions. They begin a new incarnation that is
 * marked as being rebuilt: terms and attempts used after the snapshot are never used again, and the first leader waits until
 * nothing from before can be running.
 */
import { Effect, Random } from 'effect';
import type { Content } from '@lilacvalve/snapshot/read';
import { generationFloor } from '../recovery/model.js';
import { QUIESCENT, INCARNATION, LEADER, REBUILD, ROOT, RECOVERED, TERM } from '../jobs/keys.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';

/** There while a restore is under way: of which snapshot, and how far it has come. */
export const RESTORE_PROGRESS = 's/l/restore';

export interface RestoreLimits {
  readonly txnOps: number;
  readonly valueBytes: number;
}
export type Restored =
  | { readonly ok: true; readonly written: number; readonly resumed: boolean }
  | { readonly ok: false; readonly reason: string };

interface Progress {
  readonly of: string;
  /** The last key written; '': none yet. */
  readonly to: string;
}

/** Keys that a restore leaves out: they tell who led, or belong to the incarnation that is over. */
const isLeftOut = (key: string): boolean =>
  key === LEADER ||
  key === TERM ||
  key === RESTORE_PROGRESS ||
  [REBUILD, QUIESCENT, RECOVERED].includes(key) ||
  key.startsWith(INCARNATION);

/** Bytes of values in one transaction: the protocol's limit, with room for what is around them. */
const TRANSACTION_BYTES = 48 * 1024;

/** Restores `content`; begun again after an interruption, it continues where it was. `said`: called after each transaction. */
export const restore = (
  content: Content,
  store: StatePort,
  limits: RestoreLimits,
  said: (written: number, all: number) => void,
): Effect.Effect<Restored, StateFailure> =>
  Effect.gen(function* () {
    const of = `${content.incarnation}@${content.revision}`;
    const there = yield* store.page(ROOT, null, 1);
    const mark = (yield* store.get(RESTORE_PROGRESS)).entry;
    if (mark === null && there.entries.length > 0)
      return { ok: false, reason: `the store is not empty: it has ${there.entries[0]!.key}` } as const;
    let progress = (mark?.value as Progress | undefined) ?? { of, to: '' };
    let stamp = mark?.stamp ?? 0;
    if (progress.of !== of)
      return { ok: false, reason: `a restore of another snapshot (${progress.of}) is under way` } as const;
    const all = [...content.entries.values()]
      .filter((e) => e.key.startsWith(ROOT) && !isLeftOut(e.key) && e.value !== undefined)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const resumed = mark !== null;
    let rest = all.filter((e) => e.key > progress.to);
    const commit = (then: readonly Write[], next: Progress | null) =>
      Effect.gen(function* () {
        for (;;) {
          const o = yield* Effect.either(
            store.transact(
              // The mark goes with the last part. The term comes with it: a late copy of the first one, for which there was no
              // mark yet either, must not set back what the controllers have made of it since.
              [
                { key: RESTORE_PROGRESS, stamp },
                { key: TERM, stamp: 0 },
              ],
              [
                ...then,
                next === null ? { delete: RESTORE_PROGRESS } : { set: RESTORE_PROGRESS, value: next },
              ],
              Priority.Commit,
              3000,
            ),
          );
          if (o._tag === 'Right' && o.right.ok) {
            stamp = o.right.revision;
            return true;
          }
          // Perhaps it was applied and its answer lost: then the mark says so.
          const now = (yield* store.get(RESTORE_PROGRESS)).entry;
          const same = JSON.stringify(now?.value ?? null) === JSON.stringify(next);
          if (same) {
            stamp = now?.stamp ?? 0;
            return true;
          }
          if (o._tag === 'Right' || now?.stamp !== (stamp === 0 ? undefined : stamp)) return false;
          yield* Effect.sleep(100 + 100 * (yield* Random.next));
        }
      });
    while (rest.length > 0) {
      const part: Write[] = [];
      let bytes = 0;
      for (const e of rest) {
        const size = JSON.stringify(e.value).length + e.key.length + 40;
        if (part.length > 0 && (part.length >= limits.txnOps - 1 || bytes + size > TRANSACTION_BYTES)) break;
        if (size > limits.valueBytes)
          return { ok: false, reason: `${e.key}: larger than a value may be here` } as const;
        part.push({ set: e.key, value: e.value });
        bytes += size;
      }
      const to = rest[part.length - 1]!.key;
      if (!(yield* commit(part, { of, to })))
        return { ok: false, reason: 'somebody else writes to the store' } as const;
      progress = { of, to };
      rest = rest.slice(part.length);
      said(all.length - rest.length, all.length);
    }
    const generation = content.generation + 1;
    const random = (yield* Random.nextIntBetween(0, 2 ** 31)).toString(36);
    const last: Write[] = [
      { set: TERM, value: { term: generationFloor(generation) } },
      { set: `${INCARNATION}restored.${generation}.${random}`, value: { g: generation, by: 'restore' } },
      { set: REBUILD, value: { phase: 'gather', heard: [] } },
    ];
    if (!(yield* commit(last, null)))
      return { ok: false, reason: 'somebody else writes to the store' } as const;
    return { ok: true, written: all.length, resumed } as const;
  });
