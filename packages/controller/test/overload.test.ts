/** Overload: which work is refused, in which order, for how long, and that refusals end. */
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
import { RandomSource } from './support/random-source.js';

const limits = limitsOf(1000);
const idle = { poll: 0, submission: 0, order: 0, report: 0 };
const loadWith = (overrides: Partial<Load>): Load => ({
  lag: 0 as Micros,
  inFlight: idle,
  writeWait: 0 as Micros,
  slotPolls: 0,
  memory: 0,
  ...overrides,
});
const refusedClasses = (load: Load): string[] =>
  WORK_CLASSES.filter((workClass) => admit(workClass, load, limits, 0.5) !== null);

test('a lagging controller refuses polls first, then submissions, then orders, then reports', () => {
  const refusedCounts = new Set<number>();
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 6_000_000 }), (lag) => {
      const refused = refusedClasses(loadWith({ lag: lag as Micros }));
      assert.deepEqual(refused, WORK_CLASSES.slice(0, refused.length));
      refusedCounts.add(refused.length);
    }),
    { numRuns: 500, seed: 1 },
  );
  assert.deepEqual([...refusedCounts].sort(), [0, 1, 2, 3, 4], 'each number of refused classes occurs');
});

test('submissions that would wait too long for the write rate are refused, polls are not', () => {
  assert.deepEqual(refusedClasses(loadWith({ writeWait: seconds(2) })), ['submission']);
  assert.deepEqual(refusedClasses(loadWith({ writeWait: seconds(1.9) })), []);
});

// Regression: on a simulated day of a whole region with injected faults, the leader ran out of heap memory and
// exited, losing its uncommitted state.
test('a controller short of memory refuses new jobs, then starts no tasks, and serves everything else', () => {
  const MB = 1024 * 1024;
  const heap = { reserved: 100 * MB, used: 60 * MB, limit: 250 * MB, external: 10 * MB };
  assert.equal(memoryUsageRatio(heap, 340), 0.5);
  assert.equal(memoryUsageRatio({ ...heap, used: 200 * MB }, 340), 0.8, 'close to the maximum heap size');
  let usage = 0.89;
  const admission = new Admission(
    1000,
    () => 0 as Micros,
    () => 0 as Micros,
    1,
    undefined,
    () => usage,
  );
  const statuses = (): (number | undefined)[] => [
    admission.enter('submission', null, true)?.status,
    admission.enter('submission')?.status,
    admission.enter('poll', 'job-1')?.status,
    admission.enter('report')?.status,
  ];
  for (const [nextUsage, submission, mayStart] of [
    [0.89, undefined, true],
    [0.9, 503, true],
    [0.95, 503, false],
    [0.3, undefined, true],
  ] as const) {
    usage = nextUsage;
    admission.sampleMemory();
    assert.deepEqual(statuses(), [submission, undefined, undefined, undefined]);
    assert.equal(admission.mayStart, mayStart);
  }
});

test('refused clients retry within 30 s, spread over a time that grows with the backlog', () => {
  const retryDelays = (lag: Micros): number[] =>
    Array.from({ length: 1000 }, (_, index) => admit('poll', loadWith({ lag }), limits, index / 1000)!);
  const shortBacklog = retryDelays(seconds(1));
  const longBacklog = retryDelays(seconds(4));
  assert.deepEqual([Math.min(...shortBacklog), Math.max(...shortBacklog)], [1, 4]);
  assert.deepEqual([Math.min(...longBacklog), Math.max(...longBacklog)], [1, 13]);
  for (let delay = 1; delay <= 13; delay++) {
    const count = longBacklog.filter((value) => value === delay).length;
    assert.ok(count > 50 && count < 110, `${count} of 1000 clients got a delay of ${delay} s`);
  }
  assert.equal(Math.max(...retryDelays(seconds(600))), 30);
});

test('admitted work is bounded under any load, and a controller without lag admits all work again', () => {
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
        const maxConnections = 20;
        const admission = new Admission(
          maxConnections,
          () => now,
          () => 0 as Micros,
        );
        const held = { ...idle };
        admission.timerArmed(millis(500));
        for (const step of steps) {
          now = (now + (step.passes > 2_500_000 ? step.passes : 0)) as Micros;
          if (step.leaves && held[step.work] > 0) {
            held[step.work]--;
            admission.leave(step.work);
          } else if (admission.enter(step.work) === null) held[step.work]++;
          for (const workClass of WORK_CLASSES)
            assert.ok(held[workClass] <= limitsOf(maxConnections).inFlight[workClass], workClass);
          assert.deepEqual(admission.load().inFlight, held);
        }
        for (const workClass of WORK_CLASSES) while (held[workClass]-- > 0) admission.leave(workClass);
        admission.timerFired();
        admission.timerArmed(millis(500));
        now = (now + 500_000) as Micros;
        admission.timerFired();
        for (const workClass of WORK_CLASSES)
          assert.equal(admission.enter(workClass), null, `${workClass} is admitted again`);
      },
    ),
    { numRuns: 60, seed: 2 },
  );
});

