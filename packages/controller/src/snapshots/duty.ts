/**
 * Keeps a snapshot of the store on this node's disk, where operators have turned that on, and remembers what one from
 * before says when the node starts: a store that has lost what the snapshot holds is rebuilt from it, too.
 */
import { duty } from '@lilacvalve/runtime/duty';
import { error, info } from '@lilacvalve/runtime/log';
import type { Files } from '@lilacvalve/snapshot/files';
import { type Content, load } from '@lilacvalve/snapshot/read';
import { SnapshotWriter, type SourcePage, type WriterOptions } from '@lilacvalve/snapshot/writer';
import { Effect, Runtime } from 'effect';
import type { Doubt } from '../doubt/doubt.js';
import { JobCache } from '../jobs/cache.js';
import type { Feed } from '../jobs/feed.js';
import { ROOT } from '../jobs/keys.js';
import type { Relics } from '../rebuild/relics.js';
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
export const viewOf = (c: Content): JobCache => {
  const cache = new JobCache();
  cache.load(
    [...c.entries.values()].map((e) => ({ key: e.key, value: e.value, stamp: e.stamp })),
    c.revision,
  );
  return cache;
};

export interface SnapshotParts {
  readonly files: Files;
  readonly store: StatePort;
  readonly feed: Feed;
  readonly cache: JobCache;
  readonly doubt: Doubt;
  readonly relics: Relics;
}

/** Before anything of the store is believed: what the disk says is known, and kept until it is durable. */
const remember = (p: SnapshotParts): Effect.Effect<void> =>
  Effect.promise(() => load(p.files)).pipe(
    Effect.flatMap((c) => {
      if (c === null) return info('no snapshot');
      const view = viewOf(c);
      for (const [id, f] of view.finals.entries()) p.cache.finals.remember(id, f);
      const relic = p.relics.relicOf(view, c.generation, null);
      p.relics.keep(relic);
      // A store of that incarnation that is at least as new has lost nothing of it.
      p.doubt.onSound = (id) => {
        if (id === c.incarnation) p.relics.drop([relic.id]);
        p.doubt.onSound = () => undefined;
      };
      p.doubt.remember(c.incarnation, c.generation, c.revision, view.term);
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

export const snapshotDuty = (
  p: SnapshotParts,
): { readonly first: Effect.Effect<void>; readonly run: Effect.Effect<never> } => ({
  first: remember(p),
  run: duty(
    'snapshots',
    Effect.gen(function* () {
      const runtime = yield* Effect.runtime<never>();
      const runPromise = Runtime.runPromise(runtime);
      const fork = Runtime.runFork(runtime);
      const sleep = (ms: number): Promise<void> => runPromise(Effect.sleep(ms));
      const writer = new SnapshotWriter(p.files, {
        ...SETTINGS,
        revision: () => p.cache.revision,
        now: () => Date.now(),
        sleep,
        say: (event, what) => void fork(info(`snapshot ${event}`, { what })),
      });
      let life: string | null = null;
      p.feed.onChanges = (changes) => {
        const i = p.doubt.incarnation;
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
            p.feed.onChanges = null;
            writer.close();
          }),
        ),
      );
    }),
  ),
});
