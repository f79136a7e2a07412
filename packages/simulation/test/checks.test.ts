/** Each check of the rules is seen to fail on what breaks it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeJob, encodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { activeJobKey, logEntryKey } from '@lilacvalve/controller/jobs/keys';
import { type JobChange, type JobSpec, NO_HEADER } from '@lilacvalve/controller/jobs/model';
import { job } from '@lilacvalve/controller/support/job';
import { RandomSource } from '@lilacvalve/controller/support/random-source';
import { type DayResult, faultsOf } from '../src/play.js';
import { StartLatencyCheck } from '../src/world/start-latency-check.js';
import { LENDING_TEAMS, Loans } from '../src/world/lending.js';
import { CostCheck } from '../src/world/cost-check.js';
import { Links } from '../src/world/links.js';
import { ODD, wrongly } from '../src/world/scenarios/invalid-requests.js';
import { Memory } from '../src/world/memory.js';
import { Rules, type Spec } from '../src/world/rules.js';
import { StateService } from '../src/world/state-service/state-service.js';
import { Time } from '../src/world/time.js';
import {
  type Amounts,
  amounts,
  fitsNow,
  type RoomOn,
  StarvationCheck,
  type Wanted,
} from '../src/world/starvation-check.js';
import type { JobTruth } from '../src/world/job-truth.js';
import { World } from '../src/world/world.js';

const spec: Spec = {
  id: 'job-1',
  team: 'red',
  tasks: 3,
  cpus: 4,
  gpus: 0,
  types: ['c8'],
  zone: null,
  oneZone: true,
  spread: false,
  spot: false,
};
const m = (id: string, over: Partial<{ type: string; zone: string; spot: boolean }> = {}) => ({
  id,
  type: 'c8',
  zone: 'a',
  spot: false,
  ...over,
});

test('every rule is broken by what it forbids, and by nothing less', () => {
  const table: [string, (r: Rules) => void][] = [
    ['ran_twice', (r) => (r.start('job-1/0', m('m1'), 1), r.start('job-1/0', m('m2'), 2))],
    ['wrong_place', (r) => r.start('job-1/0', m('m1', { type: 'g4' }), 1)],
    ['wrong_place', (r) => r.start('job-1/0', m('m1', { spot: true }), 1)],
    ['wrong_place', (r) => (r.start('job-1/0', m('m1'), 1), r.start('job-1/1', m('m2', { zone: 'b' }), 2))],
    ['quota', (r) => [0, 1, 2].forEach((i) => r.start(`job-1/${i}`, m(`m${i}`), i))],
    ['forgotten', (r) => (r.submitted('job-1', 201, 1), r.answered('job-1', 404, undefined, 2))],
    ['forgotten', (r) => (r.submitted('job-1', 201, 1), r.submitted('job-1', 422, 2))],
    ['invented', (r) => r.answered('job-2', 200, 'pending', 1)],
    ['not_done', (r) => r.answered('job-1', 200, 'done', 1)],
    [
      'went_back',
      (r) => (
        r.askCancel('job-1'),
        r.answered('job-1', 200, 'aborted', 1),
        r.answered('job-1', 200, 'running', 2)
      ),
    ],
    ['went_back', (r) => r.answered('job-1', 200, 'aborted', 1)],
    [
      'older_answer',
      (r) => (r.answered('job-1', 200, 'running', 1, 2), r.answered('job-1', 200, 'running', 2, 1)),
    ],
    [
      'ran_cancelled',
      (r) => (
        r.start('job-1/0', m('m1'), 1),
        r.askCancel('job-1'),
        r.answered('job-1', 200, 'aborted', 5),
        r.check(5 + 36e6)
      ),
    ],
    ['attempt_reused', (r) => (r.ordered('job-1/0', 7, 'm1'), r.ordered('job-1/0', 7, 'm2'))],
    ['hire_reused', (r) => (r.hired('h-1', 'c8 a'), r.hired('h-1', 'g4 a'))],
  ];
  for (const [rule, breakIt] of table) {
    const r = new Rules(35e6, { red: { cpus: 11, gpus: 0 } });
    r.specs.set('job-1', spec);
    breakIt(r);
    assert.equal(r.broken.length, 1, `${rule}: ${r.broken.join('; ')}`);
    assert.ok(r.broken[0]!.startsWith(`${rule}:`), r.broken[0]);
  }
  const sound = new Rules(35e6, { red: { cpus: 11, gpus: 0 } });
  sound.specs.set('job-1', spec);
  sound.ordered('job-1/0', 7, 'm1');
  sound.ordered('job-1/0', 7, 'm1');
  sound.start('job-1/0', m('m1'), 1);
  sound.leave('job-1/0', 'm1');
  sound.start('job-1/0', m('m2'), 2);
  sound.submitted('job-1', 201, 1);
  sound.answered('job-1', 200, 'running', 3, 1);
  sound.answered('job-1', 200, 'running', 4, 1);
  sound.hired('h-1', 'c8 a');
  sound.hired('h-1', 'c8 a');
  assert.deepEqual(sound.broken, []);
});

test('a job counts as forgotten when nothing about it is answered for 75 s after the last trouble, however others fare', () => {
  const r = new Rules(35e6, {});
  r.polled('job-1', true, 0);
  r.polled('job-2', true, 0);
  r.quiescentAt = 100e6;
  // As long as the troubles last nobody need be answered.
  for (let t = 5e6; t <= 174e6; t += 5e6) {
    r.polled('job-1', false, t);
    r.polled('job-2', true, t);
  }
  assert.deepEqual(r.broken, []);
  r.polled('job-1', false, 176e6);
  assert.equal(r.broken.length, 1);
  assert.match(r.broken[0]!, /^unanswered: job-1 for 76 s/);
  assert.equal(r.silence, 76e6);
  r.polled('job-1', true, 177e6);
  r.polled('job-1', false, 178e6);
  assert.equal(r.broken.length, 1, 'one answer is enough');
});

test('the state service loses what it is told to lose', () => {
  const time = new Time(1);
  const luck = new RandomSource(1);
  const state = new StateService(time, luck, new Links(time, luck));
  const set = (key: string, value: unknown): void => {
    time.fork(state.port('n0').transact([], [{ set: key, value }], 1, 1000));
    time.run(time.now + 1e6);
  };
  set('s/a', 1);
  set('s/b', 1);
  time.run(20e6);
  set('s/a', 2);
  const revision = state.revision;
  state.lose({ kind: 'window', since: 10e6, leases: 'renewed' });
  assert.deepEqual([state.keys.get('s/a')!.value, state.revision], ['1', revision - 1]);
  state.lose({ kind: 'damage', prefix: 's/b', part: null, how: 'unreadable' });
  assert.equal(state.keys.get('s/b')!.value, '{"c":7}');
  set('s/a', 3);
  state.lose({ kind: 'damage', prefix: 's/a', part: 1, how: 'older' });
  assert.equal(state.keys.get('s/a')!.value, '1');
  state.lose({ kind: 'keys', prefix: 's/', part: 1 });
  assert.equal(state.keys.size, 0);
  assert.ok(state.revision > 0, 'no revision tells of it');
  state.lose({ kind: 'all' });
  assert.equal(state.revision, 0);
});

test('a link carries, holds, resets, delays and loses in its own direction only', () => {
  const arrived: string[] = [];
  const run = (how: Parameters<Links['set']>[2] | null): string => {
    const time = new Time(2);
    const links = new Links(time, new RandomSource(2));
    if (how !== null) links.set('a', 'b', how, 5e6);
    arrived.length = 0;
    let there = -1;
    let back = -1;
    let failed = -1;
    links.send(
      'a',
      'b',
      () => {
        there = time.now;
        links.answer('a', 'b', () => (back = time.now));
      },
      () => (failed = time.now),
    );
    let other = -1;
    links.send('b', 'a', () => (other = time.now));
    time.run(30e6);
    assert.ok(other >= 0 && other < 5000, 'the other direction is untouched');
    return [
      there < 0 ? 'lost' : there > 4e6 ? 'late' : there > 50_000 ? 'slow' : 'there',
      back < 0 ? 'no answer' : 'answer',
      failed < 0 ? '' : 'told',
    ]
      .join(' ')
      .trim();
  };
  assert.equal(run(null), 'there answer');
  assert.equal(run('held'), 'late answer');
  assert.equal(run('reset'), 'lost no answer told');
  assert.equal(run('slow'), 'slow answer');
  assert.equal(run('unanswered'), 'there no answer');
  assert.match(run('lossy'), /^(there|slow) answer$/);
});

test("a day fails when less than half of a class's largest begin within four minutes, and only then", () => {
  const begun = new StartLatencyCheck();
  const job = (id: string, tasks: number, shape = 'array'): JobTruth => {
    const j = {
      ...spec,
      id,
      tasks,
      shape,
      jobClass: 'render',
      cpus: 1,
      broken: false,
    } as unknown as JobTruth;
    begun.submit(j, 0, 4);
    return j;
  };
  const run = (j: JobTruth, tasks: number, at: number): void => {
    for (let i = 0; i < tasks; i++) begun.run(j, `${j.id}/${i}`, at);
  };
  for (let i = 0; i < 20; i++) run(job(`small-${i}`, 1), 1, 1e6);
  const large = [1, 2, 3, 4, 5].map((i) => job(`large-${i}`, 10 + i));
  // An array has begun with the four that its team may run at once, if no command stops one of them soon after.
  run(large[0]!, 4, 100e6);
  run(large[1]!, 4, 100e6);
  begun.stop(large[1]!, 'large-2/3', 120e6);
  run(large[2]!, 4, 250e6);
  const day = (): DayResult =>
    ({
      broken: [],
      served: {},
      unfinished: 0,
      unwitnessed: 0,
      room: true,
      least: begun.rows(() => 'done'),
    }) as unknown as DayResult;
  const row = day().least.find((r) => r.of === 'largest render')!;
  assert.deepEqual([row.jobs, row.begun, row.longest], [5, 0.2, 250]);
  assert.deepEqual(faultsOf(day()), ['largest render: 0.20 of 5 begun within four minutes']);
  assert.deepEqual(faultsOf({ ...day(), room: false }), [], 'asked only where there is room');
  run(large[1]!, 4, 130e6);
  run(large[3]!, 4, 239e6);
  assert.deepEqual(faultsOf(day()), []);
  const gang = job('large-6', 16, 'ensemble');
  run(gang, 15, 1e6);
  assert.equal(begun.wait(begun.submitted.get(gang.id)!), null, 'a gang begins whole');
  const half = { ...day(), least: begun.rows((id) => (id.startsWith('small') ? 'accepted' : 'done')) };
  assert.ok(
    faultsOf(half).some((f) => f.startsWith('class render: 0.23 served')),
    faultsOf(half).join('; '),
  );
});

/** A service and a batch job with four tasks running, and what a record after that is said to break. */
const afterRecord = (
  taker: Partial<JobSpec>,
  lender: Partial<JobSpec>,
  change: Record<string, JobChange>,
  seconds = 0,
  withdrawn = false,
): string[] => {
  const broken: string[] = [];
  const loans = new Loans(
    LENDING_TEAMS,
    (what) => broken.push(what),
    () => undefined,
  );
  const gpu = { gpus: 1, cpus: 1, tasks: 4 };
  const service = job('job-1', { ...gpu, shape: 'service', urgency: 2, team: 'guest', ...taker });
  const batch = job('job-2', { ...gpu, team: 'blue', ...lender });
  for (let task = 0; task < 4; task++)
    batch.placed.set(task, { task, attempt: 1, machine: 'm', since: 0 as never });
  [service, batch].forEach((j, i) => loans.committed(activeJobKey(j.spec.id), encodeJob(j, 0), i + 1));
  const put = (seq: number, changes: Record<string, JobChange>): void =>
    loans.committed(
      logEntryKey(seq),
      encodeLogEntry(new Map(Object.entries(changes)), { ...NO_HEADER, at: seq as never }),
      seq + 2,
    );
  put(1, change);
  batch.cancelled = withdrawn;
  if (withdrawn) loans.committed(activeJobKey('job-2'), encodeJob({ ...batch, loans: new Map() }, 1), 9);
  for (let s = 0; s < seconds; s++) loans.check(s * 1e6, [], true);
  if (seconds === 0 && broken.length === 0 && withdrawn) loans.end();
  return broken.map((b) => b.slice(0, b.indexOf(':')));
};

