/** Forms that no recorded day shows, written from fixed content: a snapshot's files, a restore, a check between controllers. */
import { Effect, Random } from 'effect';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { respondToCheckRequest, encodeCheckRequest } from '@lilacvalve/controller/recovery/view-verification';
import { restoreSnapshot } from '@lilacvalve/controller/snapshots/restore';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { Files } from '@lilacvalve/snapshot/files';
import { loadSnapshot } from '@lilacvalve/snapshot/read';
import { SnapshotWriter } from '@lilacvalve/snapshot/writer';

export type Pairs = readonly (readonly [key: string, json: string])[];
const entriesOf = (pairs: Pairs) =>
  pairs.map(([key, json], i) => ({ key, value: JSON.parse(json) as unknown, revision: i + 1 }));

/** A view of these values, at revisions 1, 2, 3 and so on. */
export const viewOf = (pairs: Pairs): JobState => {
  const jobState = new JobState();
  jobState.load(entriesOf(pairs), pairs.length);
  return jobState;
};

/** A directory in memory: names and contents. */
export const memoryFiles = (there: Map<string, Buffer>): Files => ({
  create: (name) => {
    there.set(name, Buffer.alloc(0));
    let now = name;
    return Promise.resolve({
      append: (data) => {
        if (!there.has(now)) now = name.replace(/\.[a-z]+$/, '');
        there.set(now, Buffer.concat([there.get(now) ?? Buffer.alloc(0), data]));
        return Promise.resolve();
      },
      sync: () => Promise.resolve(),
      close: () => Promise.resolve(),
    });
  },
  rename: (from, to) => {
    there.set(to, there.get(from)!);
    there.delete(from);
    return Promise.resolve();
  },
  remove: (name) => Promise.resolve(void there.delete(name)),
  list: () => Promise.resolve([...there.keys()]),
  read: (name) => Promise.resolve(there.get(name)!),
});

/** A base of all pairs but the last two, and a journal in which one of these is put and the other goes. */
export const snapshotFiles = async (pairs: Pairs): Promise<Map<string, Buffer>> => {
  const there = new Map<string, Buffer>();
  const all = entriesOf(pairs);
  let revision = all.length - 2;
  const writer = new SnapshotWriter(memoryFiles(there), {
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
    yield { entries: all.slice(0, -2), revision };
  });
  revision = all.length;
  writer.enqueue([all[all.length - 2]!, { key: all[0]!.key, value: undefined, revision: all.length }]);
  await writer.flush();
  return there;
};

/** What is read of a snapshot's files: where it stands, and each key with its revision and value. */
export const readSnapshot = async (files: Map<string, Buffer>): Promise<unknown> => {
  const content = await loadSnapshot(memoryFiles(files));
  if (content === null) return null;
  const entries = [...content.entries.values()].map((e) => [e.key, e.revision, e.value]);
  return [content.incarnation, content.generation, content.revision, entries];
};

/** Each transaction in which a snapshot with these files is restored, as its writes' keys and values. */
export const restoreWrites = async (files: Map<string, Buffer>): Promise<unknown[]> => {
  const content = await loadSnapshot(memoryFiles(files));
  const said: unknown[] = [];
  const store: Partial<StatePort> = {
    page: () => Effect.succeed({ entries: [], more: false, revision: 0 }),
    get: () => Effect.succeed({ entry: null, revision: 0 }),
    transact: (when, then) => {
      said.push([
        when.map((c) => c.key),
        then.map((w) => ('set' in w ? [w.set.replace(/(\/restored\.\d+\.).*$/, '$1'), w.value] : [w.delete])),
      ]);
      return Effect.succeed({ ok: true, revision: said.length });
    },
  };
  const limits = { txnOps: 5, valueBytes: 16_384 };
  await Effect.runPromise(
    restoreSnapshot(content!, store as StatePort, limits, () => undefined).pipe(
      Effect.withRandom(Random.make(1)),
    ),
  );
  return said;
};

/** A view's question to another controller, and what a controller with an empty view and one with this view answer. */
export const checks = (pairs: Pairs): Buffer[] => {
  const full = viewOf(pairs);
  const empty = new JobState();
  const question = encodeCheckRequest('i-1', full);
  return [
    question,
    respondToCheckRequest(question, empty, 'i-1', 77)!,
    respondToCheckRequest(encodeCheckRequest('i-1', empty), full, 'i-1', 77)!,
    respondToCheckRequest(question, full, 'i-2', 77)!,
  ];
};
