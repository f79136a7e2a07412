/** A term has at most one session, and thus one worker registry. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect, Fiber } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { JobState } from '../src/jobs/job-state.js';
import { type LeaderSessionDependencies, LeaderSessions } from '../src/leadership/leader-session.js';
import type { LeadershipTerm } from '../src/leadership/leadership.js';
import { worldSettings } from './support/settings.js';

test('a session that fails ends its term, so that no other session begins in the same term', async () => {
  const stepDownReasons: string[] = [];
  let leaderTerm: LeadershipTerm | null = {
    number: 3,
    revision: 1,
    began: 0 as Micros,
  };
  const leadership = {
    currentTerm: () => leaderTerm,
    isCurrent: () => leaderTerm !== null,
    awaitTerm: Effect.never,
    stepDown: (reason: string) =>
      Effect.sync(() => {
        stepDownReasons.push(reason);
        leaderTerm = null;
      }),
  };
  const peers = {
    lastProvisioning: () => {
      throw new Error('injected failure of the session');
    },
  };
  const dependencies = {
    settings: worldSettings('n0'),
    jobState: new JobState(),
    clock: () => 0 as Micros,
    peers,
    leadership,
  };
  const sessions = new LeaderSessions(dependencies as unknown as LeaderSessionDependencies);
  const fiber = Effect.runFork(sessions.run);
  await new Promise((resolve) => setTimeout(resolve, 400));
  await Effect.runPromise(Fiber.interrupt(fiber));
  assert.deepEqual([stepDownReasons, sessions.heartbeatService], [['session failed'], null]);
});
