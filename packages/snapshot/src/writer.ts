/**
 * Writes a base and, beside and after it, a journal of changes. Whoever hands changes over never waits: they go into a
 * bounded queue, and what does not fit begins a new base instead of growing it. What was counted as synced is on the disk.
 */
import type { Files, OpenFile } from './files.js';
import { endBlock, type Entry, entriesBlock, type Head, headBlock, REACHED, VERSION } from './format.js';
import { baseName, journalName, named, PART } from './names.js';

export interface WriterOptions {
  /** Changes are on the disk so long after they were handed over, at the latest, unless the disk is slower. */
  readonly syncMs: number;
  /** A journal larger than this calls for a new base. */
  readonly journalBytes: number;
  /** Entries that may wait to be written. */
  readonly queue: number;
  /** Bases to keep, and for how long at the most (a base younger than that is never removed for its age). */
  readonly keep: number;
  readonly maxAgeMs: number;
  /** Everything up to this revision has been handed over. */
  readonly revision: () => number;
  /** Time of day, milliseconds. */
  readonly now: () => number;
  readonly sleep: (ms: number) => Promise<void>;
  /** What operators should know; never called for each change. */
  readonly say: (event: 'behind' | 'failed' | 'base' | 'removed', what: string) => void;
}

/** Part of the store's content, as of a revision. */
export interface SourcePage {
  readonly entries: readonly Entry[];
  readonly revision: number;
}
/** The store's content in pages, for a base. Whatever changes meanwhile must be handed over as changes too. */
export type Source = () => AsyncIterable<SourcePage>;
export interface Life {
  readonly incarnation: string;
  readonly generation: number;
}

/** How often a base that is read waits for its journal. */
const CATCH_UP = 50;

