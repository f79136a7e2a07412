/** Cutoff bindings and slack: properties of the pure functions, with seeded random calendars. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { makeCalendar } from '../src/calendar/model.js';
import { CUTOFF_RISK } from '../src/calendar/model.js';
import { addSamples, ratioQuantile } from '../src/calendar/class-durations.js';
import {
  cutoffRank,
  type SlackInputs,
  newCutoffRisk,
  maxConcurrentTasks,
  timeLeft,
} from '../src/calendar/slack.js';
import { bindToOccurrence } from '../src/calendar/cutoff-binding.js';
import { decodeJob, encodeJob } from '../src/jobs/codec.js';
import { decodeViewResponse, encodeViewResponse } from '../src/recovery/codec.js';
import { mergeVersions } from '../src/recovery/merge.js';
import { job } from './support/job.js';
import { RandomSource } from './support/random-source.js';

const ANY = { teams: null, classes: null, shapes: null, urgencies: null };
const randomCalendar = (random: RandomSource, version = 1, shift = 0) => {
  const cutoffs = Array.from({ length: 1 + random.int(4) }, (_, i) => ({
    name: `c${i}`,
    lead: seconds(random.int(4) * 50),
    match: {
      ...ANY,
      teams: random.chance(0.6) ? ['red'] : random.chance(0.5) ? ['blue'] : null,
      classes: random.chance(0.3) ? ['x'] : null,
      urgencies: random.chance(0.2) ? [3 as const] : null,
    },
  }));
  return makeCalendar(
    { version, until: seconds(1e5), notice: seconds(0), cutoffs },
    cutoffs.flatMap((c, cutoff) =>
      Array.from({ length: random.int(12) }, (_, i) => ({
        id: `${c.name}@${i}`,
        cutoff,
        at: seconds(shift + i * 100 + random.int(2) * 30),
      })),
    ),
  );
};

test('a job is bound to the earliest occurrence that leaves the lead time; at equal times to that of the first cutoff', () => {
  const random = new RandomSource(24);
  let boundCount = 0;
  for (let n = 0; n < 2000; n++) {
    const calendar = randomCalendar(random);
    const { spec } = job('job-1', {
      team: random.chance(0.5) ? 'red' : 'blue',
      submitted: seconds(random.int(1300)),
      urgency: random.chance(0.5) ? 3 : 1,
    });
    const eligible = calendar.occurrences.filter((o) => {
      const { lead, match } = calendar.cutoffs[o.cutoff]!;
      return (
        o.at - lead >= spec.submitted &&
        (match.teams?.includes(spec.team) ?? true) &&
        (match.classes?.includes(spec.jobClass) ?? true) &&
        (match.urgencies?.includes(spec.urgency as 3) ?? true)
      );
    });
    const expected = eligible.sort((a, b) => a.at - b.at || a.cutoff - b.cutoff)[0]?.id ?? null;
    assert.equal(bindToOccurrence(calendar, spec), expected);
    if (expected !== null) boundCount++;
  }
  assert.ok(boundCount > 500, `${boundCount} jobs were bound`);
  assert.equal(bindToOccurrence(null, job('job-1').spec), null);
});

test("the cutoff binding survives the stored form of a job and the merge of several controllers' versions", () => {
  const bound = { ...job('job-1', { cutoffBinding: 'c0@3', submitted: seconds(5) }), cutoffRisk: 2 };
  const decoded = decodeJob('job-1', JSON.parse(JSON.stringify(encodeJob(bound, 0))), 1);
  assert.equal(decoded.spec.cutoffBinding, 'c0@3');
  assert.equal(decoded.cutoffRisk, 2);
  assert.ok(
    !('k' in (encodeJob(job('job-2'), 0) as object)),
    'a job without a binding has no stored field for it',
  );
  // The job was submitted twice and bound by different calendars: the binding of the first accepted submission wins.
  const retried = job('job-1', { cutoffBinding: 'c1@9', submitted: seconds(9) as Micros });
  for (const versions of [
    [bound, retried],
    [retried, bound],
  ]) {
    const merged = mergeVersions(
      versions.map((version, i) => ({ generation: 1, revision: i, job: version })),
    );
    assert.equal(merged.spec.cutoffBinding, 'c0@3');
  }
});

test("a controller's pre-loss view, as sent to the rebuilding controller, contains its calendar and outcome counts", () => {
  const random = new RandomSource(3);
  const retired = makeCalendar({ version: 9, until: seconds(0), notice: seconds(0), cutoffs: [] }, []);
  for (const calendar of [
    null,
    retired,
    ...Array.from({ length: 50 }, (_, n) => randomCalendar(random, n + 1)),
  ]) {
    const counts = { done: random.int(9), risked: 1, missed: 0, cancelled: 2 };
    const remembered = { calendar, outcomeCounts: new Map([['c0@3', counts]]), classDurations: new Map() };
    const view = { headers: [], versions: [], finals: [], next: null, calendar: remembered };
    assert.deepEqual(decodeViewResponse(encodeViewResponse(view)), view);
  }
});

/** A calendar with one cutoff for all jobs, and one occurrence at `at` seconds. */
const calendarWith = (at: number) =>
  makeCalendar(
    {
      version: 1,
      until: seconds(1e5),
      notice: seconds(0),
      cutoffs: [{ name: 'c', lead: seconds(0), match: ANY }],
    },
    [{ id: 'c@1', cutoff: 0, at: seconds(at) }],
  );
