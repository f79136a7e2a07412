/** Messages between the run's main process and its child processes, sent over Node's IPC channel. */
import type { ControllerAddress, MachineKind, Timing, WorkerCommand, WorkerEvent } from './model.js';
import type { StateCounts, StateLimits } from './state-service.js';
import type { WorkerFigures } from './worker-figures.js';

/** Setup of a child process that runs hollow workers. */
export interface WorkersSetup {
  readonly role: 'workers';
  readonly kinds: readonly MachineKind[];
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly seed: number;
}
/** Setup of a child process that runs the state service. */
export interface StateSetup {
  readonly role: 'state';
  readonly limits: StateLimits;
}
/** Setup in the first message to a child process. */
export type ChildSetup = WorkersSetup | StateSetup;

/** A message from the main process to a child process. */
export type ToChild =
  | { readonly kind: 'setup'; readonly setup: ChildSetup }
  | { readonly kind: 'command'; readonly command: WorkerCommand }
  | { readonly kind: 'reset' }
  | { readonly kind: 'figures' }
  | { readonly kind: 'end' };

/** A message from a child process. `…-figures` is the response to `figures`, and `ready` the response to `setup`. */
export type FromChild =
  | { readonly kind: 'ready'; readonly address: string | null }
  | { readonly kind: 'events'; readonly events: readonly WorkerEvent[] }
  | { readonly kind: 'result-kept'; readonly job: string; readonly task: number }
  | { readonly kind: 'workers-figures'; readonly figures: WorkerFigures }
  | { readonly kind: 'state-figures'; readonly counts: StateCounts };

/** Environment variable of a child process: if it is set, the program serves its parent instead of running a test. */
export const CHILD_ENVIRONMENT_KEY = 'LILACVALVE_SCALE_CHILD';
