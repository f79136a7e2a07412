/** Time of the stand-ins: milliseconds since the epoch, the same for all processes of one machine. */
export const nowMs = (): number => performance.timeOrigin + performance.now();

/** Resolves after so many milliseconds; nothing interrupts it. */
export const sleepMs = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));
