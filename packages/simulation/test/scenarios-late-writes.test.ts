/** Late commits of writes that belong to no job and no log entry: campaigns, hints, calendars, the first incarnation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeHead } from '@lilacvalve/controller/calendar/codec';
import { publishCalendar, type CalendarStore } from '@lilacvalve/controller/calendar/publish';
import { CALENDAR_HEAD, CALENDAR_PAGE, FOUNDED, INCARNATION } from '@lilacvalve/controller/jobs/keys';
import type { Outcome, StateFailure } from '@lilacvalve/controller/state-store/client';
import { Effect, Exit } from 'effect';
import { testCalendar } from '../src/world/cutoffs.js';
import { World } from '../src/world/world.js';
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'campaigns and hints are committed late',
    { lateWrites: true, handover: true },
    ['late campaign', 'late hint'],
  ],
]);

test('late creation of the first incarnation by several controllers leaves one incarnation and no suspected data loss', () => {
  let lateWrites = 0;
  for (const seed of [1, 2, 3, 4]) {
    const world = new World(seed, {});
    world.state.lateFraction = 0.7;
    world.state.onLate = (key) => () => {
      if (key === FOUNDED && world.state.keys.has(FOUNDED)) lateWrites++;
    };
    world.time.run(30e6);
    world.state.lateFraction = 0;
    world.time.run(50e6);
    const incarnations = [...world.state.keys.keys()].filter((key) => key.startsWith(INCARNATION));
    assert.equal(incarnations.length, 1, `seed ${seed}: ${incarnations.join()}`);
    assert.ok(world.leader() !== undefined);
    for (const { name, controller } of world.up()) assert.equal(controller.unreadyReason(), null, name);
    for (const { controller } of world.up()) assert.equal(controller.lossDetector.suspected, false);
    world.stop();
  }
  assert.ok(lateWrites > 0, 'no creation was committed after another one');
});

test('repeated transactions of older calendar publications do not replace the newest calendar', () => {
  const world = new World(5, {});
  world.time.run(15e6);
  const port = world.state.port('operator');
  const sentTransactions: (() => Effect.Effect<Outcome, StateFailure>)[] = [];
  const recordingStore: CalendarStore = {
    get: (key) => port.get(key),
    page: (...args) => port.page(...args),
    transact: (...args) => {
      sentTransactions.push(() => port.transact(...args));
      return port.transact(...args);
    },
  };
  const run = <A>(effect: Effect.Effect<A, StateFailure>): A => {
    let out: { readonly value: A } | null = null;
    world.time.fork(effect).addObserver((exit) => {
      if (Exit.isSuccess(exit)) out = { value: exit.value };
    });
    for (let i = 0; i < 600 && out === null; i++) world.time.run(world.time.now + 10_000);
    assert.ok(out, 'no response');
    return (out as { readonly value: A }).value;
  };
  for (const version of [1, 2, 3]) {
    const published = run(
      publishCalendar(
        recordingStore,
        { valueBytes: 1500, txnOps: 10 },
        testCalendar(version, world.time.now),
      ),
    );
    assert.ok(published.ok, JSON.stringify(published));
  }
  const storedHead = (): string => world.state.keys.get(CALENDAR_HEAD)!.value;
  const before = storedHead();
  const { pages } = decodeHead(JSON.parse(before));
  const storedPages = (): string[] =>
    [...world.state.keys.keys()].filter((key) => key.startsWith(CALENDAR_PAGE));
  assert.ok(sentTransactions.length > 8, `${sentTransactions.length}`);
  let committed = 0;
  // In the order in which they were sent, and in reverse order.
  for (const list of [sentTransactions, [...sentTransactions].reverse()])
    for (const resend of [...list]) if (run(Effect.either(resend()))._tag === 'Right') committed++;
  assert.equal(committed, sentTransactions.length * 2);
  world.time.run(world.time.now + 3e6);
  assert.equal(storedHead(), before);
  assert.deepEqual(
    pages.filter((page) => !storedPages().includes(page)),
    [],
  );
  for (const { name, controller } of world.up())
    assert.equal(controller.jobState.calendars.current?.version, 3, name);
  world.stop();
});
