/** What is neither a job's nor a record, carried out late: campaigns, hints, calendars, the store's first incarnation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeHead } from '@lilacvalve/controller/calendar/codec';
import { publishCalendar, type CalendarStore } from '@lilacvalve/controller/calendar/publish';
import { CALENDAR_HEAD, CALENDAR_PAGE, FOUNDED, INCARNATION } from '@lilacvalve/controller/jobs/keys';
import type { Outcome, StateFailure } from '@lilacvalve/controller/state-store/client';
import { Effect, Exit } from 'effect';
import { calendarOf } from '../src/world/cutoffs.js';
import { World } from '../src/world/world.js';
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'campaigns and hints carried out late',
    { lateWrites: true, handover: true },
    ['late campaign', 'late hint'],
  ],
]);

test('a store that several found late has one first incarnation, and nobody doubts it', () => {
  let late = 0;
  for (const seed of [1, 2, 3, 4]) {
    const w = new World(seed, {});
    w.state.lateShare = 0.7;
    w.state.onLate = (key) => () => {
      if (key === FOUNDED && w.state.keys.has(FOUNDED)) late++;
    };
    w.time.run(30e6);
    w.state.lateShare = 0;
    w.time.run(50e6);
    const born = [...w.state.keys.keys()].filter((k) => k.startsWith(INCARNATION));
    assert.equal(born.length, 1, `seed ${seed}: ${born.join()}`);
    assert.ok(w.leader() !== undefined);
    for (const { name, node } of w.up()) assert.equal(node.unreadyReason(), null, name);
    for (const { node } of w.up()) assert.equal(node.lossDetector.suspected, false);
    w.stop();
  }
  assert.ok(late > 0, 'none was carried out after another');
});

test('all that applying calendars ever wrote arrives again, and the newest one holds', () => {
  const w = new World(5, {});
  w.time.run(15e6);
  const port = w.state.port('operator');
  const sent: (() => Effect.Effect<Outcome, StateFailure>)[] = [];
  const noting: CalendarStore = {
    get: (k) => port.get(k),
    page: (...a) => port.page(...a),
    transact: (...a) => {
      sent.push(() => port.transact(...a));
      return port.transact(...a);
    },
  };
  const run = <A>(e: Effect.Effect<A, StateFailure>): A => {
    let out: { readonly value: A } | null = null;
    w.time.fork(e).addObserver((x) => {
      if (Exit.isSuccess(x)) out = { value: x.value };
    });
    for (let i = 0; i < 600 && out === null; i++) w.time.run(w.time.now + 10_000);
    assert.ok(out, 'no answer');
    return (out as { readonly value: A }).value;
  };
  for (const version of [1, 2, 3]) {
    const told = run(
      publishCalendar(noting, { valueBytes: 1500, txnOps: 10 }, calendarOf(version, w.time.now)),
    );
    assert.ok(told.ok, JSON.stringify(told));
  }
  const kept = (): string => w.state.keys.get(CALENDAR_HEAD)!.value;
  const before = kept();
  const { pages } = decodeHead(JSON.parse(before));
  const there = (): string[] => [...w.state.keys.keys()].filter((k) => k.startsWith(CALENDAR_PAGE));
  assert.ok(sent.length > 8, `${sent.length}`);
  let carried = 0;
  // In the order of their sending, and the other way.
  for (const list of [sent, [...sent].reverse()])
    for (const again of [...list]) if (run(Effect.either(again()))._tag === 'Right') carried++;
  assert.equal(carried, sent.length * 2);
  w.time.run(w.time.now + 3e6);
  assert.equal(kept(), before);
  assert.deepEqual(
    pages.filter((p) => !there().includes(p)),
    [],
  );
  for (const { name, node } of w.up()) assert.equal(node.jobState.calendars.current?.version, 3, name);
  w.stop();
});
