/** Reads what a writer has left: the newest base that is complete, and the journals after it as far as they are. */
import type { Files } from './files.js';
import { type Entry, type Flaw, type Head, isFlaw, readParts, REACHED } from './format.js';
import { parseNames, type SnapshotFile } from './names.js';

/** What reading a file through has shown. */
export interface CheckedFile {
  readonly name: string;
  readonly kind: 'base' | 'journal';
  readonly head: Head | null;
  readonly entries: number;
  /** The highest revision in it. */
  readonly last: number;
  readonly bytes: number;
  /** A base: its end block is there, with the right count. A journal: it begins with a head. */
  readonly usable: boolean;
  readonly flaw: Flaw | null;
}

/** The store's content as a snapshot has it. */
export interface Content {
  readonly incarnation: string;
  readonly generation: number;
  /** The content is as of this revision. */
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly files: readonly CheckedFile[];
}

const checkFile = (file: SnapshotFile, data: Buffer, take: (e: Entry) => void): CheckedFile => {
  let head: Head | null = null;
  let entries = 0;
  let last = 0;
  let ended: number | null = null;
  let flaw: Flaw | null = null;
  for (const p of readParts(data)) {
    if (isFlaw(p)) flaw = p;
    else if (p.kind === 'head') head = p.head;
    else if (head === null) break;
    else if (p.kind === 'end') {
      ended = p.count;
      last = Math.max(last, p.revision);
    } else
      for (const e of p.entries) {
        entries++;
        last = Math.max(last, e.stamp);
        take(e);
      }
  }
  const usable =
    head !== null &&
    head.kind === file.kind &&
    (file.kind === 'journal' || (flaw === null && ended === entries));
  return { name: file.name, kind: file.kind, head, entries, last, bytes: data.length, usable, flaw };
};

/** Every file, read through and checked. */
export const check = async (files: Files): Promise<CheckedFile[]> => {
  const out: CheckedFile[] = [];
  for (const f of parseNames(await files.list()))
    out.push(checkFile(f, await files.read(f.name), () => undefined));
  return out;
};

/**
 * The content as far as it can be vouched for; null: there is none. A base is used only whole. Of journals nothing after
 * a flaw is used, and none after one that has a flaw unless a whole base follows it.
 */
export const load = async (files: Files): Promise<Content | null> => {
  const all = parseNames(await files.list());
  const bases = all.filter((f) => f.kind === 'base').reverse();
  for (const base of bases) {
    const entries = new Map<string, Entry>();
    const read: CheckedFile[] = [];
    const first = checkFile(base, await files.read(base.name), (e) => entries.set(e.key, e));
    read.push(first);
    if (!first.usable || first.head === null) continue;
    const { head } = first;
    let revision = head.revision;
    // Keys that went while the base was being read are in the journal only.
    const gone = new Map<string, number>();
    for (const j of all.filter((f) => f.kind === 'journal' && f.number >= base.number)) {
      const rows: Entry[] = [];
      const checked = checkFile(j, await files.read(j.name), (e) => rows.push(e));
      read.push(checked);
      if (!checked.usable || checked.head?.incarnation !== head.incarnation) break;
      // Changes were dropped before it, so it does not follow on what was read so far.
      if (j.number > base.number && !checked.head.continues) break;
      for (const e of rows) {
        revision = Math.max(revision, e.stamp);
        if (e.key === REACHED) continue;
        const stamp = Math.max(entries.get(e.key)?.stamp ?? 0, gone.get(e.key) ?? 0);
        if (e.stamp < stamp) continue;
        if (e.value === undefined) {
          entries.delete(e.key);
          gone.set(e.key, e.stamp);
        } else entries.set(e.key, e);
      }
      if (checked.flaw !== null) break;
    }
    // The base was read while changes went on and shows some of them; the journal ends before it has them all.
    if (revision < first.last) continue;
    return { incarnation: head.incarnation, generation: head.generation, revision, entries, files: read };
  }
  return null;
};

/** A key whose values differ; null: the key is missing on that side. */
export interface Difference {
  readonly key: string;
  readonly left: Entry | null;
  readonly right: Entry | null;
}
/** The keys whose values differ between two contents, in key order. */
export const differences = (a: Content, b: Content): Difference[] => {
  const keys = [...new Set([...a.entries.keys(), ...b.entries.keys()])].sort();
  return keys.flatMap((key) => {
    const left = a.entries.get(key) ?? null;
    const right = b.entries.get(key) ?? null;
    return JSON.stringify(left?.value) === JSON.stringify(right?.value) ? [] : [{ key, left, right }];
  });
};
