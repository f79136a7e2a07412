/**
 * Crash safety of snapshots: the writer is killed at any moment, the disk fills up, bits flip. What is loaded afterwards
 * contains everything that was reported as synced, or the damage is detected.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { DiskFiles, type Files, type OpenFile } from '../src/files.js';
import { type Entry, entriesBlock, headBlock, isFlaw, readBlocks, VERSION } from '../src/format.js';
import { baseName, journalName } from '../src/names.js';
import { checkFiles, compareContents, loadSnapshot } from '../src/read.js';
import { SnapshotWriter, type SourcePage, type WriterOptions } from '../src/writer.js';

/** A seeded xorshift random source. */
const randomSource = (seed: number) => {
  let state = seed >>> 0 || 1;
  return (): number => {
    state ^= state << 13;
    state >>>= 0;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / 4294967296;
  };
};

/** Thrown by the simulated disk when the writer's process is killed. */
class WriterKilled extends Error {}

/** A simulated disk in memory. After a power loss, data that was not synced may be incomplete or wrong. */
class SimulatedDisk implements Files {
  readonly files = new Map<string, { data: Buffer; synced: number }>();
  /** Operations until the writer is killed, or until the disk is full if `full` is set. */
  remainingOperations = Number.POSITIVE_INFINITY;
  full = false;

  private step(): void {
    if (this.remainingOperations-- <= 0)
      throw this.full ? new Error('ENOSPC: no space left on device') : new WriterKilled('writer killed');
  }

  async create(name: string): Promise<OpenFile> {
    this.step();
    if (this.files.has(name)) throw new Error(`EEXIST: ${name}`);
    const file = { data: Buffer.alloc(0), synced: 0 };
    this.files.set(name, file);
    return {
      append: async (data) => {
        const completes = this.remainingOperations > 0;
        if (!completes) file.data = Buffer.concat([file.data, data.subarray(0, data.length >> 1)]);
        this.step();
        file.data = Buffer.concat([file.data, data]);
      },
      sync: async () => {
        this.step();
        file.synced = file.data.length;
      },
      close: async () => undefined,
    };
  }
  async rename(from: string, to: string): Promise<void> {
    this.step();
    this.files.set(to, this.files.get(from)!);
    this.files.delete(from);
  }
  async remove(name: string): Promise<void> {
    this.step();
    this.files.delete(name);
  }
  async list(): Promise<string[]> {
    return [...this.files.keys()];
  }
  async read(name: string): Promise<Buffer> {
    return this.files.get(name)!.data;
  }

  /** Simulates a power loss: a random prefix of the unsynced data survives, in half of the cases with a flipped bit. */
  losePower(random: () => number): void {
    for (const file of this.files.values()) {
      const kept = file.synced + Math.floor(random() * (file.data.length - file.synced + 1));
      file.data = Buffer.from(file.data.subarray(0, kept));
      if (kept > file.synced && random() < 0.5) {
        const offset = file.synced + Math.floor(random() * (kept - file.synced));
        file.data[offset] = file.data[offset]! ^ (1 << Math.floor(random() * 8));
      }
    }
  }
}

const options = (overrides: Partial<WriterOptions> = {}): WriterOptions => ({
  flushIntervalMs: 1,
  maxJournalBytes: 600,
  maxQueuedEntries: 1000,
  maxBases: 2,
  maxAgeMs: 1e9,
  revision: () => 0,
  now: () => 1000,
  sleep: async () => undefined,
  onEvent: () => undefined,
  ...overrides,
});
const incarnation = { incarnation: 'one', generation: 0 };

/**
 * Changes a store in random steps while a writer follows it, until the writer is killed or the steps are done. Returns the
 * store's content at every revision, and the revision up to which the writer reported the changes as synced.
 */
