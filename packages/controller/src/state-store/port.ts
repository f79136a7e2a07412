/** The interface of the state service's client that the rest of the controller uses; tests replace it. */
import type { StateStore } from './client.js';

/** The members of `StateStore` that other folders use. */
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
