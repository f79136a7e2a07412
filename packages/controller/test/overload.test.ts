/** Overload: what is refused, in which order, for how long, and that it ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import { cycleGapMs } from '../src/leadership/leader-session.js';
import { Admission } from '../src/overload/admission.js';
import { admit } from '../src/overload/admit.js';
import { memoryUsageRatio } from '../src/overload/memory.js';
import { limitsOf, type Load, WORK_CLASSES } from '../src/overload/model.js';
import { SLOT_PERIOD, SLOT_DURATION } from '../src/overload/poll-slots.js';
import { Luck } from './support/random-source.js';

const limits = limitsOf(1000);
const idle = { poll: 0, submission: 0, order: 0, report: 0 };
const load = (over: Partial<Load>): Load => ({
  lag: 0 as Micros,
  inFlight: idle,
  writeWait: 0 as Micros,
  slotPolls: 0,
  memory: 0,
  ...over,
});
const refused = (l: Load): string[] => WORK_CLASSES.filter((w) => admit(w, l, limits, 0.5) !== null);

test('a node that is behind sheds by value: never a report before an order, nor a submission before a poll', () => {
  const seen = new Set<number>();
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 6_000_000 }), (lag) => {
      const out = refused(load({ lag: lag as Micros }));
      assert.deepEqual(out, WORK_CLASSES.slice(0, out.length));
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

// On a day of a region's size with troubles the leader ran out of its heap and ended, with all that it knew.
test('a node short of memory takes no new jobs, then starts nothing, and goes on with all else', () => {
  const MB = 1024 * 1024;
  const heap = { reserved: 100 * MB, used: 60 * MB, limit: 250 * MB, external: 10 * MB };
  assert.equal(memoryUsageRatio(heap, 340), 0.5);
  assert.equal(memoryUsageRatio({ ...heap, used: 200 * MB }, 340), 0.8, 'its heap may grow no further');
  let part = 0.89;
  const node = new Admission(
    1000,
    () => 0 as Micros,
    () => 0 as Micros,
    1,
    undefined,
    () => part,
  );
  const taken = (): (number | undefined)[] => [
    node.enter('submission', null, true)?.status,
    node.enter('submission')?.status,
    node.enter('poll', 'job-1')?.status,
    node.enter('report')?.status,
  ];
  for (const [now, submission, starts] of [
    [0.89, undefined, true],
    [0.9, 503, true],
    [0.95, 503, false],
    [0.3, undefined, true],
  ] as const) {
    part = now;
    node.sampleMemory();
    assert.deepEqual(taken(), [submission, undefined, undefined, undefined]);
    assert.equal(node.mayStart, starts);
  }
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
          work: fc.constantFrom(...WORK_CLASSES),
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
        a.timerArmed(millis(500));
        for (const s of steps) {
          now = (now + (s.passes > 2_500_000 ? s.passes : 0)) as Micros;
          if (s.leaves && held[s.work] > 0) {
            held[s.work]--;
            a.leave(s.work);
          } else if (a.enter(s.work) === null) held[s.work]++;
          for (const w of WORK_CLASSES) assert.ok(held[w] <= limitsOf(small).inFlight[w], w);
          assert.deepEqual(a.load().inFlight, held);
        }
        for (const w of WORK_CLASSES) while (held[w]-- > 0) a.leave(w);
        a.timerFired();
        a.timerArmed(millis(500));
        now = (now + 500_000) as Micros;
        a.timerFired();
        for (const w of WORK_CLASSES) assert.equal(a.enter(w), null, `${w} is taken again`);
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
  a.timerArmed(millis(500));
  now = seconds(2.2);
  assert.equal(a.lag(), 1_700_000);
  const answer = a.enter('submission')!;
  assert.equal(answer.status, 503);
  assert.ok(Number(answer.headers!['Retry-After']) >= 1);
  assert.equal(a.enter('report'), null);
});

test('turns leave the node its time: further apart on many machines and when they take long, to a bound', () => {
  assert.equal(cycleGapMs(50, 2), 250);
  assert.equal(cycleGapMs(600, 15), 360);
  assert.equal(cycleGapMs(5000, 60), 800);
  assert.equal(cycleGapMs(600, 400), 1200);
});

/**
 * Nodes that are behind all the time and never catch up, whose times of day differ, and users who ask any of them about
 * every `everyUs`. The longest that one job went without an answer, and the most polls that one node took on in a second.
 */
