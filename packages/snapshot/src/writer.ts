/**
 * Writes a base and, beside and after it, a journal of changes. The caller that hands changes over never waits: they go into
 * a bounded queue; when that is full, a new base is begun instead. Whatever `synced` covers is on the disk.
 */
import type { Files, OpenFile } from './files.js';
import { endBlock, type Entry, entriesBlock, type Head, headBlock, REACHED, VERSION } from './format.js';
import { baseName, journalName, parseNames, PART } from './names.js';

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
/** Which incarnation of the store's data a snapshot is of, as the files' heads name it. */
export interface StoreIncarnation {
  readonly incarnation: string;
  readonly generation: number;
}

/** How often a base that has been read waits for its journal to catch up, `syncMs` each time. */
const CATCH_UP = 50;

/** Writes one directory's snapshot; `run` does the work, `changes` and `begin` hand over what there is. */
export class SnapshotWriter {
  private queue: Entry[] = [];
  private file: OpenFile | null = null;
  private blocks = 0;
  private bytes = 0;
  private number = 0;
  private incarnation: StoreIncarnation | null = null;
  /** A base must be written: there is none, changes were dropped, or the journal is large. */
  private baseWanted = true;
  private writing = false;
  private closed = false;
  /** The journal may have a hole: it goes on with the next base only. */
  private broken = true;
  /** Revision up to which everything handed over is on the disk. */
  synced = -1;
  private last = -1;
  /** The journal's writes, one after the other; see `serialize`. */
  private serialized: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly files: Files,
    private readonly options: WriterOptions,
  ) {}

  /** Hands changes over; returns at once. */
  changes(entries: readonly Entry[]): void {
    if (this.closed || entries.length === 0) return;
    if (this.queue.length + entries.length > this.options.queue) {
      if (!this.broken) this.options.say('behind', `${this.queue.length} changes wait for the disk`);
      this.queue = [];
      this.broken = true;
      this.baseWanted = true;
      return;
    }
    this.queue.push(...entries);
  }

  /** Another incarnation of the store has begun: files of the one before are kept until a base of this one is complete. */
  begin(incarnation: StoreIncarnation): void {
    this.incarnation = incarnation;
    this.queue = [];
    this.broken = true;
    this.baseWanted = true;
  }

  /** A base is wanted and none is being written. */
  needsBase(): boolean {
    return this.baseWanted && !this.writing && !this.closed && this.incarnation !== null;
  }

  /** Writes a base; the journal for what comes meanwhile is begun before the source is first read. */
  async base(source: Source): Promise<void> {
    const { incarnation } = this;
    if (incarnation === null || this.writing) return;
    this.writing = true;
    try {
      const numbers = parseNames(await this.files.list()).map((f) => f.number);
      this.number = Math.max(this.number, ...numbers, 0) + 1;
      const n = this.number;
      const head: Head = {
        version: VERSION,
        kind: 'journal',
        ...incarnation,
        revision: this.options.revision(),
        continues: !this.broken,
        at: this.options.now(),
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
      this.baseWanted = false;
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
      for (let i = 0; i < CATCH_UP && this.options.revision() < revision; i++)
        await this.options.sleep(this.options.syncMs);
      const reached = this.options.revision();
      await this.flush();
      await this.serialize(async () => {
        if (this.broken || reached < revision) return;
        await journal.append(entriesBlock(this.blocks++, [{ key: REACHED, value: null, stamp: reached }]));
        await journal.sync();
      });
      if (this.broken || this.incarnation !== incarnation || reached < revision) {
        this.baseWanted = true;
        await this.files.remove(part);
        return;
      }
      await this.files.rename(part, baseName(n));
      this.options.say('base', `${baseName(n)}: ${count} entries`);
      await this.removeOld();
    } catch (e) {
      this.baseWanted = true;
      this.options.say('failed', (e as Error).message);
    } finally {
      this.writing = false;
    }
  }

  /**
   * Runs the journal's writes one after the other. A base and `run` both flush: without this, two blocks could get one
   * number, and a reader would take the second one, and all after it, for damaged.
   */
  private serialize(go: () => Promise<void>): Promise<void> {
    const done = this.serialized.then(go);
    this.serialized = done.catch(() => undefined);
    return done;
  }

  /** Writes and syncs what waits; called again and again. */
  flush(): Promise<void> {
    return this.serialize(() => this.write());
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
      // Another journal has been begun: this one stays as it is.
      if (this.file !== file) return;
      this.blocks++;
      this.bytes += block.length;
      this.last = Math.max(this.last, ...batch.map((e) => e.stamp));
      this.synced = this.last;
      if (this.bytes > this.options.journalBytes) this.baseWanted = true;
    } catch (e) {
      // Perhaps half a block stands there: nothing may follow it.
      this.broken = true;
      this.baseWanted = true;
      this.options.say('failed', (e as Error).message);
    }
  }

  /** Flushes, and writes bases when they are wanted. Ends once closed. */
  async run(source: Source): Promise<void> {
    let wait = 1000;
    let base: Promise<void> | null = null;
    let next = 0;
    while (!this.closed) {
      await this.flush();
      if (base === null && this.needsBase() && this.options.now() >= next) {
        base = this.base(source).then(() => {
          base = null;
          // A disk that is full now is full a second later, too.
          wait = this.baseWanted ? Math.min(60_000, wait * 2) : 1000;
          next = this.baseWanted ? this.options.now() + wait : 0;
        });
      }
      await this.options.sleep(this.options.syncMs);
    }
    await base;
    await this.flush();
    await this.stopJournal();
  }

  /** Makes `run` flush and end. */
  close(): void {
    this.closed = true;
  }

  private stopJournal(): Promise<void> {
    return this.serialize(async () => {
      const { file } = this;
      this.file = null;
      await file?.close().catch(() => undefined);
    });
  }

  /** Removes what is neither among the bases to keep nor needed to go on from one of them. */
  private async removeOld(): Promise<void> {
    const all = parseNames(await this.files.list());
    const bases = all.filter((f) => f.kind === 'base').map((f) => f.number);
    const kept = bases.slice(-this.options.keep);
    const oldest = kept[0] ?? 0;
    for (const f of all) {
      if (f.number >= oldest) continue;
      await this.files.remove(f.name);
      this.options.say('removed', f.name);
    }
    // Older ones than the age allows, but never the newest.
    for (const number of kept.slice(0, -1)) {
      const head = (await this.files.read(baseName(number))).subarray(13, 400).toString('latin1');
      const at = Number(/"at":(\d+)/.exec(head)?.[1] ?? this.options.now());
      if (this.options.now() - at <= this.options.maxAgeMs) continue;
      for (const name of [baseName(number), journalName(number)]) await this.files.remove(name);
      this.options.say('removed', baseName(number));
    }
  }
}
