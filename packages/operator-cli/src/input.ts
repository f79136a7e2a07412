/** Parses values of command-line flags. Each error message names the flag. */
import { Either } from 'effect';
import { InvalidInput } from './io.js';

const invalid = (message: string): Either.Either<never, InvalidInput> =>
  Either.left(new InvalidInput({ message }));

/** Parses an ISO 8601 time into microseconds since 1970. Returns `defaultTime` if the flag is absent. */
export const timeFlag = (
  flag: string,
  text: string | undefined,
  defaultTime: number,
): Either.Either<number, InvalidInput> => {
  if (text === undefined) return Either.right(defaultTime);
  const time = Date.parse(text) * 1000;
  return Number.isFinite(time)
    ? Either.right(time)
    : invalid(`${flag}: must be a time like 2027-01-06T10:00:00Z`);
};

/** Parses an integer that is at least `min`. `expected` describes the valid values in the error message. */
export const integerFlag = (
  flag: string,
  text: string,
  min: number,
  expected: string,
): Either.Either<number, InvalidInput> => {
  const value = Number(text);
  return Number.isSafeInteger(value) && value >= min
    ? Either.right(value)
    : invalid(`${flag}: must be ${expected}`);
};