test('loans beyond a guarantee, of equal urgency, or open after their end are seen', () => {
  const lend = { 'job-1': { lend: [{ lender: 'job-2', gpus: 1000, tasks: 1 }] } };
  // Blue runs four, and four are promised to it: nobody takes one for more than their own.
  assert.deepEqual(afterRecord({}, {}, lend), ['guarantee']);
  assert.deepEqual(afterRecord({ team: 'red' }, {}, lend), []);
  assert.deepEqual(afterRecord({}, { team: 'guest' }, lend), []);
  assert.deepEqual(afterRecord({ team: 'red' }, { team: 'guest', urgency: 2 }, lend), []);
  assert.deepEqual(afterRecord({ team: 'blue' }, { team: 'guest', urgency: 2 }, lend), []);
  assert.deepEqual(afterRecord({}, { team: 'red', urgency: 2 }, lend), ['guarantee', 'guarantee']);
  assert.deepEqual(afterRecord({ team: 'red' }, {}, lend, 30, true), []);
  assert.deepEqual(afterRecord({ team: 'red' }, {}, lend, 70, true).slice(0, 1), ['loan_open']);
  assert.deepEqual(afterRecord({ team: 'red' }, {}, lend, 0, true), ['loan_open']);
});

test('what was told must be known as long as one lives who was promised to know it', () => {
  const [a, b, c] = ['a', 'b', 'c'].map((label) => ({ label }));
  const all = [a!, b!, c!];
  const day = (still: readonly string[], end: readonly string[], kept = 0): boolean => {
    const m = new Memory();
    const look = (
      from: number,
      to: number,
      up: readonly { label: string }[],
      frozen: readonly string[],
    ): void => {
      for (let at = from; at < to; at += 100_000)
        m.look(
          at,
          up.map((p) => ({
            process: p,
            fine: !frozen.includes(p.label),
            reaches: new Set(up.flatMap((o) => (o !== p && !frozen.includes(o.label) ? [o.label] : []))),
          })),
        );
    };
    look(0, 20e6, all, []);
    look(20e6, 30e6, all, still);
    const fact = m.fact(30e6, a!, () => true);
    m.lose(30.1e6, kept);
    const left = all.filter((p) => !end.includes(p.label));
    look(30.2e6, 45e6, left, still);
    m.settle(45e6, true);
    return m.promised([fact], 44e6, new Set());
  };
  assert.equal(day([], []), true);
  assert.equal(day([], ['a', 'b']), true, 'the third was told');
  assert.equal(day([], ['a', 'b', 'c']), false, 'nobody is left');
  assert.equal(day(['c'], ['a', 'b']), false, 'the third stood still');
  assert.equal(day(['c'], ['b']), true, 'whoever said it knows it');
  assert.equal(day(['c'], ['a', 'b'], 30.05e6), true, 'the store has it still');
});