const runWriter = async (
  disk: SimulatedDisk,
  random: () => number,
  steps: number,
): Promise<{ states: Map<string, unknown>[]; synced: number }> => {
  const states: Map<string, unknown>[] = [new Map()];
  const revisions = new Map<string, number>();
  const writer = new SnapshotWriter(disk, options({ revision: () => states.length - 1 }));
  writer.beginIncarnation(incarnation);
  let synced = -1;
  // A base is read in pages while the store changes: each page shows the content at the time when it is read.
  const source = async function* (): AsyncGenerator<SourcePage> {
    const keys = [...states[states.length - 1]!.keys()].sort();
    for (let i = 0; i < keys.length; i += 3) {
      const current = states[states.length - 1]!;
      const entries = keys
        .slice(i, i + 3)
        .flatMap((key) =>
          current.has(key) ? [{ key, value: current.get(key), revision: revisions.get(key)! }] : [],
        );
      yield { entries, revision: states.length - 1 };
      if (random() < 0.5) change();
    }
  };
  const change = (): void => {
    const next = new Map(states[states.length - 1]!);
    const key = `k${Math.floor(random() * 12)}`;
    const revision = states.length;
    const value =
      random() < 0.25 && next.has(key)
        ? undefined
        : { n: revision, pad: 'x'.repeat(Math.floor(random() * 90)) };
    if (value === undefined) next.delete(key);
    else next.set(key, value);
    revisions.set(key, revision);
    states.push(next);
    writer.enqueue([{ key, value, revision: revision }]);
  };
  try {
    for (let step = 0; step < steps; step++) {
      change();
      if (random() < 0.5) await writer.flush();
      if (writer.needsBase() && random() < 0.6) await writer.writeBase(source);
      // Once there is a complete base, the changes up to this revision must survive a crash.
      if (!writer.needsBase()) synced = Math.max(synced, writer.syncedRevision);
    }
  } catch (failure) {
    if (!(failure instanceof WriterKilled)) throw failure;
  }
  return { states, synced };
};

test('after a crash at any operation, the loaded content includes all synced changes and equals one revision of the store', async () => {
  let restored = 0;
  let flawed = 0;
  for (let seed = 1; seed <= 10_000; seed++) {
    const random = randomSource(seed);
    const disk = new SimulatedDisk();
    disk.remainingOperations = Math.floor(random() * 90);
    const { states, synced } = await runWriter(disk, random, 40);
    disk.remainingOperations = Number.POSITIVE_INFINITY;
    disk.losePower(random);
    const content = await loadSnapshot(disk);
    if ((await checkFiles(disk)).some((file) => file.flaw !== null)) flawed++;
    if (content === null) continue;
    restored++;
    assert.ok(
      content.revision >= synced,
      `seed ${seed}: loaded revision ${content.revision}, synced revision ${synced}`,
    );
    const expected = states[content.revision]!;
    assert.deepEqual(
      new Map([...content.entries].map(([key, entry]) => [key, entry.value])),
      expected,
      `seed ${seed}: the content of revision ${content.revision}`,
    );
  }
  assert.ok(restored > 5000 && flawed > 500, `${restored} snapshots restored, ${flawed} with a flaw`);
});

test('a flipped bit at any offset is detected in its block, and nothing after it is read', () => {
  const entries = (revision: number): Entry[] => [
    { key: `k${revision}`, value: 'v'.repeat(700), revision: revision },
  ];
  const head = headBlock({
    version: VERSION,
    kind: 'journal',
    ...incarnation,
    revision: 0,
    continues: true,
    at: 1,
  });
  const blocks = [
    head,
    entriesBlock(1, entries(1)),
    entriesBlock(2, entries(2)),
    entriesBlock(3, entries(3)),
  ];
  const file = Buffer.concat(blocks);
  const ends = blocks.map((_, i) => Buffer.concat(blocks.slice(0, i + 1)).length);
  for (let offset = 0; offset < file.length; offset++) {
    const damaged = Buffer.from(file);
    damaged[offset] = damaged[offset]! ^ 4;
    const items = [...readBlocks(damaged)];
    const flaw = items.find(isFlaw)!;
    const damagedBlock = ends.findIndex((end) => offset < end);
    assert.equal(flaw.block, damagedBlock, `byte ${offset}`);
    assert.equal(items.length, damagedBlock + 1);
  }
  const swapped = Buffer.concat([blocks[0]!, blocks[2]!, blocks[1]!]);
  assert.match([...readBlocks(swapped)].filter(isFlaw)[0]!.reason, /block number out of sequence/);
  const newer = headBlock({
    version: VERSION + 1,
    kind: 'journal',
    ...incarnation,
    revision: 0,
    continues: true,
    at: 1,
  });
  assert.match([...readBlocks(newer)].filter(isFlaw)[0]!.reason, /version/);
});

