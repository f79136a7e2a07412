/** What the rest of the service needs of the state service; tests put a stand-in here. */
import type { StateStore } from './client.js';

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
