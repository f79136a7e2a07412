/** Overload: what is refused, in which order, for how long, and that it ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Micros, millis, seconds } from '@lilacvalve/base/micros';
import { turnGapMs } from '../src/reign/session.js';
import { Admission } from '../src/overload/admission.js';
import { admit } from '../src/overload/admit.js';
import { limitsOf, type Load, WORK } from '../src/overload/model.js';

const limits = limitsOf(1000);
const idle = { poll: 0, submission: 0, order: 0, report: 0 };
const load = (over: Partial<Load>): Load => ({
  lag: 0 as Micros,
  inFlight: idle,
  writeWait: 0 as Micros,
  ...over,
});
const refused = (l: Load): string[] => WORK.filter((w) => admit(w, l, limits, 0.5) !== null);

test('a node that is behind sheds by value: never a report before an order, nor a submission before a poll', () => {
  const seen = new Set<number>();
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 6_000_000 }), (lag) => {
      const out = refused(load({ lag: lag as Micros }));
      assert.deepEqual(out, WORK.slice(0, out.length));
      seen.add(out.length);
    }),
    { numRuns: 500, seed: 1 },
  );
  assert.deepEqual([...seen].sort(), [0, 1, 2, 3, 4], 'every step was met');
});

test('changes that would wait too long for their part of the rate are refused, polls are not', () => {
  assert.deepEqual(refused(load({ writeWait: seconds(2) })), ['submission']);
  assert.deepEqual(refused(load({ writeWait: seconds(1.9) })), []);
});

test('the refused are told to come back within 30 s, spread over more time the more there is to do', () => {
  const told = (lag: Micros): number[] =>
    Array.from({ length: 1000 }, (_, i) => admit('poll', load({ lag }), limits, i / 1000)!);
  const soon = told(seconds(1));
  const late = told(seconds(4));
  assert.deepEqual([Math.min(...soon), Math.max(...soon)], [1, 4]);
  assert.deepEqual([Math.min(...late), Math.max(...late)], [1, 13]);
  for (let s = 1; s <= 13; s++) {
    const n = late.filter((x) => x === s).length;
    assert.ok(n > 50 && n < 110, `${n} of 1000 told ${s} s`);
  }
  assert.equal(Math.max(...told(seconds(600))), 30);
});

test('taken work is bounded whatever comes, and a node that has caught up takes everything again', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          work: fc.constantFrom(...WORK),
          leaves: fc.boolean(),
          passes: fc.integer({ min: 0, max: 3_000_000 }),
        }),
        { minLength: 200, maxLength: 400 },
      ),
      (steps) => {
        let now = 0 as Micros;
        const small = 20;
        const a = new Admission(
          small,
          () => now,
          () => 0 as Micros,
        );
        const held = { ...idle };
        a.sleeps(millis(500));
        for (const s of steps) {
          now = (now + (s.passes > 2_500_000 ? s.passes : 0)) as Micros;
          if (s.leaves && held[s.work] > 0) {
            held[s.work]--;
            a.leave(s.work);
          } else if (a.enter(s.work) === null) held[s.work]++;
          for (const w of WORK) assert.ok(held[w] <= limitsOf(small).inFlight[w], w);
          assert.deepEqual(a.load().inFlight, held);
        }
        for (const w of WORK) while (held[w]-- > 0) a.leave(w);
        a.woke();
        a.sleeps(millis(500));
        now = (now + 500_000) as Micros;
        a.woke();
        for (const w of WORK) assert.equal(a.enter(w), null, `${w} is taken again`);
      },
    ),
    { numRuns: 60, seed: 2 },
  );
});

test('a pulse that is overdue tells of the lag before it wakes', () => {
  let now = 0 as Micros;
  const a = new Admission(
    1000,
    () => now,
    () => 0 as Micros,
  );
  a.sleeps(millis(500));
  now = seconds(2.2);
  assert.equal(a.lag(), 1_700_000);
  const answer = a.enter('submission')!;
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers!['Retry-After']) >= 1);
  assert.equal(a.enter('report'), null);
});

test('turns leave the node its time: further apart on many machines and when they take long, to a bound', () => {
  assert.equal(turnGapMs(50, 2), 250);
  assert.equal(turnGapMs(600, 15), 360);
  assert.equal(turnGapMs(5000, 60), 800);
  assert.equal(turnGapMs(600, 400), 1200);
});
