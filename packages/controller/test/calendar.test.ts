/** Ties and slack: pure properties, seeded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { makeCalendar } from '../src/calendar/model.js';
import { CUTOFF_RISK } from '../src/calendar/model.js';
import { addSamples, ratioQuantile } from '../src/calendar/class-durations.js';
import { cutoffRank, type SlackInputs, newCutoffRisk, maxConcurrentTasks, timeLeft } from '../src/calendar/slack.js';
import { tieOf } from '../src/calendar/tie.js';
import { decodeJob, encodeJob } from '../src/jobs/codec.js';
import { decodeViewResponse, encodeViewResponse } from '../src/recovery/codec.js';
import { mergeVersions } from '../src/recovery/merge.js';
import { job } from './support/job.js';
import { Luck } from './support/random-source.js';

const ANY = { teams: null, classes: null, shapes: null, urgencies: null };
const drawn = (luck: Luck, version = 1, shift = 0) => {
  const cutoffs = Array.from({ length: 1 + luck.int(4) }, (_, i) => ({
    name: `c${i}`,
    lead: seconds(luck.int(4) * 50),
    match: {
      ...ANY,
      teams: luck.chance(0.6) ? ['red'] : luck.chance(0.5) ? ['blue'] : null,
      classes: luck.chance(0.3) ? ['x'] : null,
      urgencies: luck.chance(0.2) ? [3 as const] : null,
    },
  }));
  return makeCalendar(
    { version, until: seconds(1e5), notice: seconds(0), cutoffs },
    cutoffs.flatMap((c, cutoff) =>
      Array.from({ length: luck.int(12) }, (_, i) => ({
        id: `${c.name}@${i}`,
        cutoff,
        at: seconds(shift + i * 100 + luck.int(2) * 30),
      })),
    ),
  );
};

test('a tie is the earliest occurrence that leaves the lead time, of the first cutoff at that instant', () => {
  const luck = new Luck(24);
  let tied = 0;
  for (let n = 0; n < 2000; n++) {
    const c = drawn(luck);
    const { spec } = job('job-1', {
      team: luck.chance(0.5) ? 'red' : 'blue',
      submitted: seconds(luck.int(1300)),
      urgency: luck.chance(0.5) ? 3 : 1,
    });
    const fits = c.occurrences.filter((o) => {
      const { lead, match } = c.cutoffs[o.cutoff]!;
      return (
        o.at - lead >= spec.submitted &&
        (match.teams?.includes(spec.team) ?? true) &&
        (match.classes?.includes(spec.jobClass) ?? true) &&
        (match.urgencies?.includes(spec.urgency as 3) ?? true)
      );
    });
    const first = fits.sort((a, b) => a.at - b.at || a.cutoff - b.cutoff)[0]?.id ?? null;
    assert.equal(tieOf(c, spec), first);
    if (first !== null) tied++;
  }
  assert.ok(tied > 500, `${tied} were tied`);
  assert.equal(tieOf(null, job('job-1').spec), null);
});

test('the tie is part of the job: through its key, and when what several remember is joined', () => {
  const tied = { ...job('job-1', { tie: 'c0@3', submitted: seconds(5) }), cutoffRisk: 2 };
  const back = decodeJob('job-1', JSON.parse(JSON.stringify(encodeJob(tied, 0))), 1);
  assert.equal(back.spec.tie, 'c0@3');
  assert.equal(back.cutoffRisk, 2);
  assert.ok(!('k' in (encodeJob(job('job-2'), 0) as object)), 'a job without a tie is stored as before');
  // A retry that another calendar tied elsewhere: the first that was accepted holds.
  const retried = job('job-1', { tie: 'c1@9', submitted: seconds(9) as Micros });
  for (const claims of [
    [tied, retried],
    [retried, tied],
  ]) {
    const joined = mergeVersions(claims.map((j, i) => ({ generation: 1, revision: i, job: j })));
    assert.equal(joined.spec.tie, 'c0@3');
  }
});

test('what a node remembers of the calendar reaches whoever rebuilds the store, with all else that it tells', () => {
  const luck = new Luck(3);
  const retired = makeCalendar({ version: 9, until: seconds(0), notice: seconds(0), cutoffs: [] }, []);
  for (const calendar of [null, retired, ...Array.from({ length: 50 }, (_, n) => drawn(luck, n + 1))]) {
    const tally = { done: luck.int(9), risked: 1, missed: 0, cancelled: 2 };
    const remembered = { calendar, tallies: new Map([['c0@3', tally]]), shown: new Map() };
    const told = { headers: [], versions: [], finals: [], next: null, calendar: remembered };
    assert.deepEqual(decodeViewResponse(encodeViewResponse(told)), told);
  }
});

const one = (at: number) =>
  makeCalendar(
    {
      version: 1,
      until: seconds(1e5),
      notice: seconds(0),
      cutoffs: [{ name: 'c', lead: seconds(0), match: ANY }],
    },
    [{ id: 'c@1', cutoff: 0, at: seconds(at) }],
  );
const pace: SlackInputs = { classDurations: new Map(), limit: () => ({ cpus: 0, gpus: 0 }), total: [1000, 0, 1000] };
const tied = (id: string, over: Parameters<typeof job>[1] = {}) =>
  job(id, { tie: 'c@1', estimate: seconds(100), ...over });

test('slack orders the tied: what can make it by what it has to spare, then what cannot, then what has missed', () => {
  const rank = (j: ReturnType<typeof job>, at: number, day: number) =>
    cutoffRank(j, one(at), seconds(day), () => pace);
  const long = tied('job-1', { estimate: seconds(900) });
  const short = tied('job-2');
  assert.ok(rank(long, 1000, 0)! < rank(short, 1000, 0)!, 'less to spare goes first, though it is more work');
  assert.ok(
    rank(short, 1000, 0)! < rank(tied('job-3', { estimate: seconds(3000) }), 1000, 0)!,
    'no hope: behind',
  );
  assert.ok(
    rank(tied('job-3', { estimate: seconds(3000) }), 1000, 0)! < rank(short, 1000, 1001)!,
    'missed: last',
  );
  // Pressing goes before what has a due time of its own (its work left), with much to spare behind it.
  assert.ok(rank(short, 1000, 500)! < 0 && rank(short, 9000, 0)! > 1e14);
  assert.equal(rank(job('job-4'), 1000, 0), null);
  assert.equal(
    rank(tied('job-5', { tie: 'gone@1' }), 1000, 0),
    null,
    'a retired tie falls back to its own due time',
  );
  // The nearer of its own due time and the cutoff counts, until the due time has passed.
  const own = tied('job-6', { deadline: seconds(300), submitted: seconds(0) });
  assert.ok(rank(own, 5000, 0)! < rank(short, 5000, 0)!);
  assert.ok(rank(own, 5000, 301)! === rank(short, 5000, 301)!);
  // Whatever the day, time only takes slack away, and more work never has more of it.
  const luck = new Luck(7);
  for (let n = 0; n < 500; n++) {
    const at = 2000 + luck.int(5000);
    const j = tied('job-7', { tasks: 1 + luck.int(30), estimate: seconds(10 + luck.int(300)) });
    const more = tied('job-7', { tasks: j.spec.tasks, estimate: (j.spec.estimate + 1e6) as Micros });
    const left = (x: ReturnType<typeof job>, ratio = 1) => timeLeft(x, seconds(0), ratio, 4);
    assert.ok(left(more) >= left(j) && left(j, 2) >= left(j) && timeLeft(j, seconds(0), 1, 8) <= left(j));
    const day = luck.int(1500);
    const [a, b] = [rank(j, at, day)!, rank(j, at, day + 50)!];
    // Out of the bands for pressing, easy and hopeless the rank may jump, never within one.
    if (Math.abs(a - b) < 1e12) assert.ok(b <= a);
  }
});

test('at risk once, missed once, and anew only for an occurrence that moved; the reason is what hinders', () => {
  const free = () => ({ limited: false, lost: false });
  const say = (j: ReturnType<typeof job>, at: number, day: number, h = free) =>
    newCutoffRisk(j, one(at), seconds(day), () => pace, h);
  const j = tied('job-1', { tasks: 2, cpus: 600 });
  assert.equal(say(j, 1000, 0), null);
  // Two tasks of 600 CPUs one after the other in a room of 1,000: 200 s.
  assert.equal(say(j, 1000, 801), CUTOFF_RISK.noRoom);
  assert.equal(
    say(j, 1000, 801, () => ({ limited: true, lost: true })),
    CUTOFF_RISK.limit,
  );
  assert.equal(
    say(j, 1000, 801, () => ({ limited: false, lost: true })),
    CUTOFF_RISK.lost,
  );
  assert.equal(say({ ...j, cutoffRisk: CUTOFF_RISK.noRoom }, 1000, 900), null, 'once');
  assert.equal(
    say({ ...j, cutoffRisk: CUTOFF_RISK.noRoom }, 1000, 1000),
    null,
    'the instant itself is in time',
  );
  assert.equal(say({ ...j, cutoffRisk: CUTOFF_RISK.noRoom }, 1000, 1000.000001), CUTOFF_RISK.missed);
  assert.equal(say({ ...j, cutoffRisk: CUTOFF_RISK.missed }, 1000, 2000), null, 'once');
  assert.equal(
    say({ ...j, cutoffRisk: CUTOFF_RISK.missed }, 5000, 2000),
    CUTOFF_RISK.nothing,
    'it moved: said anew if need be',
  );
  assert.equal(maxConcurrentTasks(j.spec, { cpus: 600, gpus: 0 }, null), 1);
});

test('what a class has shown corrects its estimates, forgets slowly, and keeps to its bounds', () => {
  let shown = addSamples(new Map(), new Map([['x', [2, 2, 2, 2, 2, 2, 2]]]));
  assert.equal(ratioQuantile(shown, 'x', 0.75), 1, 'seven tell nothing yet');
  shown = addSamples(shown, new Map([['x', [2, 2, 2]]]));
  assert.equal(ratioQuantile(shown, 'x', 0.75), 2);
  for (let i = 0; i < 200; i++)
    shown = addSamples(
      shown,
      new Map([
        ['x', Array<number>(8).fill(0.5)],
        [`y${i}`, [1]],
      ]),
    );
  assert.equal(ratioQuantile(shown, 'x', 0.75), 0.5);
  assert.ok(shown.size <= 64 && shown.has('x'));
  const slow = {
    ...pace,
    classDurations: addSamples(new Map(), new Map([['x', Array<number>(20).fill(3)]])),
  };
  const j = tied('job-1');
  assert.equal(
    newCutoffRisk(
      j,
      one(1000),
      seconds(750),
      () => pace,
      () => ({ limited: false, lost: false }),
    ),
    null,
  );
  assert.equal(
    newCutoffRisk(
      j,
      one(1000),
      seconds(750),
      () => slow,
      () => ({ limited: false, lost: false }),
    ),
    CUTOFF_RISK.estimate,
  );
});