const roomOn = (machine: string, free: Amounts, over: Partial<RoomOn> = {}): RoomOn => ({
  ...m(machine),
  machine,
  free,
  ...over,
});
const wants = (over: Partial<Spec> = {}, shape = 'array', on: Record<string, string> = {}): Wanted => {
  const s = { ...spec, types: null, oneZone: false, ...over };
  const waiting = s.tasks - Object.keys(on).length;
  const places = new Map(Object.entries(on).map(([task, zone]) => [task, { zone }]));
  return { spec: s, shape, waiting, on: places, need: amounts(s.cpus, s.gpus, 2) };
};

test('what fits is found by type, zone, spot, spread, place and for a gang whole', () => {
  const free = amounts(8, 0, 32);
  const a = roomOn('m1', free);
  const b = roomOn('m2', free, { zone: 'b' });
  const table: [string, boolean, Wanted, RoomOn[]][] = [
    ['a task', true, wants(), [a]],
    ['too large', false, wants({ cpus: 9 }), [a]],
    ['no GPU', false, wants({ gpus: 1 }), [a]],
    ['no memory', false, wants(), [roomOn('m1', amounts(8, 0, 1))]],
    ['another type', false, wants({ types: ['g4'] }), [a]],
    ['another zone', false, wants({ zone: 'b' }), [a]],
    ['a spot machine', false, wants(), [roomOn('m1', free, { spot: true })]],
    ['a spot machine that it may use', true, wants({ spot: true }), [roomOn('m1', free, { spot: true })]],
    ['two of a gang of three', false, wants({}, 'ensemble'), [a]],
    ['a gang of three over two zones', true, wants({}, 'ensemble'), [a, b]],
    ['a gang of three in one of two zones', false, wants({ oneZone: true }, 'ensemble'), [a, b]],
    ['a gang of three in one', true, wants({ oneZone: true }, 'ensemble'), [a, roomOn('m3', free), b]],
    ['a gang of four that must spread', false, wants({ tasks: 4, cpus: 2, spread: true }, 'ensemble'), [a]],
    ['the same with two zones', true, wants({ tasks: 4, cpus: 2, spread: true }, 'ensemble'), [a, b]],
    ['the second half of an array that must spread', false, wants({ tasks: 2, spread: true }, 'array', { 'job-1/0': 'a' }), [a]], // prettier-ignore
    ['the same elsewhere', true, wants({ tasks: 2, spread: true }, 'array', { 'job-1/0': 'a' }), [b]],
    ['beside the rest of its job', false, wants({ oneZone: true }, 'array', { 'job-1/0': 'a' }), [b]],
    ['the same there', true, wants({ oneZone: true }, 'array', { 'job-1/0': 'a' }), [a]],
  ];
  for (const [what, fits, job, rooms] of table) assert.equal(fitsNow(job, rooms), fits, what);
});

