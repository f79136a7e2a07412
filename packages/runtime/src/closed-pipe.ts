/** What a command does when the reader of its output goes away, as `| head` does. */

/** Ends the process quietly, with status 0, once standard output can't be written any more; other errors are thrown. */
export const endOnClosedPipe = (): void => {
  process.stdout.on('error', (e: NodeJS.ErrnoException) => {
    if (e.code !== 'EPIPE') throw e;
    process.exit(0);
  });
};
