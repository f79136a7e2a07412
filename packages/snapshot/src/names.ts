/** File names: `000007.base`, `000007.journal`; a base that is not whole yet is `000007.base.part`. */
const NAME = /^(\d{6,})\.(base|journal)$/;

export const baseName = (n: number): string => `${String(n).padStart(6, '0')}.base`;
export const journalName = (n: number): string => `${String(n).padStart(6, '0')}.journal`;
export const PART = '.part';

/** A file of a snapshot, by its name. */
export interface SnapshotFile {
  readonly number: number;
  readonly kind: 'base' | 'journal';
  readonly name: string;
}
/** The snapshot files among `names`, in the order in which they were begun. */
export const parseNames = (names: readonly string[]): SnapshotFile[] =>
  names
    .flatMap((name) => {
      const m = NAME.exec(name);
      return m ? [{ number: Number(m[1]), kind: m[2] as SnapshotFile['kind'], name }] : [];
    })
    .sort((a, b) => a.number - b.number || (a.kind < b.kind ? -1 : 1));
