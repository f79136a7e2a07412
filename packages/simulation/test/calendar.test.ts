/**
 * Publishes calendars to the simulated state service: the operator is interrupted at every step, several operators
 * publish concurrently, writes are lost, and all views must read the same calendar.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Exit } from 'effect';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { encodeCalendar } from '@lilacvalve/controller/calendar/codec';
import { type Calendar, makeCalendar } from '@lilacvalve/controller/calendar/model';
import {
  publishCalendar,
  type PublishResult,
  publishRetirement,
} from '@lilacvalve/controller/calendar/publish';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { CALENDAR_HEAD, CALENDAR_PAGE, INCARNATION } from '@lilacvalve/controller/jobs/keys';
import { RandomSource } from '@lilacvalve/controller/support/random-source';
import { Links } from '../src/world/links.js';
import { StateService } from '../src/world/state-service/state-service.js';
import { Time } from '../src/world/time.js';

const limits = { valueBytes: 1000, txnOps: 10 };
const calendar = (version: number, shift = 0, days = 60): Calendar =>
  makeCalendar(
    {
      version,
      until: seconds(1e6),
      notice: seconds(0),
      cutoffs: [
        {
          name: 'noon',
          lead: seconds(60),
          match: { teams: ['red'], classes: null, shapes: null, urgencies: null },
        },
      ],
    },
    Array.from({ length: days }, (_, i) => ({
      id: `noon@2026-01-${String(i).padStart(3, '0')}`,
      cutoff: 0,
      at: seconds(1000 + i * 100 + shift) as Micros,
    })),
  );

/** A simulated state service on simulated time. */
interface Setup {
  readonly time: Time;
  readonly state: StateService;
}
const setUp = (seed: number): Setup => {
  const time = new Time(seed);
  const random = new RandomSource(seed);
  const state = new StateService(time, random, new Links(time, random));
  const setup = { time, state };
  state.keys.set(`${INCARNATION}one`, { value: '{"g":1,"by":"n0"}', revision: 1, lease: null });
  state.revision = 1;
  return setup;
};
type Outcome = PublishResult | 'failed' | 'interrupted';
/** Publishes a calendar; interrupts the publication after `durationUs` if it has not ended by then. */
const publish = (setup: Setup, published: Calendar, durationUs = 60e6, operator = 'a'): Outcome => {
  let result: Outcome = 'interrupted';
  const fiber = setup.time.fork(publishCalendar(setup.state.port(operator), limits, published));
  fiber.addObserver((exit) => (result = Exit.isSuccess(exit) ? exit.value : 'failed'));
  setup.time.run(setup.time.now + durationUs);
  if (result === 'interrupted') fiber.unsafeInterruptAsFork(fiber.id());
  return result;
};
/** Reads the whole store, as a controller that has just started. */
const readView = (setup: Setup): JobState => {
  const jobState = new JobState();
  jobState.load(
    [...setup.state.keys].map(([key, stored]) => ({
      key,
      value: JSON.parse(stored.value) as unknown,
      revision: stored.revision,
    })),
    setup.state.revision,
  );
  return jobState;
};
const storedPages = (setup: Setup): number =>
  [...setup.state.keys.keys()].filter((key) => key.startsWith(CALENDAR_PAGE)).length;

test('an interrupted publication leaves the old or the new calendar complete, and the next one deletes unused pages', () => {
  const pageCount = encodeCalendar(calendar(2, 7), 850).pages.length;
  assert.ok(pageCount >= 3, 'the calendar must take several pages');
  let oldKept = 0;
  let newInEffect = 0;
  // A step's round trip takes up to 16 ms, some take several hundred milliseconds.
  for (let interruptAtMs = 0; interruptAtMs < 400; interruptAtMs += 10) {
    const setup = setUp(1000 + interruptAtMs);
    if (interruptAtMs % 30 === 0) setup.state.lossyFraction = 0.05;
    publish(setup, calendar(1));
    if (readView(setup).calendars.current?.version !== 1) continue;
    publish(setup, calendar(2, 7), interruptAtMs * 1000);
    // Writes that were sent before the interruption may be carried out late. Either calendar must be complete at any
    // time.
    setup.time.run(setup.time.now + 70e6);
    const now = readView(setup).calendars.current!;
    assert.ok(now.version === 1 || now.version === 2);
    assert.deepEqual(now.occurrences, calendar(now.version, now.version === 2 ? 7 : 0).occurrences);
    if (now.version === 1) oldKept++;
    else newInEffect++;
    setup.state.lossyFraction = 0;
    const next = publish(setup, calendar(3, 9));
    assert.ok(typeof next === 'object' && next.ok, JSON.stringify(next));
    assert.equal(readView(setup).calendars.current!.version, 3);
    assert.ok(
      storedPages(setup) <= 2 * pageCount,
      'pages that the calendar head does not list must be deleted',
    );
  }
  assert.ok(
    oldKept > 2 && newInEffect > 2,
    `both outcomes must occur, but the old calendar stayed ${oldKept} times and the new one took effect ${newInEffect} times`,
  );
});

