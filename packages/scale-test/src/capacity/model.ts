/** The two files that the capacity table is made from: the size to come, and what was measured. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

/** Figures of the size file by name, those of `[assumed]` included. */
export type Size = ReadonlyMap<string, number>;

export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly command: string;
  readonly points: string;
}

export interface CapacityInput {
  /** Throws where the size file has no such figure. */
  readonly size: (name: string) => number;
  /** Throws where nothing of that name was measured. */
  readonly slope: (name: string) => number;
  readonly slopes: readonly Slope[];
}

const isSlope = (v: unknown): v is Slope => {
  const s = v as Partial<Slope> | null;
  return (
    typeof s === 'object' &&
    s !== null &&
    typeof s.value === 'number' &&
    [s.name, s.unit, s.command, s.points].every((text) => typeof text === 'string' && text !== '')
  );
};

const lookUp =
  (what: string, figures: ReadonlyMap<string, number>) =>
  (name: string): number => {
    const value = figures.get(name);
    if (value === undefined) throw new Error(`${what}: no ${name}`);
    return value;
  };

/** Throws with the file's name and the fault. */
export const capacityInput = (sizeText: string, slopesText: string): CapacityInput => {
  const { assumed, ...asked } = parse(sizeText) as Record<string, unknown>;
  const size = new Map<string, number>();
  for (const [name, value] of Object.entries({ ...asked, ...(assumed as object) })) {
    if (typeof value !== 'number') throw new Error(`size: ${name} is not a number`);
    size.set(name, value);
  }
  const { slope: slopes } = parse(slopesText) as { slope?: unknown };
  if (!Array.isArray(slopes) || !slopes.every(isSlope)) throw new Error('slopes: a slope lacks a field');
  return {
    size: lookUp('size', size),
    slope: lookUp('slopes', new Map(slopes.map((s) => [s.name, s.value]))),
    slopes,
  };
};

export const readCapacityInput = (sizeFile: string, slopesFile: string): CapacityInput =>
  capacityInput(readFileSync(sizeFile, 'utf8'), readFileSync(slopesFile, 'utf8'));
