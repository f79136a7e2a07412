/** Parsers for the values of command line flags. An invalid value throws commander's error, which names the flag. */
import { InvalidArgumentError } from 'commander';

/** Parses a whole number of at least 1. */
export const parsePositiveInteger = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return value;
};

/** Parses a finite number greater than 0. */
export const parsePositiveNumber = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('a number greater than 0');
  return value;
};

/** Parses a fraction between 0 and 1, both included. */
export const parseFraction = (text: string): number => {
  const value = Number(text);
  if (!(value >= 0 && value <= 1)) throw new InvalidArgumentError('a number from 0 to 1');
  return value;
};
