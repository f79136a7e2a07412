/** Reads what a writer has left: the newest base that is whole, and the journals from it on as far as they are. */
import type { Files } from './files.js';
import { type Entry, type Flaw, type Head, isFlaw, parts, REACHED } from './format.js';
import { named, type Named } from './names.js';

export interface Checked {
  readonly name: string;
  readonly kind: 'base' | 'journal';
  readonly head: Head | null;
  readonly entries: number;
  /** The highest revision in it. */
  readonly last: number;
  readonly bytes: number;
  /** A base: its end is there and counts right. A journal: any that begins with a head. */
  readonly usable: boolean;
  readonly flaw: Flaw | null;
}

export interface Content {
  readonly incarnation: string;
  readonly generation: number;
  /** The content is as of this revision. */
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly files: readonly Checked[];
}

const readOne = (file: Named, data: Buffer, take: (e: Entry) => void): Checked => {
  let head: Head | null = null;
  let entries = 0;
  let last = 0;
  let ended: number | null = null;
  let flaw: Flaw | null = null;
  for (const p of parts(data)) {
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
export const check = async (files: Files): Promise<Checked[]> => {
  const out: Checked[] = [];
  for (const f of named(await files.list())) out.push(readOne(f, await files.read(f.name), () => undefined));
  return out;
};

/**
 * The content as far as it can be vouched for; null: there is none. A base is used only whole. Of journals nothing after
 * a flaw is used, and none after one that has a flaw unless a whole base follows it.
 */
export const load = async (files: Files): Promise<Content | null> => {
  const all = named(await files.list());
  const bases = all.filter((f) => f.kind === 'base').reverse();
  for (const base of bases) {
    const entries = new Map<string, Entry>();
    const read: Checked[] = [];
    const first = readOne(base, await files.read(base.name), (e) => entries.set(e.key, e));
    read.push(first);
    if (!first.usable || first.head === null) continue;
    const { head } = first;
    let revision = head.revision;
    // Keys that went while the base was being read are in the journal only.
    const gone = new Map<string, number>();
    for (const j of all.filter((f) => f.kind === 'journal' && f.number >= base.number)) {
      const rows: Entry[] = [];
      const checked = readOne(j, await files.read(j.name), (e) => rows.push(e));
      read.push(checked);
      if (!checked.usable || checked.head?.incarnation !== head.incarnation) break;
      // Changes were dropped before it: what follows would stand on nothing.
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
    // Read while changes went on, it shows some of them; the journal that has them all ends before.
    if (revision < first.last) continue;
    return { incarnation: head.incarnation, generation: head.generation, revision, entries, files: read };
  }
  return null;
};

export interface Difference {
  readonly key: string;
  readonly left: Entry | null;
  readonly right: Entry | null;
}
/** Keys that two contents have otherwise, in key order. */
export const differences = (a: Content, b: Content): Difference[] => {
  const keys = [...new Set([...a.entries.keys(), ...b.entries.keys()])].sort();
  return keys.flatMap((key) => {
    const left = a.entries.get(key) ?? null;
    const right = b.entries.get(key) ?? null;
    return JSON.stringify(left?.value) === JSON.stringify(right?.value) ? [] : [{ key, left, right }];
  });
};
