/**
 * Writes a snapshot: a base and, concurrently and after it, a journal of changes. The caller that hands over changes never
 * waits: they go into a bounded queue, and if the queue is full they are dropped and a new base is written instead.
 */
import type { Files, OpenFile } from './files.js';
import {
  endBlock,
  type Entry,
  entriesBlock,
  type FileHead,
  headBlock,
  REACHED_KEY,
  VERSION,
} from './format.js';
import { baseName, journalName, parseNames, PARTIAL_SUFFIX } from './names.js';

/** Limits, retention and environment of a writer. */
export interface WriterOptions {
  /** Interval between two flushes of the queued changes to disk, in milliseconds. */
  readonly flushIntervalMs: number;
  /** Journal size in bytes above which a new base is written. */
  readonly maxJournalBytes: number;
  /** Maximum number of entries waiting to be written. */
  readonly maxQueuedEntries: number;
  /** Number of bases to keep. */
  readonly maxBases: number;
  /** Maximum age of a kept base, in milliseconds; the newest base is kept whatever its age. */
  readonly maxAgeMs: number;
  /** Returns the revision up to which all changes have been handed over. */
  readonly revision: () => number;
  /** Returns the time of day in milliseconds. */
  readonly now: () => number;
  readonly sleep: (ms: number) => Promise<void>;
  /** Reports an event for operators; not called for every change. */
  readonly onEvent: (event: 'behind' | 'failed' | 'base' | 'removed', detail: string) => void;
}

/** A page of the store's content, as of a revision. */
export interface SourcePage {
  readonly entries: readonly Entry[];
  readonly revision: number;
}
/** Reads the store's content page by page for a base. Changes made meanwhile must also be handed over as changes. */
export type Source = () => AsyncIterable<SourcePage>;
/** The incarnation of the store that a snapshot is of, as written to the files' heads. */
export interface StoreIncarnation {
  readonly incarnation: string;
  readonly generation: number;
}

/** Maximum number of flush intervals that a base, once read, waits for the journal to catch up with it. */
const MAX_CATCH_UP_WAITS = 50;

