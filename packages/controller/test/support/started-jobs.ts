/** Test support: jobs whose tasks were started one by one. */
import { micros } from '@lilacvalve/runtime/micros';
import { NO_USAGE } from '../../src/accounts/model.js';
import { encodeLogEntry } from '../../src/jobs/codec.js';
import { logEntryKey } from '../../src/jobs/keys.js';
import type { JobChange } from '../../src/jobs/model.js';
import type { Write } from '../../src/state-store/client.js';

/** The name of a class that takes three times as many bytes as characters. */
export const LONG_CLASS = '転写'.repeat(60);
export const machineName = (index: number): string => `vm-${String(index).padStart(6, '0')}`;
export const startOf = (attempt: number, machine: string, tasks: readonly number[]): JobChange => ({
  start: { attempt, on: new Map([[machine, tasks]]) },
});

/** Log entries that start the tasks of a job one by one, so that each has an attempt number and a start time of its own. */
export const startedOneByOne = (id: string, tasks: number, machines: number): Write[] =>
  Array.from({ length: tasks }, (_, task) => ({
    set: logEntryKey(task + 1),
    value: encodeLogEntry(new Map([[id, startOf(task + 1, machineName(task % machines), [task])]]), {
      at: micros(1e12 + 47_123 * task),
      calendar: 0,
      usage: NO_USAGE,
    }),
  }));
