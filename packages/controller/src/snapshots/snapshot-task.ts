/**
 * Keeps a snapshot of the store on this node's disk, where operators have turned that on, and reads the one that is there
 * when the node starts: a store that has lost what the snapshot holds is rebuilt from it as well (docs/snapshots.md).
 */
import { supervise } from '@lilacvalve/runtime/supervise';
import { error, info } from '@lilacvalve/runtime/log';
import type { Files } from '@lilacvalve/snapshot/files';
import { type Content, load } from '@lilacvalve/snapshot/read';
import { SnapshotWriter, type SourcePage, type WriterOptions } from '@lilacvalve/snapshot/writer';
import { Effect, Runtime } from 'effect';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { ROOT } from '../jobs/keys.js';
import type { PreLossViews } from '../recovery/pre-loss-views.js';
import { Priority } from '../state-store/budget.js';
import type { Page } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';

/** A change is on the disk so long after this node has read it, at the latest, unless the disk is slower. */
export const SYNC_EVERY_MS = 200;
const PAGE_SIZE = 500;
/** Between two pages of a base: it is read beside everything else. */
const PAGE_GAP_MS = 100;

export const SETTINGS: Omit<WriterOptions, 'revision' | 'now' | 'sleep' | 'say'> = {
  syncMs: SYNC_EVERY_MS,
  journalBytes: 32 * 1024 * 1024,
  queue: 20_000,
  keep: 3,
  maxAgeMs: 24 * 3600 * 1000,
};

/** A snapshot's content as a view of jobs. */
export const viewOf = (c: Content): JobState => {
  const jobState = new JobState();
  jobState.load(
    [...c.entries.values()].map((e) => ({ key: e.key, value: e.value, stamp: e.stamp })),
    c.revision,
  );
  return jobState;
};

/** What the task works with. */
export interface SnapshotParts {
  readonly files: Files;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly preLossViews: PreLossViews;
}

/** Before anything is read of the store: what the snapshot has counts as known, and is kept until it is durable. */
const restoreFromSnapshot = (parts: SnapshotParts): Effect.Effect<void> =>
  Effect.promise(() => load(parts.files)).pipe(
    Effect.flatMap((c) => {
      if (c === null) return info('no snapshot');
      const view = viewOf(c);
      for (const [id, f] of view.finalStates.entries()) parts.jobState.finalStates.remember(id, f);
      const snapshotView = parts.preLossViews.captureView(view, c.generation, null);
      parts.preLossViews.add(snapshotView);
      // A store of that incarnation that is at least as new has lost nothing of it.
      parts.lossDetector.onIncarnationConfirmed = (id) => {
        if (id === c.incarnation) parts.preLossViews.drop([snapshotView.id]);
        parts.lossDetector.onIncarnationConfirmed = () => undefined;
      };
      parts.lossDetector.restoreKnowledge(c.incarnation, c.generation, c.revision, view.term);
      const flaws = c.files.flatMap((f) => (f.flaw ? [`${f.name} ${f.flaw.kind} at ${f.flaw.offset}`] : []));
      return info('snapshot read', {
        revision: c.revision,
        generation: c.generation,
        jobs: view.jobs.size,
        ...(flaws.length > 0 ? { flaws: flaws.join(', ') } : {}),
      });
    }),
    Effect.catchAllCause((cause) => error('snapshot not read', { reason: String(cause).slice(0, 300) })),
  );

/** `first`: to be run before anything is read of the store. `run`: writes the snapshot, for ever. */
export const snapshotTask = (
  parts: SnapshotParts,
): { readonly first: Effect.Effect<void>; readonly run: Effect.Effect<never> } => ({
  first: restoreFromSnapshot(parts),
  run: supervise(
    'snapshots',
    Effect.gen(function* () {
      const runtime = yield* Effect.runtime<never>();
      const runPromise = Runtime.runPromise(runtime);
      const fork = Runtime.runFork(runtime);
      const sleep = (ms: number): Promise<void> => runPromise(Effect.sleep(ms));
      const writer = new SnapshotWriter(parts.files, {
        ...SETTINGS,
        revision: () => parts.jobState.revision,
        now: () => Date.now(),
        sleep,
        say: (event, what) => void fork(info(`snapshot ${event}`, { what })),
      });
      let incarnationId: string | null = null;
      parts.watcher.onChanges = (changes) => {
        const i = parts.lossDetector.incarnation;
        if (i === null) return;
        if (i.id !== incarnationId) {
          incarnationId = i.id;
          writer.begin({ incarnation: i.id, generation: i.generation });
        }
        writer.changes(changes);
      };
      const source = async function* (): AsyncGenerator<SourcePage> {
        for (let after: string | null = null, more = true; more;) {
          const page: Page = await runPromise(parts.store.page(ROOT, after, PAGE_SIZE, Priority.Upkeep));
          yield page;
          after = page.entries[page.entries.length - 1]?.key ?? null;
          more = page.more && after !== null;
          if (more) await sleep(PAGE_GAP_MS);
        }
      };
      yield* Effect.promise(() => writer.run(source)).pipe(
        Effect.ensuring(
          Effect.sync(() => {
            parts.watcher.onChanges = null;
            writer.close();
          }),
        ),
      );
    }),
  ),
});
