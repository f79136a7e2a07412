/**
 * Keeps a snapshot of the store on this controller's disk, if operators have enabled it, and reads the existing snapshot when
 * the controller starts. If the store has lost data that the snapshot contains, the rebuild uses the snapshot as well
 * (docs/snapshots.md).
 */
import { supervise } from '@lilacvalve/runtime/supervise';
import { error, info } from '@lilacvalve/runtime/log';
import type { Files } from '@lilacvalve/snapshot/files';
import { type SnapshotContent, loadSnapshot } from '@lilacvalve/snapshot/read';
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

/** Maximum time between reading a change from the store and its being synced to disk, unless the disk is slower. */
export const SYNC_INTERVAL_MS = 200;
/** Entries per page when a base is read from the store. */
const PAGE_SIZE = 500;
/** Pause between two pages while a base is read, so that the reads leave capacity for other requests. */
const PAGE_GAP_MS = 100;

/** Limits and retention of the snapshot's files. */
export const WRITER_SETTINGS: Omit<WriterOptions, 'revision' | 'now' | 'sleep' | 'onEvent'> = {
  flushIntervalMs: SYNC_INTERVAL_MS,
  maxJournalBytes: 32 * 1024 * 1024,
  maxQueuedEntries: 20_000,
  maxBases: 3,
  maxAgeMs: 24 * 3600 * 1000,
};

/** Returns the job state that a snapshot's content describes. */
export const jobStateOf = (content: SnapshotContent): JobState => {
  const jobState = new JobState();
  jobState.load(
    [...content.entries.values()].map((entry) => ({
      key: entry.key,
      value: entry.value,
      revision: entry.revision,
    })),
    content.revision,
  );
  return jobState;
};

/** Dependencies of the snapshot task. */
export interface SnapshotTaskDependencies {
  readonly files: Files;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly preLossViews: PreLossViews;
}

/**
 * Reads the snapshot on the disk, if there is one, before anything is read from the store. Its content counts as known data:
 * it is kept as a pre-loss view until the store is known to contain all of it.
 */
const restoreFromSnapshot = (dependencies: SnapshotTaskDependencies): Effect.Effect<void> =>
  Effect.promise(() => loadSnapshot(dependencies.files)).pipe(
    Effect.flatMap((content) => {
      if (content === null) return info('no snapshot');
      const view = jobStateOf(content);
      for (const [id, finalState] of view.finalStates.entries())
        dependencies.jobState.finalStates.remember(id, finalState);
      const snapshotView = dependencies.preLossViews.captureView(view, content.generation, null);
      dependencies.preLossViews.add(snapshotView);
      // A store of the same incarnation that is at least as new as the snapshot has lost none of its content.
      dependencies.lossDetector.onIncarnationConfirmed = (id) => {
        if (id === content.incarnation) dependencies.preLossViews.drop([snapshotView.id]);
        dependencies.lossDetector.onIncarnationConfirmed = () => undefined;
      };
      dependencies.lossDetector.restoreKnowledge(
        content.incarnation,
        content.generation,
        content.revision,
        view.term,
      );
      const flaws = content.files.flatMap((file) =>
        file.flaw ? [`${file.name} ${file.flaw.kind} at byte ${file.flaw.offset}`] : [],
      );
      return info('snapshot read', {
        revision: content.revision,
        generation: content.generation,
        jobs: view.jobs.size,
        ...(flaws.length > 0 ? { flaws: flaws.join(', ') } : {}),
      });
    }),
    Effect.catchAllCause((cause) => error('snapshot not read', { reason: String(cause).slice(0, 300) })),
  );

/**
 * Returns the two effects of the snapshot task. `first` reads the existing snapshot and must run before anything is read from
 * the store; `run` writes the snapshot forever.
 */
export const snapshotTask = (
  dependencies: SnapshotTaskDependencies,
): { readonly first: Effect.Effect<void>; readonly run: Effect.Effect<never> } => ({
  first: restoreFromSnapshot(dependencies),
  run: supervise(
    'snapshots',
    Effect.gen(function* () {
      const runtime = yield* Effect.runtime<never>();
      const runPromise = Runtime.runPromise(runtime);
      const fork = Runtime.runFork(runtime);
      const sleep = (durationMs: number): Promise<void> => runPromise(Effect.sleep(durationMs));
      const writer = new SnapshotWriter(dependencies.files, {
        ...WRITER_SETTINGS,
        revision: () => dependencies.jobState.revision,
        now: () => Date.now(),
        sleep,
        onEvent: (event, detail) => void fork(info(`snapshot ${event}`, { what: detail })),
      });
      let incarnationId: string | null = null;
      dependencies.watcher.onChanges = (changes) => {
        const incarnation = dependencies.lossDetector.incarnation;
        if (incarnation === null) return;
        if (incarnation.id !== incarnationId) {
          incarnationId = incarnation.id;
          writer.beginIncarnation({ incarnation: incarnation.id, generation: incarnation.generation });
        }
        writer.enqueue(changes);
      };
      const source = async function* (): AsyncGenerator<SourcePage> {
        for (let after: string | null = null, more = true; more;) {
          const page: Page = await runPromise(
            dependencies.store.page(ROOT, after, PAGE_SIZE, Priority.Upkeep),
          );
          yield page;
          after = page.entries[page.entries.length - 1]?.key ?? null;
          more = page.more && after !== null;
          if (more) await sleep(PAGE_GAP_MS);
        }
      };
      yield* Effect.promise(() => writer.run(source)).pipe(
        Effect.ensuring(
          Effect.sync(() => {
            dependencies.watcher.onChanges = null;
            writer.close();
          }),
        ),
      );
    }),
  ),
});
