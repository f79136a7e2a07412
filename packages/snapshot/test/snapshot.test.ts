/** The writer ends at any moment, the disk fills up, bits flip: what is read afterwards is what was counted, or refused. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { DiskFiles, type Files, type OpenFile } from '../src/files.js';
import { type Entry, entriesBlock, headBlock, isFlaw, readParts, VERSION } from '../src/format.js';
import { baseName, journalName } from '../src/names.js';
import { check, differences, load } from '../src/read.js';
import { SnapshotWriter, type SourcePage, type WriterOptions } from '../src/writer.js';

const rng = (seed: number) => {
  let s = seed >>> 0 || 1;
  return (): number => {
    s ^= s << 13;
    s >>>= 0;
    s ^= s >>> 17;
    s ^= s << 5;
    s >>>= 0;
    return s / 4294967296;
  };
};

class Ended extends Error {}

/** A disk in memory: what was not synced may be there in part, or wrong, once the writer has ended. */
class Disk implements Files {
  readonly files = new Map<string, { data: Buffer; synced: number }>();
  /** Operations until the writer ends; it fills up instead where `full`. */
  left = Number.POSITIVE_INFINITY;
  full = false;

  private step(): void {
    if (this.left-- <= 0) throw this.full ? new Error('ENOSPC: no space left on device') : new Ended('ended');
  }