test('a job that waits for 90 s while there is room for it is seen, and no other', () => {
  const play = (
    seconds: number,
    at: (s: number) => { job?: Wanted; free?: Amounts; used?: Amounts; troubled?: boolean },
  ): string[] => {
    const broken: string[] = [];
    const waiting = new StarvationCheck((what) => broken.push(what));
    for (let s = 0; s < seconds; s++) {
      const { job = wants(), free = amounts(8, 0, 32), used = amounts(0, 0, 0), troubled = false } = at(s);
      if (troubled) waiting.troubled();
      else
        waiting.look(
          s * 1e6,
          [job],
          [roomOn('m1', free)],
          new Map([['red', used]]),
          new Map([['red', [11, 0] as const]]),
        );
    }
    return broken;
  };
  const full = amounts(3, 0, 32);
  assert.deepEqual(
    play(101, () => ({})),
    [],
    'ten seconds of standing free, and 90',
  );
  assert.match(play(103, () => ({}))[0]!, /^waited: 3 tasks of job-1 for 91 s with room, at 101000000$/);
  assert.equal(play(400, () => ({})).length, 1, 'said once');
  assert.match(
    play(103, () => ({ job: wants({ cpus: 2 }, 'ensemble') }))[0]!,
    /^waited: all 3 tasks of job-1/,
  );
  const never: [string, (s: number) => ReturnType<Parameters<typeof play>[1]>][] = [
    ['no room', () => ({ free: full })],
    ['room now and then, for less than ten seconds', (s) => (s % 10 === 0 ? { free: full } : {})],
    ['no room once in a while', (s) => (s % 80 === 0 ? { free: full } : {})],
    ['the team at its limit', () => ({ used: amounts(8, 0, 4) })],
    ['a gang that would bring its team over the limit', () => ({ job: wants({}, 'ensemble') })],
    ['troubles now and then', (s) => ({ troubled: s % 80 === 0 })],
    ['nothing waits', () => ({ job: wants({ tasks: 1 }, 'array', { 'job-1/0': 'a' }) })],
    ['a gang of which one is there', () => ({ job: wants({ cpus: 1 }, 'ensemble', { 'job-1/0': 'a' }) })],
    ['one more starts now and then', (s) => ({ job: wants({ tasks: 99 }, 'array', { [`job-1/${s >> 6}`]: 'a' }) })], // prettier-ignore
  ];
  for (const [what, at] of never) assert.deepEqual(play(400, at), [], what);
  // Ends alone are no progress: what is left waits on.
  const ending = (s: number): Wanted =>
    wants({ tasks: 9 }, 'array', s < 50 ? { 'job-1/0': 'a', 'job-1/1': 'a' } : { 'job-1/0': 'a' });
  assert.equal(play(110, (s) => ({ job: ending(s) })).length, 1);
});

