/** Reads and checks a snapshot: the newest complete base, and the valid beginning of the journals after it. */
import type { Files } from './files.js';
import { type Entry, type Flaw, type FileHead, isFlaw, readBlocks, REACHED_KEY } from './format.js';
import { parseNames, type SnapshotFile } from './names.js';

/** The result of reading and checking one file. The command line tool prints it as JSON, under these field names. */
export interface CheckedFile {
  readonly name: string;
  readonly kind: 'base' | 'journal';
  readonly head: FileHead | null;
  readonly entries: number;
  /** The highest revision in the file. */
  readonly last: number;
  readonly bytes: number;
  /** Whether a base has an end block with the right count, or a journal begins with a head. */
  readonly usable: boolean;
  readonly flaw: Flaw | null;
}

/** The store's content as of the snapshot. */
export interface SnapshotContent {
  readonly incarnation: string;
  readonly generation: number;
  /** The revision that the content is as of. */
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly files: readonly CheckedFile[];
}

/** Reads and checks one file, and passes its entries to `onEntry`. */
const checkFile = (file: SnapshotFile, data: Buffer, onEntry: (entry: Entry) => void): CheckedFile => {
  let head: FileHead | null = null;
  let entries = 0;
  let last = 0;
  let statedCount: number | null = null;
  let flaw: Flaw | null = null;
  for (const block of readBlocks(data)) {
    if (isFlaw(block)) flaw = block;
    else if (block.kind === 'head') head = block.head;
    else if (head === null) break;
    else if (block.kind === 'end') {
      statedCount = block.count;
      last = Math.max(last, block.revision);
    } else
      for (const entry of block.entries) {
        entries++;
        last = Math.max(last, entry.revision);
        onEntry(entry);
      }
  }
  const usable =
    head !== null &&
    head.kind === file.kind &&
    (file.kind === 'journal' || (flaw === null && statedCount === entries));
  return { name: file.name, kind: file.kind, head, entries, last, bytes: data.length, usable, flaw };
};

/** Reads and checks all files of a snapshot. */
export const checkFiles = async (files: Files): Promise<CheckedFile[]> => {
  const checked: CheckedFile[] = [];
  for (const file of parseNames(await files.list()))
    checked.push(checkFile(file, await files.read(file.name), () => undefined));
  return checked;
};

/**
 * Loads the newest content that is known to be consistent; null if there is none. A base is used only if it is complete and
 * undamaged. Nothing after a flaw in a journal is used, nor any later journal that has no complete base of its own.
 */
export const loadSnapshot = async (files: Files): Promise<SnapshotContent | null> => {
  const all = parseNames(await files.list());
  const bases = all.filter((file) => file.kind === 'base').reverse();
  for (const base of bases) {
    const entries = new Map<string, Entry>();
    const checkedFiles: CheckedFile[] = [];
    const checkedBase = checkFile(base, await files.read(base.name), (entry) =>
      entries.set(entry.key, entry),
    );
    checkedFiles.push(checkedBase);
    if (!checkedBase.usable || checkedBase.head === null) continue;
    const { head } = checkedBase;
    let revision = head.revision;
    // Revisions at which keys were deleted. A key deleted while the base was being read may appear in the journal only.
    const deletedAt = new Map<string, number>();
    for (const journal of all.filter((file) => file.kind === 'journal' && file.number >= base.number)) {
      const changes: Entry[] = [];
      const checked = checkFile(journal, await files.read(journal.name), (entry) => changes.push(entry));
      checkedFiles.push(checked);
      if (!checked.usable || checked.head?.incarnation !== head.incarnation) break;
      // Changes were dropped before this journal, so it does not continue the content read so far.
      if (journal.number > base.number && !checked.head.continues) break;
      for (const change of changes) {
        revision = Math.max(revision, change.revision);
        if (change.key === REACHED_KEY) continue;
        const known = Math.max(entries.get(change.key)?.revision ?? 0, deletedAt.get(change.key) ?? 0);
        if (change.revision < known) continue;
        if (change.value === undefined) {
          entries.delete(change.key);
          deletedAt.set(change.key, change.revision);
        } else entries.set(change.key, change);
      }
      if (checked.flaw !== null) break;
    }
    // The base was read while the store changed and contains some of those changes. If the journal ends before the base's
    // highest revision, other changes up to that revision may be missing.
    if (revision < checkedBase.last) continue;
    return {
      incarnation: head.incarnation,
      generation: head.generation,
      revision,
      entries,
      files: checkedFiles,
    };
  }
  return null;
};

/** A key whose values differ; a side is null if the key is missing there. */
export interface Difference {
  readonly key: string;
  readonly left: Entry | null;
  readonly right: Entry | null;
}
/** Returns the keys whose values differ between two contents, in key order. */
export const compareContents = (
  leftContent: SnapshotContent,
  rightContent: SnapshotContent,
): Difference[] => {
  const keys = [...new Set([...leftContent.entries.keys(), ...rightContent.entries.keys()])].sort();
  return keys.flatMap((key) => {
    const left = leftContent.entries.get(key) ?? null;
    const right = rightContent.entries.get(key) ?? null;
    return JSON.stringify(left?.value) === JSON.stringify(right?.value) ? [] : [{ key, left, right }];
  });
};
