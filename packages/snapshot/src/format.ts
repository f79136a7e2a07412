/**
 * The format of snapshot files. A file is a sequence of blocks; a block is a header of 13 bytes and a payload:
 *
 *     payload length          4 bytes, little-endian
 *     CRC-32 of the rest      4 bytes, of the block number, the kind and the payload
 *     block number            4 bytes, counted from 0, so that a block can't be taken for another one
 *     kind                    1 byte: 0 head, 1 entries, 2 deflated entries, 3 end
 *
 * The first block is the head (JSON). The last block of a base is its end (JSON), with the number of its entries. Entries are
 * encoded as msgpack: an array of [key, revision, value], without the value if the key was deleted.
 */
import { crc32, deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';

/** Version of the file format. */
export const VERSION = 1;
/** Size of a block's header. */
const HEADER_BYTES = 13;
/** Smaller payloads are not deflated, as that saves nothing. */
const MIN_DEFLATE_BYTES = 512;
/** Maximum payload length in bytes; a larger length in a header means that the block is damaged. */
export const MAX_PAYLOAD = 8 * 1024 * 1024;

/** A key with its value, or the deletion of a key. */
export interface Entry {
  readonly key: string;
  /** undefined if the key was deleted. */
  readonly value: unknown;
  /** The revision of the store that set or deleted the key. */
  readonly revision: number;
}

/** The first block of a file. It is written as JSON of this object, so the field names are part of the format. */
export interface FileHead {
  readonly version: number;
  readonly kind: 'base' | 'journal';
  /** Id of the incarnation of the store that the snapshot is of. */
  readonly incarnation: string;
  /** Number of incarnations before that one. */
  readonly generation: number;
  /** Revision at which a base was begun, and from which a journal continues. */
  readonly revision: number;
  /** For a journal: whether it follows on the previous journal without missing changes. */
  readonly continues: boolean;
  /** Time of day at which the file was created, in milliseconds. */
  readonly at: number;
}

/** The values of a block's kind byte. */
const BLOCK_KIND = { head: 0, entries: 1, deflated: 2, end: 3 } as const;

/** Encodes a block with its header and checksum. */
const encodeBlock = (number: number, kind: number, payload: Buffer): Buffer => {
  const block = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  block.writeUInt32LE(payload.length, 0);
  block.writeUInt32LE(number >>> 0, 8);
  block.writeUInt8(kind, 12);
  payload.copy(block, HEADER_BYTES);
  block.writeUInt32LE(crc32(block.subarray(8)), 4);
  return block;
};

/** Encodes the head block of a file. */
export const headBlock = (head: FileHead): Buffer =>
  encodeBlock(0, BLOCK_KIND.head, Buffer.from(JSON.stringify(head)));
/** Encodes a block of entries, deflated unless it is small. */
export const entriesBlock = (number: number, entries: readonly Entry[]): Buffer => {
  const raw = pack(
    entries.map((entry) =>
      entry.value === undefined ? [entry.key, entry.revision] : [entry.key, entry.revision, entry.value],
    ),
  );
  return raw.length < MIN_DEFLATE_BYTES
    ? encodeBlock(number, BLOCK_KIND.entries, Buffer.from(raw))
    : encodeBlock(number, BLOCK_KIND.deflated, deflateRawSync(raw, { level: 1 }));
};
/**
 * Encodes the end block of a base. `revision` is the highest revision of the pages that the base was read from; the base is
 * consistent only together with a journal that is complete up to this revision.
 */
export const endBlock = (number: number, count: number, revision: number): Buffer =>
  encodeBlock(number, BLOCK_KIND.end, Buffer.from(JSON.stringify({ count, revision })));
/** Key of an entry that carries no data; its revision is the one up to which the journal is complete. */
export const REACHED_KEY = '';

/** The decoded content of a block. */
export type Block =
  | { readonly kind: 'head'; readonly head: FileHead }
  | { readonly kind: 'entries'; readonly entries: readonly Entry[] }
  | { readonly kind: 'end'; readonly count: number; readonly revision: number };

/** Why reading a file stopped before its end, with the block and its offset in bytes. */
export interface Flaw {
  /** `torn`: the file ends within a block. `damaged`: a complete block has a wrong checksum, number or content. */
  readonly kind: 'torn' | 'damaged';
  readonly block: number;
  readonly offset: number;
  readonly reason: string;
}

/** Thrown for a complete block whose content this version can't decode. */
class UnreadableBlock extends Error {
  override readonly name = 'UnreadableBlock';
}

/** Decodes a block's payload; throws if it is malformed. */
const decodeBlock = (kind: number, payload: Buffer): Block => {
  if (kind === BLOCK_KIND.head) {
    const head = JSON.parse(payload.toString('utf8')) as FileHead;
    if (head.version !== VERSION)
      throw new UnreadableBlock(`format version ${head.version}, expected ${VERSION}`);
    return { kind: 'head', head };
  }
  if (kind === BLOCK_KIND.end)
    return { kind: 'end', ...(JSON.parse(payload.toString('utf8')) as { count: number; revision: number }) };
  if (kind !== BLOCK_KIND.entries && kind !== BLOCK_KIND.deflated)
    throw new UnreadableBlock(`unknown block kind ${kind}`);
  const rows = unpack(kind === BLOCK_KIND.deflated ? inflateRawSync(payload) : payload) as [
    string,
    number,
    unknown?,
  ][];
  return {
    kind: 'entries',
    entries: rows.map((row) => ({
      key: row[0],
      revision: row[1],
      value: row.length > 2 ? row[2] : undefined,
    })),
  };
};

/** Yields the blocks of a file. If a block is flawed, yields the flaw and stops, so nothing after a flaw is read. */
export function* readBlocks(file: Buffer): Generator<Block | Flaw> {
  let offset = 0;
  for (let number = 0; offset < file.length; number++) {
    const flaw = (kind: Flaw['kind'], reason: string): Flaw => ({ kind, block: number, offset, reason });
    if (file.length - offset < HEADER_BYTES) return yield flaw('torn', 'the file ends within a block header');
    const length = file.readUInt32LE(offset);
    if (length > MAX_PAYLOAD)
      return yield flaw('damaged', `payload length ${length} exceeds the maximum of ${MAX_PAYLOAD}`);
    const end = offset + HEADER_BYTES + length;
    if (end > file.length) return yield flaw('torn', 'the file ends within a block payload');
    if (crc32(file.subarray(offset + 8, end)) !== file.readUInt32LE(offset + 4))
      return yield flaw('damaged', 'wrong checksum');
    if (file.readUInt32LE(offset + 8) !== number)
      return yield flaw('damaged', 'block number out of sequence');
    try {
      yield decodeBlock(file.readUInt8(offset + 12), file.subarray(offset + HEADER_BYTES, end));
    } catch (failure) {
      return yield flaw('damaged', (failure as Error).message);
    }
    offset = end;
  }
}

/** Whether an item of `readBlocks` is a flaw. */
export const isFlaw = (item: Block | Flaw): item is Flaw => item.kind === 'torn' || item.kind === 'damaged';
