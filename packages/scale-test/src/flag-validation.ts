/** Resource limits of a scale run, and the validation of its flags against them. */
import type { RunOptions } from './run-model.js';

/** Maximum memory of a run: less than half of the memory of the machines that the test is meant for. */
export const MAX_MEMORY_MB = 12_000;
/** Maximum number of processes of a run. */
export const MAX_PROCESSES = 300;
/** Each hollow worker has one connection to a controller and one listening socket. */
const FILES_PER_WORKER = 2;
const OTHER_FILES = 100;
/** The state service and the main process of the run. */
const OTHER_PROCESSES = 2;

type SizeFlags = Pick<
  RunOptions,
  'machines' | 'workersPerProcess' | 'controllers' | 'gangs' | 'urgent' | 'accelerated'
>;

/**
 * Returns why the run cannot be made with these flags; null if it can. `openFileLimit`: open files allowed per process.
 */
export const validateFlags = (flags: SizeFlags, openFileLimit: number): string | null => {
  if (flags.gangs + flags.urgent + flags.accelerated > 1)
    return 'the sum of --gangs, --urgent and --accelerated is more than 1';
  const workers = Math.min(flags.machines, flags.workersPerProcess);
  const files = workers * FILES_PER_WORKER + OTHER_FILES;
  if (files > openFileLimit)
    return (
      `${workers} workers in one process need ${files} sockets, but only ${openFileLimit} may be open: ` +
      'lower --workers-per-process or raise the open-file limit'
    );
  const processes = Math.ceil(flags.machines / flags.workersPerProcess) + flags.controllers + OTHER_PROCESSES;
  if (processes > MAX_PROCESSES)
    return `the run needs ${processes} processes, at most ${MAX_PROCESSES} are allowed`;
  return null;
};
