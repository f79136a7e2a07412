/** Checked values of the commands' flags; each throws commander's error, which names the flag. */
import { InvalidArgumentError } from 'commander';

export const wholeNumber = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return value;
};

export const positive = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) throw new InvalidArgumentError('a number above 0');
  return value;
};

/** A part of a whole. */
export const share = (text: string): number => {
  const value = Number(text);
  if (!(value >= 0 && value <= 1)) throw new InvalidArgumentError('a number from 0 to 1');
  return value;
};
