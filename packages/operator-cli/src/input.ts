/** Values of flags that commands check themselves; the flag is named in the message. */
import { Either } from 'effect';
import { InvalidInput } from './io.js';

const invalid = (message: string): Either.Either<never, InvalidInput> =>
  Either.left(new InvalidInput({ message }));

/** An ISO 8601 time as microseconds; `otherwise` where the flag is absent. */
export const timeFlag = (
  flag: string,
  text: string | undefined,
  otherwise: number,
): Either.Either<number, InvalidInput> => {
  if (text === undefined) return Either.right(otherwise);
  const at = Date.parse(text) * 1000;
  return Number.isFinite(at)
    ? Either.right(at)
    : invalid(`${flag}: must be a time like 2027-01-06T10:00:00Z`);
};

/** A whole number from `least` on; otherwise `what` says what the flag takes. */
export const wholeFlag = (
  flag: string,
  text: string,
  least: number,
  what: string,
): Either.Either<number, InvalidInput> => {
  const value = Number(text);
  return Number.isSafeInteger(value) && value >= least ? Either.right(value) : invalid(`${flag}: ${what}`);
};