test('a machine charged unused, and one rented for what has had room for seconds, are seen, and no other', () => {
  const play = (look: (c: CostCheck, s: number) => void, seconds: number): string[] => {
    const broken: string[] = [];
    const charged = new CostCheck((what) => broken.push(what));
    for (let s = 0; s < seconds; s++) look(charged, s);
    return broken;
  };
  const paid = (over = {}) => ({ id: 'm1', rentedAt: 0, boot: 10e6, up: true, used: false, ...over });
  const unused =
    (over = {}, wanted: Wanted[] = [], quiescentAt = 0) =>
    (c: CostCheck, s: number) =>
      c.look(s * 1e6, quiescentAt, [paid(over)], wanted, []);
  assert.deepEqual(play(unused(), 121), []);
  assert.match(play(unused(), 122).join(), /^left_charged: m1 unused for 121 s/);
  assert.deepEqual(play(unused({ used: true }), 300), []);
  assert.deepEqual(play(unused({}, [wants()]), 300), [], 'somebody waits');
  assert.deepEqual(play(unused({}, [], 100e6), 220), [], 'troubles last');
  assert.deepEqual(play(unused({ up: false }), 151), [], 'it boots');
  assert.match(play(unused({ up: false }), 152).join(), /^left_charged/);
  const rent =
    (free: Amounts, at = 20, wanted: Wanted[] = [wants({ tasks: 2 })]) =>
    (c: CostCheck, s: number) => {
      c.look(s * 1e6, 0, [], wanted, [roomOn('m1', free)]);
      if (s === at) c.rented(s * 1e6, 1);
    };
  assert.match(play(rent(amounts(8, 0, 32)), 30).join(), /^hired_twice: 1 machines at 20000000, with room/);
  assert.deepEqual(play(rent(amounts(8, 0, 32), 4), 30), [], 'what was asked for before may have come');
  assert.deepEqual(play(rent(amounts(7, 0, 32)), 30), [], 'one of two has no room');
  assert.deepEqual(play(rent(amounts(8, 4, 32)), 30), [], 'room beside GPUs is not counted on');
  assert.match(play(rent(amounts(8, 0, 32), 20, []), 30).join(), /^hired_twice/, 'nobody waits at all');
});

