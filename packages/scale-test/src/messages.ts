/** What a run's processes say to each other, over Node's channel between a process and its children. */
import type { ControllerAddress, MachineKind, Timing, WorkerCommand, WorkerEvent } from './model.js';
import type { StateCounts, StateLimits } from './state-service.js';
import type { WorkerFigures } from './worker-figures.js';

/** A child that runs hollow workers. */
export interface WorkersSetup {
  readonly role: 'workers';
  readonly kinds: readonly MachineKind[];
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly seed: number;
}
/** A child that is the state service. */
export interface StateSetup {
  readonly role: 'state';
  readonly limits: StateLimits;
}
/** The first message to a child. */
export type ChildSetup = WorkersSetup | StateSetup;

/** From the run to a child. */
export type ToChild =
  | { readonly kind: 'setup'; readonly setup: ChildSetup }
  | { readonly kind: 'command'; readonly command: WorkerCommand }
  | { readonly kind: 'reset' }
  | { readonly kind: 'figures' }
  | { readonly kind: 'end' };

/** From a child to the run; `…-figures` answers `figures`, `ready` answers `setup`. */
export type FromChild =
  | { readonly kind: 'ready'; readonly address: string | null }
  | { readonly kind: 'events'; readonly events: readonly WorkerEvent[] }
  | { readonly kind: 'result-kept'; readonly job: string; readonly task: number }
  | { readonly kind: 'workers-figures'; readonly figures: WorkerFigures }
  | { readonly kind: 'state-figures'; readonly counts: StateCounts };

/** Set in the environment of a child: the program then serves its parent. */
export const CHILD_ENVIRONMENT_KEY = 'LILACVALVE_SCALE_CHILD';
