/** Data formats that no recorded day contains, written from fixed content: snapshot files, a restore, a view verification. */
import { Effect, Random } from 'effect';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { respondToCheckRequest, encodeCheckRequest } from '@lilacvalve/controller/recovery/view-verification';
import { restoreSnapshot } from '@lilacvalve/controller/snapshots/restore';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { Files } from '@lilacvalve/snapshot/files';
import { loadSnapshot } from '@lilacvalve/snapshot/read';
import { SnapshotWriter } from '@lilacvalve/snapshot/writer';

/** Keys with the JSON of their values. */
export type Pairs = readonly (readonly [key: string, json: string])[];
const entriesOf = (pairs: Pairs) =>
  pairs.map(([key, json], i) => ({ key, value: JSON.parse(json) as unknown, revision: i + 1 }));

/** Returns a view of these values, at revisions 1, 2, 3 and so on. */
export const viewOf = (pairs: Pairs): JobState => {
  const jobState = new JobState();
  jobState.load(entriesOf(pairs), pairs.length);
  return jobState;
};

/** An in-memory directory: file names and contents. */
export const memoryFiles = (contents: Map<string, Buffer>): Files => ({
  create: (name) => {
    contents.set(name, Buffer.alloc(0));
    let currentName = name;
    return Promise.resolve({
      append: (data) => {
        if (!contents.has(currentName)) currentName = name.replace(/\.[a-z]+$/, '');
        contents.set(currentName, Buffer.concat([contents.get(currentName) ?? Buffer.alloc(0), data]));
        return Promise.resolve();
      },
      sync: () => Promise.resolve(),
      close: () => Promise.resolve(),
    });
  },
  rename: (from, to) => {
    contents.set(to, contents.get(from)!);
    contents.delete(from);
    return Promise.resolve();
  },
  remove: (name) => Promise.resolve(void contents.delete(name)),
  list: () => Promise.resolve([...contents.keys()]),
  read: (name) => Promise.resolve(contents.get(name)!),
});

/**
 * Writes a snapshot: a base with all pairs but the last two, and a journal that puts the last pair and deletes the first.
 */
export const snapshotFiles = async (pairs: Pairs): Promise<Map<string, Buffer>> => {
  const contents = new Map<string, Buffer>();
  const entries = entriesOf(pairs);
  let revision = entries.length - 2;
  const writer = new SnapshotWriter(memoryFiles(contents), {
    flushIntervalMs: 1,
    maxJournalBytes: 1e6,
    maxQueuedEntries: 100,
    maxBases: 3,
    maxAgeMs: 1e9,
    revision: () => revision,
    now: () => 1_700_000_000_000,
    sleep: () => Promise.resolve(),
    onEvent: () => undefined,
  });
  writer.beginIncarnation({ incarnation: 'i-1', generation: 4 });
  await writer.writeBase(async function* () {
    yield { entries: entries.slice(0, -2), revision };
  });
  revision = entries.length;
  writer.enqueue([
    entries[entries.length - 2]!,
    { key: entries[0]!.key, value: undefined, revision: entries.length },
  ]);
  await writer.flush();
  return contents;
};

/** Reads a snapshot's files: its incarnation, generation and revision, and each key with its revision and value. */
export const readSnapshot = async (files: Map<string, Buffer>): Promise<unknown> => {
  const content = await loadSnapshot(memoryFiles(files));
  if (content === null) return null;
  const entries = [...content.entries.values()].map((entry) => [entry.key, entry.revision, entry.value]);
  return [content.incarnation, content.generation, content.revision, entries];
};

/** Restores a snapshot and returns its transactions: the keys of their conditions and the keys and values of their writes. */
export const restoreWrites = async (files: Map<string, Buffer>): Promise<unknown[]> => {
  const content = await loadSnapshot(memoryFiles(files));
  const transactions: unknown[] = [];
  const store: Partial<StatePort> = {
    page: () => Effect.succeed({ entries: [], more: false, revision: 0 }),
    get: () => Effect.succeed({ entry: null, revision: 0 }),
    transact: (when, then) => {
      transactions.push([
        when.map((condition) => condition.key),
        then.map((write) =>
          'set' in write ? [write.set.replace(/(\/restored\.\d+\.).*$/, '$1'), write.value] : [write.delete],
        ),
      ]);
      return Effect.succeed({ ok: true, revision: transactions.length });
    },
  };
  const limits = { txnOps: 5, valueBytes: 16_384 };
  await Effect.runPromise(
    restoreSnapshot(content!, store as StatePort, limits, () => undefined).pipe(
      Effect.withRandom(Random.make(1)),
    ),
  );
  return transactions;
};

/**
 * The check request of a view, and the responses of controllers with an empty view, with this view to an empty one, and with
 * another incarnation.
 */
export const checks = (pairs: Pairs): Buffer[] => {
  const fullView = viewOf(pairs);
  const emptyView = new JobState();
  const checkRequest = encodeCheckRequest('i-1', fullView);
  return [
    checkRequest,
    respondToCheckRequest(checkRequest, emptyView, 'i-1', 77)!,
    respondToCheckRequest(encodeCheckRequest('i-1', emptyView), fullView, 'i-1', 77)!,
    respondToCheckRequest(checkRequest, fullView, 'i-2', 77)!,
  ];
};