export class SnapshotWriter {
  private queue: Entry[] = [];
  private file: OpenFile | null = null;
  private blocks = 0;
  private bytes = 0;
  private number = 0;
  private life: Life | null = null;
  /** A base must be written: there is none, changes were dropped, or the journal is large. */
  private wanted = true;
  private writing = false;
  private closed = false;
  /** The journal may have a hole: it goes on with the next base only. */
  private broken = true;
  /** Revision up to which everything handed over is on the disk. */
  synced = -1;
  private last = -1;
  /** What is written to the journal, one after the other; see `inTurn`. */
  private turn: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly files: Files,
    private readonly o: WriterOptions,
  ) {}

  /** Hands changes over, at once. */
  changes(entries: readonly Entry[]): void {
    if (this.closed || entries.length === 0) return;
    if (this.queue.length + entries.length > this.o.queue) {
      if (!this.broken) this.o.say('behind', `${this.queue.length} changes wait for the disk`);
      this.queue = [];
      this.broken = true;
      this.wanted = true;
      return;
    }
    this.queue.push(...entries);
  }

  /** The store has begun another life: what is on the disk is of the one before, and is kept until a base is whole. */
  begin(life: Life): void {
    this.life = life;
    this.queue = [];
    this.broken = true;
    this.wanted = true;
  }

  needsBase(): boolean {
    return this.wanted && !this.writing && !this.closed && this.life !== null;
  }

  /** Writes a base; the journal for what comes meanwhile is begun before the source is first read. */
  async base(source: Source): Promise<void> {
    const { life } = this;
    if (life === null || this.writing) return;
    this.writing = true;
    try {
      const numbers = named(await this.files.list()).map((f) => f.number);
      this.number = Math.max(this.number, ...numbers, 0) + 1;
      const n = this.number;
      const head: Head = {
        version: VERSION,
        kind: 'journal',
        ...life,
        revision: this.o.revision(),
        continues: !this.broken,
        at: this.o.now(),
      };
      await this.flush();
      await this.stopJournal();
      const journal = await this.files.create(journalName(n));
      const first = headBlock(head);
      await journal.append(first);
      await journal.sync();
      this.file = journal;
      this.blocks = 1;
      this.bytes = first.length;
      // From here on nothing is dropped, or this base is for nothing.
      this.broken = false;
      this.wanted = false;
      const part = baseName(n) + PART;
      await this.files.remove(part);
      const base = await this.files.create(part);
      await base.append(headBlock({ ...head, kind: 'base' }));
      let count = 0;
      let blocks = 1;
      let revision = 0;
      for await (const page of source()) {
        revision = Math.max(revision, page.revision);
        if (page.entries.length === 0) continue;
        await base.append(entriesBlock(blocks++, page.entries));
        count += page.entries.length;
      }
      await base.append(endBlock(blocks, count, revision));
      await base.sync();
      await base.close();
      // The base shows changes of the time it was read in: it is whole only once the journal has them all.
      for (let i = 0; i < CATCH_UP && this.o.revision() < revision; i++) await this.o.sleep(this.o.syncMs);
      const reached = this.o.revision();
      await this.flush();
      await this.inTurn(async () => {
        if (this.broken || reached < revision) return;
        await journal.append(entriesBlock(this.blocks++, [{ key: REACHED, value: null, stamp: reached }]));
        await journal.sync();
      });
      if (this.broken || this.life !== life || reached < revision) {
        this.wanted = true;
        await this.files.remove(part);
        return;
      }
      await this.files.rename(part, baseName(n));
      this.o.say('base', `${baseName(n)}: ${count} entries`);
      await this.retire();
    } catch (e) {
      this.wanted = true;
      this.o.say('failed', (e as Error).message);
    } finally {
      this.writing = false;
    }
  }

  /**
   * A base and the writer's duty both flush: two blocks under one number, and whoever reads the journal finds the second
   * one damaged, and all after it.
   */
  private inTurn(go: () => Promise<void>): Promise<void> {
    const done = this.turn.then(go);
    this.turn = done.catch(() => undefined);
    return done;
  }

  /** Writes and syncs what waits; called again and again. */
  flush(): Promise<void> {
    return this.inTurn(() => this.write());
  }

  private async write(): Promise<void> {
    const { file } = this;
    if (file === null || this.broken || this.queue.length === 0) return;
    const batch = this.queue;
    this.queue = [];
    try {
      const block = entriesBlock(this.blocks, batch);
      await file.append(block);
      await file.sync();
      // Another file by now: what this one has is as it is.
      if (this.file !== file) return;
      this.blocks++;
      this.bytes += block.length;
      this.last = Math.max(this.last, ...batch.map((e) => e.stamp));
      this.synced = this.last;
      if (this.bytes > this.o.journalBytes) this.wanted = true;
    } catch (e) {
      // Perhaps half a block stands there: nothing may follow it.
      this.broken = true;
      this.wanted = true;
      this.o.say('failed', (e as Error).message);
    }
  }

  /** The writer's duty: flushes, and writes bases when they are wanted. Ends once closed. */
  async run(source: Source): Promise<void> {
    let wait = 1000;
    let base: Promise<void> | null = null;
    let next = 0;
    while (!this.closed) {
      await this.flush();
      if (base === null && this.needsBase() && this.o.now() >= next) {
        base = this.base(source).then(() => {
          base = null;
          // A disk that is full now is full a second later, too.
          wait = this.wanted ? Math.min(60_000, wait * 2) : 1000;
          next = this.wanted ? this.o.now() + wait : 0;
        });
      }
      await this.o.sleep(this.o.syncMs);
    }
    await base;
    await this.flush();
    await this.stopJournal();
  }

  close(): void {
    this.closed = true;
  }

  private stopJournal(): Promise<void> {
    return this.inTurn(async () => {
      const { file } = this;
      this.file = null;
      await file?.close().catch(() => undefined);
    });
  }

  /** Removes what is neither among the bases to keep nor needed to go on from one of them. */
  private async retire(): Promise<void> {
    const all = named(await this.files.list());
    const bases = all.filter((f) => f.kind === 'base').map((f) => f.number);
    const kept = bases.slice(-this.o.keep);
    const oldest = kept[0] ?? 0;
    for (const f of all) {
      if (f.number >= oldest) continue;
      await this.files.remove(f.name);
      this.o.say('removed', f.name);
    }
    // Older ones than the age allows, but never the newest.
    for (const number of kept.slice(0, -1)) {
      const head = (await this.files.read(baseName(number))).subarray(13, 400).toString('latin1');
      const at = Number(/"at":(\d+)/.exec(head)?.[1] ?? this.o.now());
      if (this.o.now() - at <= this.o.maxAgeMs) continue;
      for (const name of [baseName(number), journalName(number)]) await this.files.remove(name);
      this.o.say('removed', baseName(number));
    }
  }
}
