/** One term has one book. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect, Fiber } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { JobCache } from '../src/jobs/cache.js';
import { type SessionParts, Sessions } from '../src/reign/session.js';
import { worldSettings } from './support/settings.js';

test('a session that fails ends its reign: none begins again under the same term', async () => {
  const why: string[] = [];
  let reign: { term: number; stamp: number; began: Micros } | null = {
    term: 3,
    stamp: 1,
    began: 0 as Micros,
  };
  const leadership = {
    acting: () => reign,
    reigning: () => reign !== null,
    awaitReign: Effect.never,
    giveWay: (reason: string) =>
      Effect.sync(() => {
        why.push(reason);
        reign = null;
      }),
  };
  const peers = {
    lastNews: () => {
      throw new Error('not as expected');
    },
  };
  const parts = {
    settings: worldSettings('n0'),
    cache: new JobCache(),
    clock: () => 0 as Micros,
    peers,
    leadership,
  };
  const sessions = new Sessions(parts as unknown as SessionParts);
  const fiber = Effect.runFork(sessions.run);
  await new Promise((r) => setTimeout(r, 400));
  await Effect.runPromise(Fiber.interrupt(fiber));
  assert.deepEqual([why, sessions.desk], [['session failed'], null]);
});