const inputs: SlackInputs = {
  classDurations: new Map(),
  limit: () => ({ cpus: 0, gpus: 0 }),
  total: [1000, 0, 1000],
};
const boundJob = (id: string, over: Parameters<typeof job>[1] = {}) =>
  job(id, { cutoffBinding: 'c@1', estimate: seconds(100), ...over });

test('bound jobs rank by slack; jobs that cannot meet their cutoff rank behind them, and missed ones last', () => {
  const rank = (j: ReturnType<typeof job>, at: number, day: number) =>
    cutoffRank(j, calendarWith(at), seconds(day), () => inputs);
  const long = boundJob('job-1', { estimate: seconds(900) });
  const short = boundJob('job-2');
  assert.ok(
    rank(long, 1000, 0)! < rank(short, 1000, 0)!,
    'the job with less slack ranks first, although it has more work left',
  );
  assert.ok(
    rank(short, 1000, 0)! < rank(boundJob('job-3', { estimate: seconds(3000) }), 1000, 0)!,
    'a job that cannot meet its cutoff ranks behind',
  );
  assert.ok(
    rank(boundJob('job-3', { estimate: seconds(3000) }), 1000, 0)! < rank(short, 1000, 1001)!,
    'a job that has missed its cutoff ranks last',
  );
  // A pressing job ranks before jobs with a deadline of their own (their rank is the work left), one with much slack behind them.
  assert.ok(rank(short, 1000, 500)! < 0 && rank(short, 9000, 0)! > 1e14);
  assert.equal(rank(job('job-4'), 1000, 0), null);
  assert.equal(
    rank(boundJob('job-5', { cutoffBinding: 'gone@1' }), 1000, 0),
    null,
    'a job whose occurrence is no longer in the calendar is ranked by its own deadline',
  );
  // The earlier of the job's own deadline and its cutoff counts, until the deadline has passed.
  const own = boundJob('job-6', { deadline: seconds(300), submitted: seconds(0) });
  assert.ok(rank(own, 5000, 0)! < rank(short, 5000, 0)!);
  assert.ok(rank(own, 5000, 301)! === rank(short, 5000, 301)!);
  // Slack only decreases as time passes, and a job with more work never has more slack.
  const random = new RandomSource(7);
  for (let n = 0; n < 500; n++) {
    const at = 2000 + random.int(5000);
    const j = boundJob('job-7', { tasks: 1 + random.int(30), estimate: seconds(10 + random.int(300)) });
    const longer = boundJob('job-7', { tasks: j.spec.tasks, estimate: (j.spec.estimate + 1e6) as Micros });
    const left = (candidate: ReturnType<typeof job>, ratio = 1) => timeLeft(candidate, seconds(0), ratio, 4);
    assert.ok(left(longer) >= left(j) && left(j, 2) >= left(j) && timeLeft(j, seconds(0), 1, 8) <= left(j));
    const day = random.int(1500);
    const [a, b] = [rank(j, at, day)!, rank(j, at, day + 50)!];
    // The rank may increase between the bands of pressing, other and hopeless jobs, but never within a band.
    if (Math.abs(a - b) < 1e12) assert.ok(b <= a);
  }
});