const behindForGood = (seed: number, jobs: number, everyUs: number): { longest: number; most: number } => {
  const luck = new Luck(seed);
  const skew = [0, 5000, -5000];
  let now = 0;
  const from = 1e15 + luck.between(0, 1e9);
  const nodes = skew.map((s) => {
    const a = new Admission(
      1945,
      () => now as Micros,
      () => 0 as Micros,
      0.25,
      () => Math.round(from + now + s) as Micros,
    );
    a.timerArmed(0 as Micros);
    return a;
  });
  now = 1e6;
  const next = Array.from({ length: jobs }, () => now + luck.between(0, everyUs));
  const last = next.map(() => now);
  const answered = nodes.map(() => new Map<number, number>());
  let longest = 0;
  for (; now < 130e6; now += 20_000) {
    for (let j = 0; j < jobs; j++) {
      if (next[j]! > now) continue;
      const n = luck.int(nodes.length);
      const refusal = nodes[n]!.enter('poll', `job-${String(seed * 1000 + j).padStart(6, '0')}`);
      next[j] = now + everyUs * luck.between(0.75, 1.25);
      if (refusal !== null) {
        assert.equal(refusal.status, 503);
        continue;
      }
      nodes[n]!.leave('poll');
      last[j] = now;
      const second = Math.floor(now / 1e6);
      answered[n]!.set(second, (answered[n]!.get(second) ?? 0) + 1);
    }
    for (const at of last) longest = Math.max(longest, now - at);
  }
  return { longest, most: Math.max(...answered.flatMap((a) => [...a.values()])) };
};

test('with every node behind for good, each job has its turn within the stated bound', () => {
  for (let seed = 1; seed <= 6; seed++) {
    const usual = behindForGood(seed, 120, 5e6);
    assert.ok(usual.longest <= 30e6, `${usual.longest} µs without an answer`);
    // As many asked ten times as often, and ten times as many.
    const often = behindForGood(seed, 200, 0.5e6);
    assert.ok(often.longest <= 60e6, `${often.longest} µs in a storm`);
    const many = behindForGood(seed, 1800, 5e6);
    assert.ok(many.longest <= 60e6, `${many.longest} µs with many more jobs`);
    const { perSecond: aSecond } = limitsOf(1945, 0.25).slotPolls;
    // The counted second begins anywhere.
    for (const x of [often, many]) assert.ok(x.most <= 2 * aSecond, `${x.most} taken in a second`);
  }
});

test('a refused poll is told to come back in its own turn, and is answered then', () => {
  const luck = new Luck(3);
  let now = 0;
  const a = new Admission(
    1945,
    () => now as Micros,
    () => 0 as Micros,
  );
  a.timerArmed(0 as Micros);
  let refused = 0;
  for (let i = 0; i < 400; i++) {
    now = 100e6 + luck.between(0, 1e9);
    const first = a.enter('poll', `job-${i}`);
    if (first === null) continue;
    refused++;
    const s = Number(first.headers!['Retry-After']);
    assert.ok(s >= 1 && s * 1e6 <= SLOT_PERIOD.lagging * SLOT_DURATION, `${s} s`);
    now += s * 1e6;
    assert.equal(a.enter('poll', `job-${i}`), null, `${i} after ${s} s`);
  }
  assert.ok(refused > 200 && refused < 330, `${refused}`);
});
