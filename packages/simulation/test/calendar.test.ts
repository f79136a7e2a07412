/** A calendar applied to the stand-in of the state service: ended at every step, raced, lost, and folded alike by all. */
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

interface Stage {
  readonly time: Time;
  readonly state: StateService;
}
const stage = (seed: number): Stage => {
  const time = new Time(seed);
  const luck = new RandomSource(seed);
  const state = new StateService(time, luck, new Links(time, luck));
  const s = { time, state };
  state.keys.set(`${INCARNATION}one`, { value: '{"g":1,"by":"n0"}', revision: 1, lease: null });
  state.revision = 1;
  return s;
};
type Outcome = PublishResult | 'failed' | 'ended';
/** Runs it until it ends, or ends it after so long. */
const run = (s: Stage, c: Calendar, lasts = 60e6, who = 'a'): Outcome => {
  let result: Outcome = 'ended';
  const fiber = s.time.fork(publishCalendar(s.state.port(who), limits, c));
  fiber.addObserver((e) => (result = Exit.isSuccess(e) ? e.value : 'failed'));
  s.time.run(s.time.now + lasts);
  if (result === 'ended') fiber.unsafeInterruptAsFork(fiber.id());
  return result;
};
const view = (s: Stage): JobState => {
  const jobState = new JobState();
  jobState.load(
    [...s.state.keys].map(([key, v]) => ({
      key,
      value: JSON.parse(v.value) as unknown,
      revision: v.revision,
    })),
    s.state.revision,
  );
  return jobState;
};
const pagesIn = (s: Stage): number =>
  [...s.state.keys.keys()].filter((k) => k.startsWith(CALENDAR_PAGE)).length;

test('ended at every step, an apply leaves the calendar before or the new one, and the next one tidies up', () => {
  const whole = encodeCalendar(calendar(2, 7), 850).pages.length;
  assert.ok(whole >= 3, 'the test needs several pages');
  let before = 0;
  let after = 0;
  // Each step takes up to 16 ms there and back, some several hundred.
  for (let ms = 0; ms < 400; ms += 10) {
    const s = stage(1000 + ms);
    if (ms % 30 === 0) s.state.lossy = 0.05;
    run(s, calendar(1));
    if (view(s).calendars.current?.version !== 1) continue;
    run(s, calendar(2, 7), ms * 1000);
    // What was on its way may be carried out late: both are whole at any time.
    s.time.run(s.time.now + 70e6);
    const now = view(s).calendars.current!;
    assert.ok(now.version === 1 || now.version === 2);
    assert.deepEqual(now.occurrences, calendar(now.version, now.version === 2 ? 7 : 0).occurrences);
    if (now.version === 1) before++;
    else after++;
    s.state.lossy = 0;
    const again = run(s, calendar(3, 9));
    assert.ok(typeof again === 'object' && again.ok, JSON.stringify(again));
    assert.equal(view(s).calendars.current!.version, 3);
    assert.ok(pagesIn(s) <= 2 * whole, 'pages that no head names were deleted');
  }
  assert.ok(before > 2 && after > 2, `both outcomes are seen: ${before}, ${after}`);
});

test('of two who apply at once one wins, and the other says so; older versions and other contents are refused', () => {
  const wins = { a: 0, b: 0 };
  for (let seed = 1; seed <= 40; seed++) {
    const s = stage(seed);
    const results: Record<string, PublishResult | undefined> = {};
    for (const [who, c] of [
      ['a', calendar(5, 1)],
      ['b', calendar(seed % 2 === 0 ? 5 : 6, 2)],
    ] as const) {
      s.time.fork(publishCalendar(s.state.port(who), limits, c)).addObserver((e) => {
        if (Exit.isSuccess(e)) results[who] = e.value;
      });
    }
    s.time.run(s.time.now + 60e6);
    const { a, b } = results;
    assert.ok(a && b);
    // Version 6 may come after version 5; two of one version never both hold.
    const now = view(s).calendars.current!;
    const of = now.occurrences[0]!.at === calendar(1, 1).occurrences[0]!.at ? 'a' : 'b';
    assert.ok(results[of]!.ok, 'whoever holds was told so');
    wins[of]++;
    const other = of === 'a' ? b : a;
    if (seed % 2 === 0)
      assert.ok(!other.ok && /other content|at the same time|changed meanwhile/.test(other.reason));
    const older = run(s, calendar(4));
    assert.ok(typeof older === 'object' && !older.ok && /newer than 4/.test(older.reason));
    const same = run(s, now);
    assert.ok(typeof same === 'object' && same.ok && same.already, 'the same again is no change');
  }
  assert.ok(wins.a > 3 && wins.b > 3, JSON.stringify(wins));
});

test('every view at a revision has the same calendar, however it got there; a torn one is not used', () => {
  const s = stage(9);
  const watching = [new JobState(), new JobState(), new JobState()];
  let seen = 0;
  for (const c of watching) c.load([], s.state.revision);
  const follow = (): void => {
    for (const [i, c] of watching.entries()) {
      // One reads at every step, one now and then, one always anew.
      if (i === 1 && seen++ % 7 !== 0) continue;
      let found: { changes: readonly never[]; revision: number } | null = null;
      s.time.fork(s.state.port('w').follow('s/', c.revision, 0)).addObserver((e) => {
        if (Exit.isSuccess(e) && !e.value.tooOld) found = e.value as never;
      });
      s.time.run(s.time.now + 1e6);
      if (found)
        c.advance((found as { changes: readonly never[] }).changes, (found as { revision: number }).revision);
    }
  };
  for (let v = 1; v <= 6; v++) {
    if (v === 4) s.time.fork(publishRetirement(s.state.port('a'), limits, 4, seconds(5)));
    else run(s, calendar(v, v), v % 2 === 0 ? 25_000 : 60e6);
    follow();
    const fresh = view(s);
    for (const c of watching)
      if (c.revision === s.state.revision)
        assert.deepEqual(c.calendars.current, fresh.calendars.current, `version ${v}`);
  }
  assert.ok(watching[0]!.calendars.current!.version >= 5);
  // A page that can't be read, or is another's: the calendar before holds, and a fresh node has none.
  const page = [...s.state.keys.keys()].find(
    (k) => k.startsWith(CALENDAR_PAGE) && s.state.keys.get(CALENDAR_HEAD)!.value.includes(k),
  )!;
  s.state.keys.set(page, { ...s.state.keys.get(page)!, value: '[["noon",0,null,null,null,null]]' });
  assert.equal(view(s).calendars.current, null);
  assert.ok(!view(s).calendars.complete);
});