test('a job is reported at risk once and missed once, again only after its occurrence is moved, with the cause of the delay', () => {
  const noCauses = () => ({ limited: false, lost: false });
  const newRisk = (j: ReturnType<typeof job>, at: number, day: number, causes = noCauses) =>
    newCutoffRisk(j, calendarWith(at), seconds(day), () => inputs, causes);
  const j = boundJob('job-1', { tasks: 2, cpus: 600 });
  assert.equal(newRisk(j, 1000, 0), null);
  // Two tasks of 600 CPUs run one after the other on 1,000 CPUs and take 200 s.
  assert.equal(newRisk(j, 1000, 801), CUTOFF_RISK.noRoom);
  assert.equal(
    newRisk(j, 1000, 801, () => ({ limited: true, lost: true })),
    CUTOFF_RISK.limit,
  );
  assert.equal(
    newRisk(j, 1000, 801, () => ({ limited: false, lost: true })),
    CUTOFF_RISK.lost,
  );
  assert.equal(
    newRisk({ ...j, cutoffRisk: CUTOFF_RISK.noRoom }, 1000, 900),
    null,
    'the risk is reported once',
  );
  assert.equal(
    newRisk({ ...j, cutoffRisk: CUTOFF_RISK.noRoom }, 1000, 1000),
    null,
    'the cutoff is not missed at its exact time',
  );
  assert.equal(newRisk({ ...j, cutoffRisk: CUTOFF_RISK.noRoom }, 1000, 1000.000001), CUTOFF_RISK.missed);
  assert.equal(
    newRisk({ ...j, cutoffRisk: CUTOFF_RISK.missed }, 1000, 2000),
    null,
    'the miss is reported once',
  );
  assert.equal(
    newRisk({ ...j, cutoffRisk: CUTOFF_RISK.missed }, 5000, 2000),
    CUTOFF_RISK.nothing,
    'the occurrence was moved: its states start again',
  );
  assert.equal(maxConcurrentTasks(j.spec, { cpus: 600, gpus: 0 }, null), 1);
});

test('class durations correct estimates after eight samples, follow changes, and are limited to 64 classes', () => {
  let durations = addSamples(new Map(), new Map([['x', [2, 2, 2, 2, 2, 2, 2]]]));
  assert.equal(ratioQuantile(durations, 'x', 0.75), 1, 'seven samples are too few');
  durations = addSamples(durations, new Map([['x', [2, 2, 2]]]));
  assert.equal(ratioQuantile(durations, 'x', 0.75), 2);
  for (let i = 0; i < 200; i++)
    durations = addSamples(
      durations,
      new Map([
        ['x', Array<number>(8).fill(0.5)],
        [`y${i}`, [1]],
      ]),
    );
  assert.equal(ratioQuantile(durations, 'x', 0.75), 0.5);
  assert.ok(durations.size <= 64 && durations.has('x'));
  const slowClass = {
    ...inputs,
    classDurations: addSamples(new Map(), new Map([['x', Array<number>(20).fill(3)]])),
  };
  const j = boundJob('job-1');
  assert.equal(
    newCutoffRisk(
      j,
      calendarWith(1000),
      seconds(750),
      () => inputs,
      () => ({ limited: false, lost: false }),
    ),
    null,
  );
  assert.equal(
    newCutoffRisk(
      j,
      calendarWith(1000),
      seconds(750),
      () => slowClass,
      () => ({ limited: false, lost: false }),
    ),
    CUTOFF_RISK.estimate,
  );
});
