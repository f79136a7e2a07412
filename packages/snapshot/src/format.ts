/**
 * The files' format. A file is a row of blocks; a block is a header of 13 bytes and a payload:
 *
 *     length of the payload   4 bytes, little-endian
 *     CRC-32 of what follows  4 bytes
 *     number of the block     4 bytes, from 0 on: a block can't stand in for another
 *     kind                    1 byte: 0 head, 1 entries, 2 entries deflated, 3 end
 *
 * The first block is the head (JSON), a base's last one is its end with the number of its entries. Entries are msgpack:
 * a row of [key, value, revision], without a value where the key was deleted.
 */
import { crc32, deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';

export const VERSION = 1;
const HEADER = 13;
/** Deflating less than this gains nothing. */
const DEFLATE_FROM = 512;
/** No block is larger: a length beyond it is damage, not a reason to read on. */
export const MAX_PAYLOAD = 8 * 1024 * 1024;

/** One key's value, or its deletion. */
export interface Entry {
  readonly key: string;
  /** undefined: deleted. */
  readonly value: unknown;
  /** Revision of the change. */
  readonly stamp: number;
}

/** The first block of a file; JSON of this object, so its field names are part of the format. */
export interface Head {
  readonly version: number;
  readonly kind: 'base' | 'journal';
  /** Which incarnation of the store's data this is of, and how many there were before. */
  readonly incarnation: string;
  readonly generation: number;
  /** A base was begun at this revision; a journal goes on from it. */
  readonly revision: number;
  /** A journal: nothing is missing between the one before it and this one. */
  readonly continues: boolean;
  /** Time of day, milliseconds. */
  readonly at: number;
}

const KIND = { head: 0, entries: 1, deflated: 2, end: 3 } as const;

const block = (number: number, kind: number, payload: Buffer): Buffer => {
  const out = Buffer.allocUnsafe(HEADER + payload.length);
  out.writeUInt32LE(payload.length, 0);
  out.writeUInt32LE(number >>> 0, 8);
  out.writeUInt8(kind, 12);
  payload.copy(out, HEADER);
  out.writeUInt32LE(crc32(out.subarray(8)), 4);
  return out;
};

export const headBlock = (h: Head): Buffer => block(0, KIND.head, Buffer.from(JSON.stringify(h)));
export const entriesBlock = (number: number, entries: readonly Entry[]): Buffer => {
  const raw = pack(
    entries.map((e) => (e.value === undefined ? [e.key, e.stamp] : [e.key, e.stamp, e.value])),
  );
  return raw.length < DEFLATE_FROM
    ? block(number, KIND.entries, Buffer.from(raw))
    : block(number, KIND.deflated, deflateRawSync(raw, { level: 1 }));
};
/** `revision`: of the latest page that a base was read from: it holds only with a journal that reaches so far. */
export const endBlock = (number: number, count: number, revision: number): Buffer =>
  block(number, KIND.end, Buffer.from(JSON.stringify({ count, revision })));
/** The key of an entry that only says up to which revision a journal is complete. */
export const REACHED = '';

export type Part =
  | { readonly kind: 'head'; readonly head: Head }
  | { readonly kind: 'entries'; readonly entries: readonly Entry[] }
  | { readonly kind: 'end'; readonly count: number; readonly revision: number };

/** Why reading a file stopped before its end: where, in bytes, and at which block. */
export interface Flaw {
  /** `torn`: the file ends within a block. `damaged`: a whole block's checksum, number or content is wrong. */
  readonly kind: 'torn' | 'damaged';
  readonly block: number;
  readonly offset: number;
  readonly reason: string;
}

/** A whole block that this version can't read. */
class UnreadablePart extends Error {
  override readonly name = 'UnreadablePart';
}

const partOf = (kind: number, payload: Buffer): Part => {
  if (kind === KIND.head) {
    const head = JSON.parse(payload.toString('utf8')) as Head;
    if (head.version !== VERSION)
      throw new UnreadablePart(`version ${head.version}, this program reads ${VERSION}`);
    return { kind: 'head', head };
  }
  if (kind === KIND.end)
    return { kind: 'end', ...(JSON.parse(payload.toString('utf8')) as { count: number; revision: number }) };
  if (kind !== KIND.entries && kind !== KIND.deflated) throw new UnreadablePart(`unknown kind ${kind}`);
  const rows = unpack(kind === KIND.deflated ? inflateRawSync(payload) : payload) as [
    string,
    number,
    unknown?,
  ][];
  return {
    kind: 'entries',
    entries: rows.map((r) => ({ key: r[0], stamp: r[1], value: r.length > 2 ? r[2] : undefined })),
  };
};

/** The parts of a file up to its first flaw, which comes last if there is one. Nothing after a flaw is read. */
export function* readParts(file: Buffer): Generator<Part | Flaw> {
  let offset = 0;
  for (let number = 0; offset < file.length; number++) {
    const flaw = (kind: Flaw['kind'], reason: string): Flaw => ({ kind, block: number, offset, reason });
    if (file.length - offset < HEADER) return yield flaw('torn', 'ends within a header');
    const length = file.readUInt32LE(offset);
    if (length > MAX_PAYLOAD) return yield flaw('damaged', `a length of ${length}`);
    const end = offset + HEADER + length;
    if (end > file.length) return yield flaw('torn', 'ends within a block');
    if (crc32(file.subarray(offset + 8, end)) !== file.readUInt32LE(offset + 4))
      return yield flaw('damaged', 'wrong checksum');
    if (file.readUInt32LE(offset + 8) !== number) return yield flaw('damaged', 'not its place');
    try {
      yield partOf(file.readUInt8(offset + 12), file.subarray(offset + HEADER, end));
    } catch (e) {
      return yield flaw('damaged', (e as Error).message);
    }
    offset = end;
  }
}

export const isFlaw = (p: Part | Flaw): p is Flaw => p.kind === 'torn' || p.kind === 'damaged';
