/** Reads the two input files of the capacity table: the planned size and the measured slopes. */
import { readFileSync } from 'node:fs';
import { Data } from 'effect';
import { parse } from 'smol-toml';

/** Figures of the size file by name, including those of its `[assumed]` table. */
export type Size = ReadonlyMap<string, number>;

/** A measured cost per unit of load, with the command and the measurement points that it was computed from. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly command: string;
  readonly points: string;
}

/** Thrown when one of the two input files is invalid. */
export class InvalidCapacityInput extends Data.TaggedError('InvalidCapacityInput')<{
  readonly file: 'size' | 'slopes';
  readonly problem: string;
}> {
  override get message(): string {
    return `${this.file}: ${this.problem}`;
  }
}

/** The input of the capacity table. */
export interface CapacityInput {
  /** Returns a figure of the size file. Throws `InvalidCapacityInput` if there is none of this name. */
  readonly size: (name: string) => number;
  /** Returns the value of a slope. Throws `InvalidCapacityInput` if there is none of this name. */
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

const createLookup =
  (file: 'size' | 'slopes', figures: ReadonlyMap<string, number>) =>
  (name: string): number => {
    const value = figures.get(name);
    if (value === undefined) throw new InvalidCapacityInput({ file, problem: `no value named ${name}` });
    return value;
  };

/** Parses the texts of both files. Throws `InvalidCapacityInput` or the error of the TOML parser. */
export const parseCapacityInput = (sizeText: string, slopesText: string): CapacityInput => {
  const { assumed, ...specified } = parse(sizeText) as Record<string, unknown>;
  const size = new Map<string, number>();
  for (const [name, value] of Object.entries({ ...specified, ...(assumed as object) })) {
    if (typeof value !== 'number')
      throw new InvalidCapacityInput({ file: 'size', problem: `${name} is not a number` });
    size.set(name, value);
  }
  const { slope: slopes } = parse(slopesText) as { slope?: unknown };
  if (!Array.isArray(slopes) || !slopes.every(isSlope))
    throw new InvalidCapacityInput({
      file: 'slopes',
      problem: 'expected name, value, unit, command and points in each [[slope]]; one lacks a field',
    });
  return {
    size: createLookup('size', size),
    slope: createLookup('slopes', new Map(slopes.map((slope) => [slope.name, slope.value]))),
    slopes,
  };
};

/** Reads and parses both files. Throws like `parseCapacityInput`, and if a file cannot be read. */
export const readCapacityInput = (sizeFile: string, slopesFile: string): CapacityInput =>
  parseCapacityInput(readFileSync(sizeFile, 'utf8'), readFileSync(slopesFile, 'utf8'));
