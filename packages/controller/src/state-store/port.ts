/** What the rest of the controller needs of the state service; tests put in a stand-in. */
import type { StateStore } from './client.js';

/** The state service as the slices see it. */
export type StatePort = Pick<
  StateStore,
  | 'transact'
  | 'get'
  | 'page'
  | 'follow'
  | 'grant'
  | 'extend'
  | 'release'
  | 'leading'
  | 'writeWait'
  | 'lastServed'
  | 'lastRefused'
>;