test('a full disk is reported, does not throw at the caller, and a later base contains the missed changes', async () => {
  const disk = new SimulatedDisk();
  const events: string[] = [];
  const writer = new SnapshotWriter(
    disk,
    options({ revision: () => 2, onEvent: (event) => events.push(event) }),
  );
  writer.beginIncarnation(incarnation);
  const entries: Entry[] = [{ key: 'a', value: 1, revision: 1 }];
  const source = async function* (): AsyncGenerator<SourcePage> {
    yield { entries, revision: 2 };
  };
  await writer.writeBase(source);
  disk.full = true;
  disk.remainingOperations = 0;
  writer.enqueue([{ key: 'b', value: 2, revision: 2 }]);
  await writer.flush();
  assert.ok(writer.needsBase() && events.includes('failed'));
  await writer.writeBase(source);
  disk.remainingOperations = Number.POSITIVE_INFINITY;
  entries.push({ key: 'b', value: 2, revision: 2 });
  await writer.writeBase(source);
  const content = (await loadSnapshot(disk))!;
  assert.deepEqual([...content.entries.keys()], ['a', 'b']);
});

test('if the disk is too slow, changes are dropped for a new base, and later journals are not applied across the gap', async () => {
  const disk = new SimulatedDisk();
  const events: string[] = [];
  const writer = new SnapshotWriter(
    disk,
    options({ maxQueuedEntries: 4, onEvent: (event) => events.push(event) }),
  );
  writer.beginIncarnation(incarnation);
  const emptySource = async function* (): AsyncGenerator<SourcePage> {};
  await writer.writeBase(emptySource);
  for (let revision = 1; revision <= 6; revision++)
    writer.enqueue([{ key: `k${revision}`, value: revision, revision: revision }]);
  assert.deepEqual(
    events.filter((event) => event === 'behind'),
    ['behind'],
  );
  await writer.flush();
  assert.equal(writer.syncedRevision, -1);
  // The next base is begun but fails; its journal must not be applied to the previous base.
  const failingSource = async function* (): AsyncGenerator<SourcePage> {
    yield { entries: [{ key: 'k1', value: 1, revision: 1 }], revision: 1 };
    writer.enqueue([{ key: 'k7', value: 7, revision: 7 }]);
    await writer.flush();
    throw new Error('no response from the store');
  };
  await writer.writeBase(failingSource);
  const content = (await loadSnapshot(disk))!;
  assert.deepEqual([content.files[0]!.name, content.entries.size, content.revision], [baseName(1), 0, 0]);
});

test('bases beyond the kept number or the maximum age are removed, with the journals that only they need', async () => {
  const disk = new SimulatedDisk();
  let now = 1000;
  const writer = new SnapshotWriter(
    disk,
    options({ maxBases: 3, revision: () => 1, maxAgeMs: 5000, now: () => now }),
  );
  writer.beginIncarnation(incarnation);
  const source = async function* (): AsyncGenerator<SourcePage> {
    yield { entries: [{ key: 'a', value: 1, revision: 1 }], revision: 1 };
  };
  for (let i = 0; i < 5; i++) {
    await writer.writeBase(source);
    now += 1000;
  }
  assert.deepEqual(
    [...disk.files.keys()].sort(),
    [3, 4, 5].flatMap((number) => [baseName(number), journalName(number)]),
  );
  now += 100_000;
  await writer.writeBase(source);
  assert.deepEqual([...disk.files.keys()].sort(), [baseName(6), journalName(6)]);
});

test('a snapshot on a real disk is written, checked, loaded and compared', async () => {
  const directory = mkdtempSync(join(tmpdir(), 'snapshot-'));
  try {
    const files = new DiskFiles(join(directory, 'new'));
    assert.equal(await loadSnapshot(files), null);
    const writer = new SnapshotWriter(
      files,
      options({
        flushIntervalMs: 2,
        sleep: (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs)),
        now: () => Date.now(),
      }),
    );
    writer.beginIncarnation(incarnation);
    let sourceReads = 0;
    const finished = writer.run(async function* () {
      sourceReads++;
      yield { entries: [{ key: 'a', value: { deep: [1, 'ü', null] }, revision: 3 }], revision: 0 };
    });
    writer.enqueue([{ key: 'b', value: 'after', revision: 4 }]);
    while (writer.syncedRevision < 4) {
      await new Promise((resolve) => setTimeout(resolve, 5));
      if (sourceReads > 0 && writer.syncedRevision < 4)
        writer.enqueue([{ key: 'b', value: 'after', revision: 4 }]);
    }
    writer.close();
    await finished;
    const content = (await loadSnapshot(files))!;
    assert.deepEqual(content.entries.get('a')!.value, { deep: [1, 'ü', null] });
    assert.equal(content.revision, 4);
    assert.deepEqual(
      (await checkFiles(files)).filter((file) => !file.usable || file.flaw !== null),
      [],
    );
    assert.deepEqual(compareContents(content, content), []);
  } finally {
    rmSync(directory, { recursive: true });
  }
});
