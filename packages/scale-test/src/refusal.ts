/** What a scale run may take of the machine, and which flags it refuses. */
import type { RunOptions } from './run-model.js';

/** Under half of the memory of the machines that this is meant for, and a few hundred processes. */
export const MOST_MEMORY_MB = 12_000;
/** See `MOST_MEMORY_MB`. */
export const MOST_PROCESSES = 300;
/** Each hollow worker has a connection and an address of its own. */
const FILES_PER_WORKER = 2;
const FILES_BESIDE = 100;
/** The state service, and the run itself. */
const OTHER_PROCESSES = 2;

type Asked = Pick<
  RunOptions,
  'machines' | 'workersPerProcess' | 'controllers' | 'gangs' | 'urgent' | 'accelerated'
>;

/** What is wrong with the flags, or with the machine for them; null: nothing. `openFiles`: how many a process may open. */
export const flagsFault = (asked: Asked, openFiles: number): string | null => {
  if (asked.gangs + asked.urgent + asked.accelerated > 1)
    return '--gangs, --urgent and --accelerated are over 1 together';
  const workers = Math.min(asked.machines, asked.workersPerProcess);
  const files = workers * FILES_PER_WORKER + FILES_BESIDE;
  if (files > openFiles)
    return (
      `${workers} workers in one process need ${files} sockets, and ${openFiles} may be open: ` +
      'lower --workers-per-process or raise the limit'
    );
  const processes = Math.ceil(asked.machines / asked.workersPerProcess) + asked.controllers + OTHER_PROCESSES;
  if (processes > MOST_PROCESSES) return `${processes} processes, at most ${MOST_PROCESSES}`;
  return null;
};
