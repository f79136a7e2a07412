/** Amounts of CPUs, GPUs and GB of memory. */
export type ResourceAmounts = readonly [number, number, number];
/** Tolerance of comparisons between sums of amounts. */
export const EPSILON = 1e-6;