/** Writes the snapshot of one directory. Changes and incarnations are handed over by calls; `run` writes them to disk. */
export class SnapshotWriter {
  private queue: Entry[] = [];
  /** The journal being written; null before the first base. */
  private journal: OpenFile | null = null;
  /** Number of blocks in the journal. */
  private blockCount = 0;
  /** Size of the journal, in bytes. */
  private journalSize = 0;
  /** Number of the latest base and journal. */
  private fileNumber = 0;
  private incarnation: StoreIncarnation | null = null;
  /** Whether a base must be written because there is none, changes were dropped, or the journal is too large. */
  private baseWanted = true;
  private writingBase = false;
  private closed = false;
  /** Whether changes may be missing from the journal; nothing more is written to it until the next base begins a new one. */
  private hasGap = true;
  /** Revision up to which all changes handed over are on the disk. */
  syncedRevision = -1;
  private writtenRevision = -1;
  /** Completes with the latest operation on the journal; see `serialize`. */
  private lastJournalWrite: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly files: Files,
    private readonly options: WriterOptions,
  ) {}

  /** Queues changes to be written, and returns at once. */
  enqueue(entries: readonly Entry[]): void {
    if (this.closed || entries.length === 0) return;
    if (this.queue.length + entries.length > this.options.maxQueuedEntries) {
      if (!this.hasGap)
        this.options.onEvent(
          'behind',
          `${this.queue.length} changes waiting for the disk, dropped for a new base`,
        );
      this.queue = [];
      this.hasGap = true;
      this.baseWanted = true;
      return;
    }
    this.queue.push(...entries);
  }

  /** Begins another incarnation of the store. Files of the previous one are kept until a base of the new one is complete. */
  beginIncarnation(incarnation: StoreIncarnation): void {
    this.incarnation = incarnation;
    this.queue = [];
    this.hasGap = true;
    this.baseWanted = true;
  }

  /** Whether a base must be written and none is being written. */
  needsBase(): boolean {
    return this.baseWanted && !this.writingBase && !this.closed && this.incarnation !== null;
  }

  /** Writes a base. A new journal is begun before the source is first read, so that it has all changes made meanwhile. */
  async writeBase(source: Source): Promise<void> {
    const { incarnation } = this;
    if (incarnation === null || this.writingBase) return;
    this.writingBase = true;
    try {
      const numbers = parseNames(await this.files.list()).map((file) => file.number);
      this.fileNumber = Math.max(this.fileNumber, ...numbers, 0) + 1;
      const number = this.fileNumber;
      const head: FileHead = {
        version: VERSION,
        kind: 'journal',
        ...incarnation,
        revision: this.options.revision(),
        continues: !this.hasGap,
        at: this.options.now(),
      };
      await this.flush();
      await this.closeJournal();
      const journal = await this.files.create(journalName(number));
      const journalHead = headBlock(head);
      await journal.append(journalHead);
      await journal.sync();
      this.journal = journal;
      this.blockCount = 1;
      this.journalSize = journalHead.length;
      // If a change is dropped from here on, this base can't be used.
      this.hasGap = false;
      this.baseWanted = false;
      const partialName = baseName(number) + PARTIAL_SUFFIX;
      await this.files.remove(partialName);
      const base = await this.files.create(partialName);
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
      // The base contains some of the changes made while it was read, so it is consistent only once the journal has all
      // changes up to the base's highest revision.
      for (let waits = 0; waits < MAX_CATCH_UP_WAITS && this.options.revision() < revision; waits++)
        await this.options.sleep(this.options.flushIntervalMs);
      const reachedRevision = this.options.revision();
      await this.flush();
      await this.serialize(async () => {
        if (this.hasGap || reachedRevision < revision) return;
        await journal.append(
          entriesBlock(this.blockCount++, [{ key: REACHED_KEY, value: null, revision: reachedRevision }]),
        );
        await journal.sync();
      });
      if (this.hasGap || this.incarnation !== incarnation || reachedRevision < revision) {
        this.baseWanted = true;
        await this.files.remove(partialName);
        return;
      }
      await this.files.rename(partialName, baseName(number));
      this.options.onEvent('base', `${baseName(number)}: ${count} entries`);
      await this.removeOldFiles();
    } catch (failure) {
      this.baseWanted = true;
      this.options.onEvent('failed', (failure as Error).message);
    } finally {
      this.writingBase = false;
    }
  }

  /**
   * Runs operations on the journal one after the other. Writing a base and `run` both flush the queue; concurrently, they
   * could give two blocks the same number, and a reader would treat the second one and everything after it as damaged.
   */
  private serialize(operation: () => Promise<void>): Promise<void> {
    const done = this.lastJournalWrite.then(operation);
    this.lastJournalWrite = done.catch(() => undefined);
    return done;
  }

  /** Writes the queued changes to the journal and syncs it. */
  flush(): Promise<void> {
    return this.serialize(() => this.writeQueue());
  }

  private async writeQueue(): Promise<void> {
    const { journal } = this;
    if (journal === null || this.hasGap || this.queue.length === 0) return;
    const batch = this.queue;
    this.queue = [];
    try {
      const block = entriesBlock(this.blockCount, batch);
      await journal.append(block);
      await journal.sync();
      // Another journal was begun meanwhile; the counters below are those of the new one.
      if (this.journal !== journal) return;
      this.blockCount++;
      this.journalSize += block.length;
      this.writtenRevision = Math.max(this.writtenRevision, ...batch.map((entry) => entry.revision));
      this.syncedRevision = this.writtenRevision;
      if (this.journalSize > this.options.maxJournalBytes) this.baseWanted = true;
    } catch (failure) {
      // The journal may now end with an incomplete block; nothing may be written after it.
      this.hasGap = true;
      this.baseWanted = true;
      this.options.onEvent('failed', (failure as Error).message);
    }
  }

  /** Flushes the queue at each interval and writes bases when needed; completes once the writer is closed. */
  async run(source: Source): Promise<void> {
    let retryDelay = 1000;
    let base: Promise<void> | null = null;
    let retryAt = 0;
    while (!this.closed) {
      await this.flush();
      if (base === null && this.needsBase() && this.options.now() >= retryAt) {
        base = this.writeBase(source).then(() => {
          base = null;
          // A failure such as a full disk usually persists, so the delay before the next attempt doubles.
          retryDelay = this.baseWanted ? Math.min(60_000, retryDelay * 2) : 1000;
          retryAt = this.baseWanted ? this.options.now() + retryDelay : 0;
        });
      }
      await this.options.sleep(this.options.flushIntervalMs);
    }
    await base;
    await this.flush();
    await this.closeJournal();
  }

  /** Makes `run` flush the queue and complete. */
  close(): void {
    this.closed = true;
  }

  private closeJournal(): Promise<void> {
    return this.serialize(async () => {
      const { journal } = this;
      this.journal = null;
      await journal?.close().catch(() => undefined);
    });
  }

  /** Removes the files older than the bases to keep, and kept bases that exceed the maximum age. */
  private async removeOldFiles(): Promise<void> {
    const all = parseNames(await this.files.list());
    const bases = all.filter((file) => file.kind === 'base').map((file) => file.number);
    const kept = bases.slice(-this.options.maxBases);
    const oldest = kept[0] ?? 0;
    for (const file of all) {
      if (file.number >= oldest) continue;
      await this.files.remove(file.name);
      this.options.onEvent('removed', file.name);
    }
    // Removes kept bases that exceed the maximum age, except the newest base.
    for (const number of kept.slice(0, -1)) {
      const head = (await this.files.read(baseName(number))).subarray(13, 400).toString('latin1');
      const at = Number(/"at":(\d+)/.exec(head)?.[1] ?? this.options.now());
      if (this.options.now() - at <= this.options.maxAgeMs) continue;
      for (const name of [baseName(number), journalName(number)]) await this.files.remove(name);
      this.options.onEvent('removed', baseName(number));
    }
  }
}
