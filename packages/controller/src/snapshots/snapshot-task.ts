/**
 * Keeps a snapshot of the store on this node's disk, where operators have turned that on, and remembers what one from
 * before says when the node starts: a store that has lost what the snapshot holds is rebuilt from it, too.
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

/** What was committed is on the disk so long after this node has read it, unless the disk is slower. */
export const WINDOW_MS = 200;
const PAGE = 500;
/** Between two pages of a base: it is read beside everything else. */
const PAGE_GAP_MS = 100;

export const SETTINGS: Omit<WriterOptions, 'revision' | 'now' | 'sleep' | 'say'> = {
  syncMs: WINDOW_MS,
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

export interface SnapshotParts {
  readonly files: Files;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly relics: PreLossViews;
}

/** Before anything of the store is believed: what the disk says is known, and kept until it is durable. */
const remember = (p: SnapshotParts): Effect.Effect<void> =>
  Effect.promise(() => load(p.files)).pipe(
    Effect.flatMap((c) => {
      if (c === null) return info('no snapshot');
      const view = viewOf(c);
      for (const [id, f] of view.finalStates.entries()) p.jobState.finalStates.remember(id, f);
      const relic = p.relics.viewOf(view, c.generation, null);
      p.relics.add(relic);
      // A store of that incarnation that is at least as new has lost nothing of it.
      p.lossDetector.onIncarnationConfirmed = (id) => {
        if (id === c.incarnation) p.relics.drop([relic.id]);
        p.lossDetector.onIncarnationConfirmed = () => undefined;
      };
      p.lossDetector.restoreKnowledge(c.incarnation, c.generation, c.revision, view.term);
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

export const snapshotTask = (
  p: SnapshotParts,
): { readonly first: Effect.Effect<void>; readonly run: Effect.Effect<never> } => ({
  first: remember(p),
  run: supervise(
    'snapshots',
    Effect.gen(function* () {
      const runtime = yield* Effect.runtime<never>();
      const runPromise = Runtime.runPromise(runtime);
      const fork = Runtime.runFork(runtime);
      const sleep = (ms: number): Promise<void> => runPromise(Effect.sleep(ms));
      const writer = new SnapshotWriter(p.files, {
        ...SETTINGS,
        revision: () => p.jobState.revision,
        now: () => Date.now(),
        sleep,
        say: (event, what) => void fork(info(`snapshot ${event}`, { what })),
      });
      let life: string | null = null;
      p.watcher.onChanges = (changes) => {
        const i = p.lossDetector.incarnation;
        if (i === null) return;
        if (i.id !== life) {
          life = i.id;
          writer.begin({ incarnation: i.id, generation: i.generation });
        }
        writer.changes(changes);
      };
      const source = async function* (): AsyncGenerator<SourcePage> {
        for (let after: string | null = null, more = true; more;) {
          const page: Page = await runPromise(p.store.page(ROOT, after, PAGE, Priority.Upkeep));
          yield page;
          after = page.entries[page.entries.length - 1]?.key ?? null;
          more = page.more && after !== null;
          if (more) await sleep(PAGE_GAP_MS);
        }
      };
      yield* Effect.promise(() => writer.run(source)).pipe(
        Effect.ensuring(
          Effect.sync(() => {
            p.watcher.onChanges = null;
            writer.close();
          }),
        ),
      );
    }),
  ),
});
