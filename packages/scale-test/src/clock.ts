/** Returns the current time in milliseconds since the epoch, comparable between all processes of one machine. */
export const nowMs = (): number => performance.timeOrigin + performance.now();

/** Resolves after `ms` milliseconds and cannot be interrupted. */
export const sleepMs = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