  async create(name: string): Promise<OpenFile> {
    this.step();
    if (this.files.has(name)) throw new Error(`EEXIST: ${name}`);
    const f = { data: Buffer.alloc(0), synced: 0 };
    this.files.set(name, f);
    return {
      append: async (d) => {
        const whole = this.left > 0;
        if (!whole) f.data = Buffer.concat([f.data, d.subarray(0, d.length >> 1)]);
        this.step();
        f.data = Buffer.concat([f.data, d]);
      },
      sync: async () => {
        this.step();
        f.synced = f.data.length;
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

  /** The machine loses power: of what was not synced any part is there, and some of that is wrong. */
  lose(random: () => number): void {
    for (const f of this.files.values()) {
      const kept = f.synced + Math.floor(random() * (f.data.length - f.synced + 1));
      f.data = Buffer.from(f.data.subarray(0, kept));
      if (kept > f.synced && random() < 0.5) {
        const at = f.synced + Math.floor(random() * (kept - f.synced));
        f.data[at] = f.data[at]! ^ (1 << Math.floor(random() * 8));
      }
    }
  }
}

const options = (over: Partial<WriterOptions> = {}): WriterOptions => ({
  syncMs: 1,
  journalBytes: 600,
  queue: 1000,
  keep: 2,
  maxAgeMs: 1e9,
  revision: () => 0,
  now: () => 1000,
  sleep: async () => undefined,
  say: () => undefined,
  ...over,
});
const life = { incarnation: 'one', generation: 0 };

/** A store whose content is known at every revision, and a writer that follows it until it ends. */
const write = async (
  disk: Disk,
  random: () => number,
  steps: number,
): Promise<{ states: Map<string, unknown>[]; synced: number }> => {
  const states: Map<string, unknown>[] = [new Map()];
  const stamps = new Map<string, number>();
  const writer = new SnapshotWriter(disk, options({ revision: () => states.length - 1 }));
  writer.begin(life);
  let synced = -1;
  // A base is read in pages while changes go on: each page shows the content of its moment.
  const source = async function* (): AsyncGenerator<SourcePage> {
    const keys = [...states[states.length - 1]!.keys()].sort();
    for (let i = 0; i < keys.length; i += 3) {
      const now = states[states.length - 1]!;
      const entries = keys
        .slice(i, i + 3)
        .flatMap((key) => (now.has(key) ? [{ key, value: now.get(key), stamp: stamps.get(key)! }] : []));
      yield { entries, revision: states.length - 1 };
      if (random() < 0.5) change();
    }
  };
  const change = (): void => {
    const next = new Map(states[states.length - 1]!);
    const key = `k${Math.floor(random() * 12)}`;
    const stamp = states.length;
    const value =
      random() < 0.25 && next.has(key) ? undefined : { n: stamp, pad: 'x'.repeat(Math.floor(random() * 90)) };
    if (value === undefined) next.delete(key);
    else next.set(key, value);
    stamps.set(key, stamp);
    states.push(next);
    writer.changes([{ key, value, stamp }]);
  };
  try {
    for (let i = 0; i < steps; i++) {
      change();
      if (random() < 0.5) await writer.flush();
      if (writer.needsBase() && random() < 0.6) await writer.base(source);
      // What a caller may count on: a whole base, and everything after it up to here.
      if (!writer.needsBase()) synced = Math.max(synced, writer.synced);
    }
  } catch (e) {
    if (!(e instanceof Ended)) throw e;
  }
  return { states, synced };
};

test('after ten thousand ends at any point nothing that was counted is missing, and nothing is made up', async () => {
  let restored = 0;
  let flawed = 0;
  for (let seed = 1; seed <= 10_000; seed++) {
    const random = rng(seed);
    const disk = new Disk();
    disk.left = Math.floor(random() * 90);
    const { states, synced } = await write(disk, random, 40);
    disk.left = Number.POSITIVE_INFINITY;
    disk.lose(random);
    const content = await load(disk);
    if ((await check(disk)).some((f) => f.flaw !== null)) flawed++;
    if (content === null) continue;
    restored++;
    assert.ok(content.revision >= synced, `seed ${seed}: ${content.revision} read, ${synced} counted`);
    const expected = states[content.revision]!;
    assert.deepEqual(
      new Map([...content.entries].map(([k, e]) => [k, e.value])),
      expected,
      `seed ${seed}: the content of revision ${content.revision}`,
    );
  }
  assert.ok(restored > 5000 && flawed > 500, `${restored} restored, ${flawed} with a flaw`);
});

test('a flipped bit anywhere is found, named, and nothing after it is used', () => {
  const rows = (n: number): Entry[] => [{ key: `k${n}`, value: 'v'.repeat(700), stamp: n }];
  const head = headBlock({ version: VERSION, kind: 'journal', ...life, revision: 0, continues: true, at: 1 });
  const blocks = [head, entriesBlock(1, rows(1)), entriesBlock(2, rows(2)), entriesBlock(3, rows(3))];
  const file = Buffer.concat(blocks);
  const ends = blocks.map((_, i) => Buffer.concat(blocks.slice(0, i + 1)).length);
  for (let at = 0; at < file.length; at++) {
    const bad = Buffer.from(file);
    bad[at] = bad[at]! ^ 4;
    const read = [...readParts(bad)];
    const flaw = read.find(isFlaw)!;
    const hit = ends.findIndex((e) => at < e);
    assert.equal(flaw.block, hit, `byte ${at}`);
    assert.equal(read.length, hit + 1);
  }
  const swapped = Buffer.concat([blocks[0]!, blocks[2]!, blocks[1]!]);
  assert.match([...readParts(swapped)].filter(isFlaw)[0]!.reason, /not its place/);
  const newer = headBlock({
    version: VERSION + 1,
    kind: 'journal',
    ...life,
    revision: 0,
    continues: true,
    at: 1,
  });
  assert.match([...readParts(newer)].filter(isFlaw)[0]!.reason, /version/);
});

test('a full disk is said once, never thrown at the caller, and a later base makes it good', async () => {
  const disk = new Disk();
  const said: string[] = [];
  const writer = new SnapshotWriter(disk, options({ revision: () => 2, say: (event) => said.push(event) }));
  writer.begin(life);
  const all: Entry[] = [{ key: 'a', value: 1, stamp: 1 }];
  const source = async function* (): AsyncGenerator<SourcePage> {
    yield { entries: all, revision: 2 };
  };
  await writer.base(source);
  disk.full = true;
  disk.left = 0;
  writer.changes([{ key: 'b', value: 2, stamp: 2 }]);
  await writer.flush();
  assert.ok(writer.needsBase() && said.includes('failed'));
  await writer.base(source);
  disk.left = Number.POSITIVE_INFINITY;
  all.push({ key: 'b', value: 2, stamp: 2 });
  await writer.base(source);
  const content = (await load(disk))!;
  assert.deepEqual([...content.entries.keys()], ['a', 'b']);
});

test('a disk too slow for the changes drops them for a new base, and no journal goes on over the hole', async () => {
  const disk = new Disk();
  const said: string[] = [];
  const writer = new SnapshotWriter(disk, options({ queue: 4, say: (event) => said.push(event) }));
  writer.begin(life);
  const none = async function* (): AsyncGenerator<SourcePage> {};
  await writer.base(none);
  for (let i = 1; i <= 6; i++) writer.changes([{ key: `k${i}`, value: i, stamp: i }]);
  assert.deepEqual(
    said.filter((s) => s === 'behind'),
    ['behind'],
  );
  await writer.flush();
  assert.equal(writer.synced, -1);
  // The next base is begun and does not come to its end: its journal must not be added to the base before.
  const halfway = async function* (): AsyncGenerator<SourcePage> {
    yield { entries: [{ key: 'k1', value: 1, stamp: 1 }], revision: 1 };
    writer.changes([{ key: 'k7', value: 7, stamp: 7 }]);
    await writer.flush();
    throw new Error('the store does not answer');
  };
  await writer.base(halfway);
  const content = (await load(disk))!;
  assert.deepEqual([content.files[0]!.name, content.entries.size, content.revision], [baseName(1), 0, 0]);
});

test('old bases go by number and by age, with the journals that only they need', async () => {
  const disk = new Disk();
  let now = 1000;
  const writer = new SnapshotWriter(
    disk,
    options({ keep: 3, revision: () => 1, maxAgeMs: 5000, now: () => now }),
  );
  writer.begin(life);
  const one = async function* (): AsyncGenerator<SourcePage> {
    yield { entries: [{ key: 'a', value: 1, stamp: 1 }], revision: 1 };
  };
  for (let i = 0; i < 5; i++) {
    await writer.base(one);
    now += 1000;
  }
  assert.deepEqual(
    [...disk.files.keys()].sort(),
    [3, 4, 5].flatMap((n) => [baseName(n), journalName(n)]),
  );
  now += 100_000;
  await writer.base(one);
  assert.deepEqual([...disk.files.keys()].sort(), [baseName(6), journalName(6)]);
});

test('on a real disk: written, checked, compared', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'snapshot-'));
  try {
    const files = new DiskFiles(join(dir, 'new'));
    assert.equal(await load(files), null);
    const writer = new SnapshotWriter(
      files,
      options({ syncMs: 2, sleep: (ms) => new Promise((r) => setTimeout(r, ms)), now: () => Date.now() }),
    );
    writer.begin(life);
    let read = 0;
    const done = writer.run(async function* () {
      read++;
      yield { entries: [{ key: 'a', value: { deep: [1, 'ü', null] }, stamp: 3 }], revision: 0 };
    });
    writer.changes([{ key: 'b', value: 'after', stamp: 4 }]);
    while (writer.synced < 4) {
      await new Promise((r) => setTimeout(r, 5));
      if (read > 0 && writer.synced < 4) writer.changes([{ key: 'b', value: 'after', stamp: 4 }]);
    }
    writer.close();
    await done;
    const content = (await load(files))!;
    assert.deepEqual(content.entries.get('a')!.value, { deep: [1, 'ü', null] });
    assert.equal(content.revision, 4);
    assert.deepEqual(
      (await check(files)).filter((f) => !f.usable || f.flaw !== null),
      [],
    );
    assert.deepEqual(differences(content, content), []);
  } finally {
    rmSync(dir, { recursive: true });
  }
});
