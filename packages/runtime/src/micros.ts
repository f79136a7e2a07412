/** Times are whole microseconds: a branded safe integer, so that seconds never slip in unnoticed. */
export type Micros = number & { readonly Micros: unique symbol };

export const micros = (n: number): Micros => Math.round(n) as Micros;
export const seconds = (s: number): Micros => Math.round(s * 1e6) as Micros;
export const millis = (ms: number): Micros => Math.round(ms * 1e3) as Micros;
export const plus = (a: Micros, b: number): Micros => (a + b) as Micros;
export const toMillis = (a: number): number => Math.max(0, Math.ceil(a / 1000));
export const toSeconds = (a: number): number => a / 1e6;

/** The steady clock. Only edges call it; decisions are given the time. */
export const now = (): Micros => Math.round(performance.now() * 1000) as Micros;

/** The steady clocks of two machines may drift apart by this fraction. */
export const DRIFT = 0.0005;