test('of two concurrent publications of one version only one succeeds; older versions and different content of one version are refused', () => {
  const wins = { a: 0, b: 0 };
  for (let seed = 1; seed <= 40; seed++) {
    const setup = setUp(seed);
    const results: Record<string, PublishResult | undefined> = {};
    for (const [operator, published] of [
      ['a', calendar(5, 1)],
      ['b', calendar(seed % 2 === 0 ? 5 : 6, 2)],
    ] as const) {
      setup.time.fork(publishCalendar(setup.state.port(operator), limits, published)).addObserver((exit) => {
        if (Exit.isSuccess(exit)) results[operator] = exit.value;
      });
    }
    setup.time.run(setup.time.now + 60e6);
    const { a, b } = results;
    assert.ok(a && b);
    // Version 6 may follow version 5, but two calendars of one version must not both take effect.
    const now = readView(setup).calendars.current!;
    const winner = now.occurrences[0]!.at === calendar(1, 1).occurrences[0]!.at ? 'a' : 'b';
    assert.ok(results[winner]!.ok, 'the operator whose calendar is in effect must get a success');
    wins[winner]++;
    const other = winner === 'a' ? b : a;
    if (seed % 2 === 0)
      assert.ok(!other.ok && /other content|at the same time|changed meanwhile/.test(other.reason));
    const older = publish(setup, calendar(4));
    assert.ok(typeof older === 'object' && !older.ok && /newer than 4/.test(older.reason));
    const same = publish(setup, now);
    assert.ok(
      typeof same === 'object' && same.ok && same.already,
      'publishing the current calendar again must be no change',
    );
  }
  assert.ok(wins.a > 3 && wins.b > 3, JSON.stringify(wins));
});

test('all views at a revision have the same calendar, however they read it; an incomplete calendar is not used', () => {
  const setup = setUp(9);
  const views = [new JobState(), new JobState(), new JobState()];
  let steps = 0;
  for (const watching of views) watching.load([], setup.state.revision);
  const follow = (): void => {
    for (const [i, watching] of views.entries()) {
      // Views 0 and 2 read the changes at every step, view 1 only at every seventh.
      if (i === 1 && steps++ % 7 !== 0) continue;
      let batch: { changes: readonly never[]; revision: number } | null = null;
      setup.time.fork(setup.state.port('w').follow('s/', watching.revision, 0)).addObserver((exit) => {
        if (Exit.isSuccess(exit) && !exit.value.tooOld) batch = exit.value as never;
      });
      setup.time.run(setup.time.now + 1e6);
      if (batch)
        watching.advance(
          (batch as { changes: readonly never[] }).changes,
          (batch as { revision: number }).revision,
        );
    }
  };
  for (let version = 1; version <= 6; version++) {
    if (version === 4) setup.time.fork(publishRetirement(setup.state.port('a'), limits, 4, seconds(5)));
    else publish(setup, calendar(version, version), version % 2 === 0 ? 25_000 : 60e6);
    follow();
    const fresh = readView(setup);
    for (const watching of views)
      if (watching.revision === setup.state.revision)
        assert.deepEqual(watching.calendars.current, fresh.calendars.current, `version ${version}`);
  }
  assert.ok(views[0]!.calendars.current!.version >= 5);
  // If a page is invalid or belongs to another calendar, the previous calendar stays in effect, and a controller that
  // reads the store anew has none.
  const page = [...setup.state.keys.keys()].find(
    (key) => key.startsWith(CALENDAR_PAGE) && setup.state.keys.get(CALENDAR_HEAD)!.value.includes(key),
  )!;
  setup.state.keys.set(page, { ...setup.state.keys.get(page)!, value: '[["noon",0,null,null,null,null]]' });
  assert.equal(readView(setup).calendars.current, null);
  assert.ok(!readView(setup).calendars.complete);
});
