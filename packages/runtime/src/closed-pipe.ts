/** Handling of a closed output pipe in commands, as in `command | head`. */

/** Exits with status 0 when standard output is closed by its reader; other errors of standard output are thrown. */
export const exitOnClosedPipe = (): void => {
  process.stdout.on('error', (failure: NodeJS.ErrnoException) => {
    if (failure.code !== 'EPIPE') throw failure;
    process.exit(0);
  });
};