test('an overdue lag timer shows the lag before it fires', () => {
  let now = 0 as Micros;
  const admission = new Admission(
    1000,
    () => now,
    () => 0 as Micros,
  );
  admission.timerArmed(millis(500));
  now = seconds(2.2);
  assert.equal(admission.lag(), 1_700_000);
  const response = admission.enter('submission')!;
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers!['Retry-After']) >= 1);
  assert.equal(admission.enter('report'), null);
});

test('the gap between scheduling cycles grows with the machines and the cycle time, up to a maximum', () => {
  assert.equal(cycleGapMs(50, 2), 250);
  assert.equal(cycleGapMs(600, 15), 360);
  assert.equal(cycleGapMs(5000, 60), 800);
  assert.equal(cycleGapMs(600, 400), 1200);
});

/**
 * Simulates controllers that lag all the time, with slightly different clocks, and users who poll each job about
 * every `pollIntervalUs` on random controllers. Returns the longest time that a job's polls went unserved, and the
 * maximum number of polls that one controller admitted in a second.
 */
const simulateConstantLag = (
  seed: number,
  jobs: number,
  pollIntervalUs: number,
): { longestWait: number; maxPerSecond: number } => {
  const random = new RandomSource(seed);
  const clockSkews = [0, 5000, -5000];
  let now = 0;
  const startTime = 1e15 + random.between(0, 1e9);
  const controllers = clockSkews.map((skew) => {
    const admission = new Admission(
      1945,
      () => now as Micros,
      () => 0 as Micros,
      0.25,
      () => Math.round(startTime + now + skew) as Micros,
    );
    admission.timerArmed(0 as Micros);
    return admission;
  });
  now = 1e6;
  const nextPollAt = Array.from({ length: jobs }, () => now + random.between(0, pollIntervalUs));
  const lastServedAt = nextPollAt.map(() => now);
  const servedPerSecond = controllers.map(() => new Map<number, number>());
  let longestWait = 0;
  for (; now < 130e6; now += 20_000) {
    for (let jobIndex = 0; jobIndex < jobs; jobIndex++) {
      if (nextPollAt[jobIndex]! > now) continue;
      const controllerIndex = random.int(controllers.length);
      const refusal = controllers[controllerIndex]!.enter(
        'poll',
        `job-${String(seed * 1000 + jobIndex).padStart(6, '0')}`,
      );
      nextPollAt[jobIndex] = now + pollIntervalUs * random.between(0.75, 1.25);
      if (refusal !== null) {
        assert.equal(refusal.status, 503);
        continue;
      }
      controllers[controllerIndex]!.leave('poll');
      lastServedAt[jobIndex] = now;
      const second = Math.floor(now / 1e6);
      servedPerSecond[controllerIndex]!.set(second, (servedPerSecond[controllerIndex]!.get(second) ?? 0) + 1);
    }
    for (const servedAt of lastServedAt) longestWait = Math.max(longestWait, now - servedAt);
  }
  return {
    longestWait,
    maxPerSecond: Math.max(...servedPerSecond.flatMap((counts) => [...counts.values()])),
  };
};

test('while all controllers lag, polls of each job are served within the stated bound', () => {
  for (let seed = 1; seed <= 6; seed++) {
    const normal = simulateConstantLag(seed, 120, 5e6);
    assert.ok(normal.longestWait <= 30e6, `${normal.longestWait} µs without a response`);
    // Jobs that are polled ten times as often, then more than ten times as many jobs.
    const frequent = simulateConstantLag(seed, 200, 0.5e6);
    assert.ok(
      frequent.longestWait <= 60e6,
      `${frequent.longestWait} µs without a response to frequent polls`,
    );
    const crowded = simulateConstantLag(seed, 1800, 5e6);
    assert.ok(
      crowded.longestWait <= 60e6,
      `${crowded.longestWait} µs without a response with many more jobs`,
    );
    const { perSecond } = limitsOf(1945, 0.25).slotPolls;
    // The controller's counted seconds are not aligned with those of the test.
    for (const result of [frequent, crowded])
      assert.ok(result.maxPerSecond <= 2 * perSecond, `${result.maxPerSecond} polls admitted in a second`);
  }
});

test('a refused poll is told to retry in the slot of its job, and is served then', () => {
  const random = new RandomSource(3);
  let now = 0;
  const admission = new Admission(
    1945,
    () => now as Micros,
    () => 0 as Micros,
  );
  admission.timerArmed(0 as Micros);
  let refusedCount = 0;
  for (let index = 0; index < 400; index++) {
    now = 100e6 + random.between(0, 1e9);
    const refusal = admission.enter('poll', `job-${index}`);
    if (refusal === null) continue;
    refusedCount++;
    const retryAfterS = Number(refusal.headers!['Retry-After']);
    assert.ok(
      retryAfterS >= 1 && retryAfterS * 1e6 <= SLOT_PERIOD.lagging * SLOT_DURATION,
      `Retry-After of ${retryAfterS} s`,
    );
    now += retryAfterS * 1e6;
    assert.equal(
      admission.enter('poll', `job-${index}`),
      null,
      `job-${index} refused again after ${retryAfterS} s`,
    );
  }
  assert.ok(
    refusedCount > 200 && refusedCount < 330,
    `expected 201 to 329 refused polls of 400, got ${refusedCount}`,
  );
});
