/** A time or duration in whole microseconds. The type is branded, so that the compiler rejects values in other units. */
export type Micros = number & { readonly Micros: unique symbol };

/** Converts a number of microseconds, rounded. */
export const micros = (value: number): Micros => Math.round(value) as Micros;
/** Converts seconds. */
export const seconds = (value: number): Micros => Math.round(value * 1e6) as Micros;
/** Converts milliseconds. */
export const millis = (value: number): Micros => Math.round(value * 1e3) as Micros;
/** Adds a number of microseconds to a time or duration. */
export const plus = (time: Micros, duration: number): Micros => (time + duration) as Micros;
/** Converts microseconds to milliseconds, rounded up and at least 0. */
export const toMillis = (value: number): number => Math.max(0, Math.ceil(value / 1000));
/** Converts microseconds to seconds. */
export const toSeconds = (value: number): number => value / 1e6;

/** Reads the monotonic clock. Only I/O code calls it; code that makes decisions gets the time as an argument. */
export const monotonicNow = (): Micros => Math.round(performance.now() * 1000) as Micros;

/** Maximum drift between the monotonic clocks of two machines, as a fraction of the elapsed time. */
export const MAX_CLOCK_DRIFT = 0.0005;
