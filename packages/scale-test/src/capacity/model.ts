/** The two files that the capacity table is made from: the size to come, and what was measured. */
import { readFileSync } from 'node:fs';
import { Data } from 'effect';
import { parse } from 'smol-toml';

/** Figures of the size file by name, those of `[assumed]` included. */
export type Size = ReadonlyMap<string, number>;

/** What was measured: by which command, and from which points. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly command: string;
  readonly points: string;
}

/** One of the two files can't be used. */
export class InvalidCapacityInput extends Data.TaggedError('InvalidCapacityInput')<{
  readonly file: 'size' | 'slopes';
  readonly fault: string;
}> {
  override get message(): string {
    return `${this.file}: ${this.fault}`;
  }
}

/** What the table is worked out from. */
export interface CapacityInput {
  /** Throws `InvalidCapacityInput` where the size file has no such figure. */
  readonly size: (name: string) => number;
  /** Throws `InvalidCapacityInput` where nothing of that name was measured. */
  readonly slope: (name: string) => number;
  readonly slopes: readonly Slope[];
}

const isSlope = (value: unknown): value is Slope => {
  const slope = value as Partial<Slope> | null;
  return (
    typeof slope === 'object' &&
    slope !== null &&
    typeof slope.value === 'number' &&
    [slope.name, slope.unit, slope.command, slope.points].every(
      (text) => typeof text === 'string' && text !== '',
    )
  );
};

const lookUp =
  (file: 'size' | 'slopes', figures: ReadonlyMap<string, number>) =>
  (name: string): number => {
    const value = figures.get(name);
    if (value === undefined) throw new InvalidCapacityInput({ file, fault: `no ${name}` });
    return value;
  };

/** From the texts of both files. Throws `InvalidCapacityInput`, or the TOML parser's error. */
export const capacityInput = (sizeText: string, slopesText: string): CapacityInput => {
  const { assumed, ...asked } = parse(sizeText) as Record<string, unknown>;
  const size = new Map<string, number>();
  for (const [name, value] of Object.entries({ ...asked, ...(assumed as object) })) {
    if (typeof value !== 'number')
      throw new InvalidCapacityInput({ file: 'size', fault: `${name} is not a number` });
    size.set(name, value);
  }
  const { slope: slopes } = parse(slopesText) as { slope?: unknown };
  if (!Array.isArray(slopes) || !slopes.every(isSlope))
    throw new InvalidCapacityInput({ file: 'slopes', fault: 'a slope lacks a field' });
  return {
    size: lookUp('size', size),
    slope: lookUp('slopes', new Map(slopes.map((s) => [s.name, s.value]))),
    slopes,
  };
};

/** From both files. Throws as `capacityInput` does, and where a file can't be read. */
export const readCapacityInput = (sizeFile: string, slopesFile: string): CapacityInput =>
  capacityInput(readFileSync(sizeFile, 'utf8'), readFileSync(slopesFile, 'utf8'));