test('an odd submission that is accepted, refused otherwise, or whose field is not named is seen', () => {
  assert.equal(wrongly(400, 'pieces: is missing', 400, 'pieces'), null);
  assert.equal(wrongly(400, 'hostsKinds.0: Expected string', 400, 'hostsKinds'), null);
  assert.equal(wrongly(422, 'unknown team', 422), null);
  assert.equal(wrongly(503, 'starting', 422), null);
  for (const status of [200, 201, 400, 404]) assert.match(wrongly(status, '', 422)!, /^odd_accepted: /);
  assert.match(wrongly(422, 'pieces: is missing', 400, 'pieces')!, /^odd_accepted: /);
  assert.match(wrongly(400, 'job description too large', 400, 'pieces')!, /^odd_unnamed: /);
  assert.match(wrongly(400, undefined, 400, 'pieces')!, /^odd_unnamed: /);
  assert.ok(ODD.every(([status, , field]) => (status === 400) === (field !== undefined)));
});

test('a completion that is forgotten before it is durable is seen', () => {
  const w = new World(5, { staggeredCompletions: true });
  w.time.run(15e6);
  w.scenarios!.begin.staggeredCompletions();
  w.time.run(w.time.now + 1e6);
  const id = [...w.users.jobs.keys()][0]!;
  assert.ok(w.state.keys.has(activeJobKey(id)), 'accepted');
  const early = (): string[] => w.rules.broken.filter((b) => b.startsWith('reaped_early: '));
  w.scenarios!.reaped(`${id}/0`, false);
  w.scenarios!.reaped('job-1/0', true);
  assert.deepEqual(early(), [], 'what did not complete, or is none of its jobs');
  w.scenarios!.reaped(`${id}/0`, true);
  assert.equal(early().length, 1);
  while (!w.rules.completed.has(id) && w.time.now < 120e6) w.time.run(w.time.now + 100_000);
  w.time.run(w.time.now + 5e6);
  const [task] = w.rules.completed.get(id)!;
  w.scenarios!.reaped(`${id}/${task}`, true);
  assert.equal(early().length, 1, 'durable by then');
  w.stop();
});

test('a record that is written twice is seen, unless the store has lost data', () => {
  const w = new World(5, {});
  const put = (seq: number, value: string | undefined): void => w.state.onPut(logEntryKey(seq), value);
  const twice = (): string[] => w.rules.broken.filter((b) => b.startsWith('record_rewritten: '));
  put(1001, '{"@":{"t":1}}');
  put(1002, '{"@":{"t":2}}');
  put(1001, undefined);
  put(1001, undefined);
  assert.deepEqual(twice(), []);
  put(1001, '{"@":{"t":3}}');
  assert.equal(twice().length, 1);
  w.dataLoss.at.push(w.time.now);
  put(1002, '{"@":{"t":4}}');
  assert.equal(twice().length, 1);
  w.stop();
});
