/** File names: `000007.base` and `000007.journal`; a base that is still being written is `000007.base.part`. */
const FILE_NAME = /^(\d{6,})\.(base|journal)$/;

/** Returns the name of the base file with this number. */
export const baseName = (number: number): string => `${String(number).padStart(6, '0')}.base`;
/** Returns the name of the journal file with this number. */
export const journalName = (number: number): string => `${String(number).padStart(6, '0')}.journal`;
/** Appended to the name of a base until it is complete. */
export const PARTIAL_SUFFIX = '.part';

/** A snapshot file, as its name describes it. */
export interface SnapshotFile {
  readonly number: number;
  readonly kind: 'base' | 'journal';
  readonly name: string;
}
/** Returns the snapshot files among `names`, in the order in which they were created. */
export const parseNames = (names: readonly string[]): SnapshotFile[] =>
  names
    .flatMap((name) => {
      const match = FILE_NAME.exec(name);
      return match ? [{ number: Number(match[1]), kind: match[2] as SnapshotFile['kind'], name }] : [];
    })
    .sort((a, b) => a.number - b.number || (a.kind < b.kind ? -1 : 1));
