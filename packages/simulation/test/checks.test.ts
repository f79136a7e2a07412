/** Verifies the simulation's own checks: each reports the violations that it is meant to detect, and nothing else. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeJob, encodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { activeJobKey, logEntryKey } from '@lilacvalve/controller/jobs/keys';
import { type JobChange, type JobSpec, NO_HEADER } from '@lilacvalve/controller/jobs/model';
import { job } from '@lilacvalve/controller/support/job';
import { RandomSource } from '@lilacvalve/controller/support/random-source';
import { type DayResult, failuresOf } from '../src/play.js';
import { StartLatencyCheck } from '../src/world/start-latency-check.js';
import { LENDING_TEAMS, LoanCheck } from '../src/world/lending.js';
import { CostCheck } from '../src/world/cost-check.js';
import { Links } from '../src/world/links.js';
import { INVALID_CHANGES, responseViolation } from '../src/world/scenarios/invalid-requests.js';
import { Memory } from '../src/world/memory.js';
import { Rules, type JobRequirements } from '../src/world/rules.js';
import { StateService } from '../src/world/state-service/state-service.js';
import { Time } from '../src/world/time.js';
import {
  type Amounts,
  amounts,
  fitsNow,
  type FreeMachine,
  StarvationCheck,
  type UnfinishedJob,
} from '../src/world/starvation-check.js';
import type { JobTruth } from '../src/world/job-truth.js';
import { World } from '../src/world/world.js';

const spec: JobRequirements = {
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
const machine = (id: string, over: Partial<{ type: string; zone: string; spot: boolean }> = {}) => ({
  id,
  type: 'c8',
  zone: 'a',
  spot: false,
  ...over,
});

test('each rule reports exactly one violation when it is broken, and none otherwise', () => {
  const table: [string, (rules: Rules) => void][] = [
    [
      'ran_twice',
      (rules) => (rules.start('job-1/0', machine('m1'), 1), rules.start('job-1/0', machine('m2'), 2)),
    ],
    ['wrong_place', (rules) => rules.start('job-1/0', machine('m1', { type: 'g4' }), 1)],
    ['wrong_place', (rules) => rules.start('job-1/0', machine('m1', { spot: true }), 1)],
    [
      'wrong_place',
      (rules) => (
        rules.start('job-1/0', machine('m1'), 1),
        rules.start('job-1/1', machine('m2', { zone: 'b' }), 2)
      ),
    ],
    ['quota', (rules) => [0, 1, 2].forEach((i) => rules.start(`job-1/${i}`, machine(`m${i}`), i))],
    [
      'forgotten',
      (rules) => (rules.checkSubmission('job-1', 201, 1), rules.checkStatus('job-1', 404, undefined, 2)),
    ],
    [
      'forgotten',
      (rules) => (rules.checkSubmission('job-1', 201, 1), rules.checkSubmission('job-1', 422, 2)),
    ],
    ['invented', (rules) => rules.checkStatus('job-2', 200, 'pending', 1)],
    ['not_done', (rules) => rules.checkStatus('job-1', 200, 'done', 1)],
    [
      'went_back',
      (rules) => (
        rules.requestCancel('job-1'),
        rules.checkStatus('job-1', 200, 'aborted', 1),
        rules.checkStatus('job-1', 200, 'running', 2)
      ),
    ],
    ['went_back', (rules) => rules.checkStatus('job-1', 200, 'aborted', 1)],
    [
      'older_answer',
      (rules) => (
        rules.checkStatus('job-1', 200, 'running', 1, 2),
        rules.checkStatus('job-1', 200, 'running', 2, 1)
      ),
    ],
    [
      'ran_cancelled',
      (rules) => (
        rules.start('job-1/0', machine('m1'), 1),
        rules.requestCancel('job-1'),
        rules.checkStatus('job-1', 200, 'aborted', 5),
        rules.check(5 + 36e6)
      ),
    ],
    ['attempt_reused', (rules) => (rules.ordered('job-1/0', 7, 'm1'), rules.ordered('job-1/0', 7, 'm2'))],
    ['hire_reused', (rules) => (rules.rented('h-1', 'c8 a'), rules.rented('h-1', 'g4 a'))],
  ];
  for (const [rule, violate] of table) {
    const rules = new Rules(35e6, { red: { cpus: 11, gpus: 0 } });
    rules.specs.set('job-1', spec);
    violate(rules);
    assert.equal(rules.violations.length, 1, `${rule}: ${rules.violations.join('; ')}`);
    assert.ok(rules.violations[0]!.startsWith(`${rule}:`), rules.violations[0]);
  }
  const sound = new Rules(35e6, { red: { cpus: 11, gpus: 0 } });
  sound.specs.set('job-1', spec);
  sound.ordered('job-1/0', 7, 'm1');
  sound.ordered('job-1/0', 7, 'm1');
  sound.start('job-1/0', machine('m1'), 1);
  sound.leave('job-1/0', 'm1');
  sound.start('job-1/0', machine('m2'), 2);
  sound.checkSubmission('job-1', 201, 1);
  sound.checkStatus('job-1', 200, 'running', 3, 1);
  sound.checkStatus('job-1', 200, 'running', 4, 1);
  sound.rented('h-1', 'c8 a');
  sound.rented('h-1', 'c8 a');
  assert.deepEqual(sound.violations, []);
});

test('a job is reported as unanswered when none of its polls is answered for 75 s after the last fault, whatever happens to other jobs', () => {
  const rules = new Rules(35e6, {});
  rules.recordPoll('job-1', true, 0);
  rules.recordPoll('job-2', true, 0);
  rules.disruptedUntil = 100e6;
  // While faults last, polls may stay unanswered.
  for (let now = 5e6; now <= 174e6; now += 5e6) {
    rules.recordPoll('job-1', false, now);
    rules.recordPoll('job-2', true, now);
  }
  assert.deepEqual(rules.violations, []);
  rules.recordPoll('job-1', false, 176e6);
  assert.equal(rules.violations.length, 1);
  assert.match(rules.violations[0]!, /^unanswered: job-1 for 76 s/);
  assert.equal(rules.longestSilence, 76e6);
  rules.recordPoll('job-1', true, 177e6);
  rules.recordPoll('job-1', false, 178e6);
  assert.equal(rules.violations.length, 1, 'a single answered poll restarts the time');
});

test('each kind of data loss removes or alters exactly what it specifies', () => {
  const time = new Time(1);
  const random = new RandomSource(1);
  const state = new StateService(time, random, new Links(time, random));
  const set = (key: string, value: unknown): void => {
    time.fork(state.port('n0').transact([], [{ set: key, value }], 1, 1000));
    time.run(time.now + 1e6);
  };
  set('s/a', 1);
  set('s/b', 1);
  time.run(20e6);
  set('s/a', 2);
  const revision = state.revision;
  state.loseData({ kind: 'window', since: 10e6, leases: 'renewed' });
  assert.deepEqual([state.keys.get('s/a')!.value, state.revision], ['1', revision - 1]);
  state.loseData({ kind: 'damage', prefix: 's/b', part: null, how: 'unreadable' });
  assert.equal(state.keys.get('s/b')!.value, '{"c":7}');
  set('s/a', 3);
  state.loseData({ kind: 'damage', prefix: 's/a', part: 1, how: 'older' });
  assert.equal(state.keys.get('s/a')!.value, '1');
  state.loseData({ kind: 'keys', prefix: 's/', part: 1 });
  assert.equal(state.keys.size, 0);
  assert.ok(state.revision > 0, 'a loss of single keys does not change the revision');
  state.loseData({ kind: 'all' });
  assert.equal(state.revision, 0);
});

test('a link state delays, resets or loses messages in its own direction only', () => {
  const arrived: string[] = [];
  const run = (linkState: Parameters<Links['set']>[2] | null): string => {
    const time = new Time(2);
    const links = new Links(time, new RandomSource(2));
    if (linkState !== null) links.set('a', 'b', linkState, 5e6);
    arrived.length = 0;
    let arrivedAt = -1;
    let answeredAt = -1;
    let failedAt = -1;
    links.send(
      'a',
      'b',
      () => {
        arrivedAt = time.now;
        links.sendResponse('a', 'b', () => (answeredAt = time.now));
      },
      () => (failedAt = time.now),
    );
    let reverseArrivedAt = -1;
    links.send('b', 'a', () => (reverseArrivedAt = time.now));
    time.run(30e6);
    assert.ok(reverseArrivedAt >= 0 && reverseArrivedAt < 5000, 'the other direction is unaffected');
    return [
      arrivedAt < 0 ? 'lost' : arrivedAt > 4e6 ? 'late' : arrivedAt > 50_000 ? 'slow' : 'arrived',
      answeredAt < 0 ? 'unanswered' : 'answered',
      failedAt < 0 ? '' : 'failed',
    ]
      .join(' ')
      .trim();
  };
  assert.equal(run(null), 'arrived answered');
  assert.equal(run('held'), 'late answered');
  assert.equal(run('reset'), 'lost unanswered failed');
  assert.equal(run('slow'), 'slow answered');
  assert.equal(run('unanswered'), 'arrived unanswered');
  assert.match(run('lossy'), /^(arrived|slow) answered$/);
});

test("a day fails if less than half of a class's largest jobs start within four minutes", () => {
  const startLatency = new StartLatencyCheck();
  const job = (id: string, tasks: number, shape = 'array'): JobTruth => {
    const truth = {
      ...spec,
      id,
      tasks,
      shape,
      jobClass: 'render',
      cpus: 1,
      broken: false,
    } as unknown as JobTruth;
    startLatency.submit(truth, 0, 4);
    return truth;
  };
  const run = (truth: JobTruth, tasks: number, at: number): void => {
    for (let i = 0; i < tasks; i++) startLatency.run(truth, `${truth.id}/${i}`, at);
  };
  for (let i = 0; i < 20; i++) run(job(`small-${i}`, 1), 1, 1e6);
  const large = [1, 2, 3, 4, 5].map((i) => job(`large-${i}`, 10 + i));
  // An array has started when the four tasks that its team may run at once have run, unless one is stopped soon after.
  run(large[0]!, 4, 100e6);
  run(large[1]!, 4, 100e6);
  startLatency.stop(large[1]!, 'large-2/3', 120e6);
  run(large[2]!, 4, 250e6);
  const day = (): DayResult =>
    ({
      broken: [],
      served: {},
      unfinished: 0,
      unwitnessed: 0,
      room: true,
      least: startLatency.rows(() => 'done'),
    }) as unknown as DayResult;
  const row = day().least.find((group) => group.of === 'largest render')!;
  assert.deepEqual([row.jobs, row.begun, row.longest], [5, 0.2, 250]);
  assert.deepEqual(failuresOf(day()), ['largest render: 0.20 of 5 begun within four minutes']);
  assert.deepEqual(
    failuresOf({ ...day(), room: false }),
    [],
    'start latency is required only on days with enough capacity for all jobs',
  );
  run(large[1]!, 4, 130e6);
  run(large[3]!, 4, 239e6);
  assert.deepEqual(failuresOf(day()), []);
  const gang = job('large-6', 16, 'ensemble');
  run(gang, 15, 1e6);
  assert.equal(
    startLatency.wait(startLatency.submitted.get(gang.id)!),
    null,
    'a gang has started only when all of its tasks have run',
  );
  const half = { ...day(), least: startLatency.rows((id) => (id.startsWith('small') ? 'accepted' : 'done')) };
  assert.ok(
    failuresOf(half).some((fault) => fault.startsWith('class render: 0.23 served')),
    failuresOf(half).join('; '),
  );
});

/**
 * Returns the names of the rules that a log entry violates in a state with a service and a batch job with four running
 * tasks. `seconds`: how long the checks run after the entry. `cancelled`: whether the batch job is cancelled after it.
 */
const violationsAfterEntry = (
  borrower: Partial<JobSpec>,
  lender: Partial<JobSpec>,
  change: Record<string, JobChange>,
  seconds = 0,
  cancelled = false,
): string[] => {
  const broken: string[] = [];
  const loans = new LoanCheck(
    LENDING_TEAMS,
    (what) => broken.push(what),
    () => undefined,
  );
  const gpu = { gpus: 1, cpus: 1, tasks: 4 };
  const service = job('job-1', { ...gpu, shape: 'service', urgency: 2, team: 'guest', ...borrower });
  const batch = job('job-2', { ...gpu, team: 'blue', ...lender });
  for (let task = 0; task < 4; task++)
    batch.placed.set(task, { task, attempt: 1, machine: 'm', since: 0 as never });
  [service, batch].forEach((stored, i) =>
    loans.committed(activeJobKey(stored.spec.id), encodeJob(stored, 0), i + 1),
  );
  const put = (seq: number, changes: Record<string, JobChange>): void =>
    loans.committed(
      logEntryKey(seq),
      encodeLogEntry(new Map(Object.entries(changes)), { ...NO_HEADER, at: seq as never }),
      seq + 2,
    );
  put(1, change);
  batch.cancelled = cancelled;
  if (cancelled) loans.committed(activeJobKey('job-2'), encodeJob({ ...batch, loans: new Map() }, 1), 9);
  for (let second = 0; second < seconds; second++) loans.check(second * 1e6, [], true);
  if (seconds === 0 && broken.length === 0 && cancelled) loans.checkAtEnd();
  return broken.map((violation) => violation.slice(0, violation.indexOf(':')));
};

test('loans that exceed a guarantee, lend between equal urgencies, or stay open too long are reported', () => {
  const loan = { 'job-1': { lend: [{ lender: 'job-2', gpus: 1000, tasks: 1 }] } };
  // Blue runs four tasks and its guarantee covers four, so a team may not borrow from it beyond the team's own guarantee.
  assert.deepEqual(violationsAfterEntry({}, {}, loan), ['guarantee']);
  assert.deepEqual(violationsAfterEntry({ team: 'red' }, {}, loan), []);
  assert.deepEqual(violationsAfterEntry({}, { team: 'guest' }, loan), []);
  assert.deepEqual(violationsAfterEntry({ team: 'red' }, { team: 'guest', urgency: 2 }, loan), []);
  assert.deepEqual(violationsAfterEntry({ team: 'blue' }, { team: 'guest', urgency: 2 }, loan), []);
  assert.deepEqual(violationsAfterEntry({}, { team: 'red', urgency: 2 }, loan), ['guarantee', 'guarantee']);
  assert.deepEqual(violationsAfterEntry({ team: 'red' }, {}, loan, 30, true), []);
  assert.deepEqual(violationsAfterEntry({ team: 'red' }, {}, loan, 70, true).slice(0, 1), ['loan_open']);
  assert.deepEqual(violationsAfterEntry({ team: 'red' }, {}, loan, 0, true), ['loan_open']);
});

test('a reported fact must be known while a controller survives that had to know it', () => {
  const [first, second, third] = ['a', 'b', 'c'].map((label) => ({ label }));
  const all = [first!, second!, third!];
  const mustBeKnown = (frozen: readonly string[], ended: readonly string[], kept = 0): boolean => {
    const memory = new Memory();
    const observe = (
      from: number,
      to: number,
      up: readonly { label: string }[],
      unhealthy: readonly string[],
    ): void => {
      for (let at = from; at < to; at += 100_000)
        memory.observe(
          at,
          up.map((process) => ({
            process,
            fine: !unhealthy.includes(process.label),
            reaches: new Set(
              up.flatMap((peer) => (peer !== process && !unhealthy.includes(peer.label) ? [peer.label] : [])),
            ),
          })),
        );
    };
    observe(0, 20e6, all, []);
    observe(20e6, 30e6, all, frozen);
    const fact = memory.fact(30e6, first!, () => true);
    memory.recordLoss(30.1e6, kept);
    const survivors = all.filter((process) => !ended.includes(process.label));
    observe(30.2e6, 45e6, survivors, frozen);
    memory.updateRecovery(45e6, true);
    return memory.mustBeKnown([fact], 44e6, new Set());
  };
  assert.equal(mustBeKnown([], []), true);
  assert.equal(mustBeKnown([], ['a', 'b']), true, 'the third controller was informed');
  assert.equal(mustBeKnown([], ['a', 'b', 'c']), false, 'no controller survives');
  assert.equal(mustBeKnown(['c'], ['a', 'b']), false, 'the third controller was frozen');
  assert.equal(mustBeKnown(['c'], ['b']), true, 'the controller that reported the fact knows it');
  assert.equal(mustBeKnown(['c'], ['a', 'b'], 30.05e6), true, 'the store still holds the fact');
});

const freeMachine = (id: string, free: Amounts, over: Partial<FreeMachine> = {}): FreeMachine => ({
  ...machine(id),
  machine: id,
  free,
  ...over,
});
const unfinishedJob = (
  over: Partial<JobRequirements> = {},
  shape = 'array',
  on: Record<string, string> = {},
): UnfinishedJob => {
  const wanted = { ...spec, types: null, oneZone: false, ...over };
  const waiting = wanted.tasks - Object.keys(on).length;
  const places = new Map(Object.entries(on).map(([task, zone]) => [task, { zone }]));
  return { spec: wanted, shape, waiting, placed: places, need: amounts(wanted.cpus, wanted.gpus, 2) };
};

test('whether a job fits depends on machine type, zone, spot, spread and the size of a gang', () => {
  const free = amounts(8, 0, 32);
  const inZoneA = freeMachine('m1', free);
  const inZoneB = freeMachine('m2', free, { zone: 'b' });
  const table: [string, boolean, UnfinishedJob, FreeMachine[]][] = [
    ['a task that fits', true, unfinishedJob(), [inZoneA]],
    ['a task with too many CPUs', false, unfinishedJob({ cpus: 9 }), [inZoneA]],
    ['a task that needs a GPU on a machine without', false, unfinishedJob({ gpus: 1 }), [inZoneA]],
    [
      'a task on a machine with too little memory',
      false,
      unfinishedJob(),
      [freeMachine('m1', amounts(8, 0, 1))],
    ],
    ['a machine of another type', false, unfinishedJob({ types: ['g4'] }), [inZoneA]],
    ['a machine in another zone', false, unfinishedJob({ zone: 'b' }), [inZoneA]],
    ['a spot machine, not allowed', false, unfinishedJob(), [freeMachine('m1', free, { spot: true })]],
    [
      'a spot machine, allowed',
      true,
      unfinishedJob({ spot: true }),
      [freeMachine('m1', free, { spot: true })],
    ],
    ['a gang of three on a machine for two', false, unfinishedJob({}, 'ensemble'), [inZoneA]],
    ['a gang of three in two zones', true, unfinishedJob({}, 'ensemble'), [inZoneA, inZoneB]],
    ['a one-zone gang of three, zones with two slots', false, unfinishedJob({ oneZone: true }, 'ensemble'), [inZoneA, inZoneB]], // prettier-ignore
    ['a one-zone gang of three, a zone with four slots', true, unfinishedJob({ oneZone: true }, 'ensemble'), [inZoneA, freeMachine('m3', free), inZoneB]], // prettier-ignore
    ['a spread gang of four, one zone', false, unfinishedJob({ tasks: 4, cpus: 2, spread: true }, 'ensemble'), [inZoneA]], // prettier-ignore
    ['a spread gang of four, two zones', true, unfinishedJob({ tasks: 4, cpus: 2, spread: true }, 'ensemble'), [inZoneA, inZoneB]], // prettier-ignore
    ['the second half of a spread array, zone of the first', false, unfinishedJob({ tasks: 2, spread: true }, 'array', { 'job-1/0': 'a' }), [inZoneA]], // prettier-ignore
    ['the second half of a spread array, another zone', true, unfinishedJob({ tasks: 2, spread: true }, 'array', { 'job-1/0': 'a' }), [inZoneB]], // prettier-ignore
    ['a one-zone job, another zone than that of its tasks', false, unfinishedJob({ oneZone: true }, 'array', { 'job-1/0': 'a' }), [inZoneB]], // prettier-ignore
    ['a one-zone job, the zone of its tasks', true, unfinishedJob({ oneZone: true }, 'array', { 'job-1/0': 'a' }), [inZoneA]], // prettier-ignore
  ];
  for (const [description, fits, job, machines] of table)
    assert.equal(fitsNow(job, machines), fits, description);
});

test('only a job that waits for 90 s although it could run is reported as starved', () => {
  const play = (
    seconds: number,
    stateAt: (second: number) => { job?: UnfinishedJob; free?: Amounts; used?: Amounts; disrupted?: boolean },
  ): string[] => {
    const broken: string[] = [];
    const check = new StarvationCheck((violation) => broken.push(violation));
    for (let second = 0; second < seconds; second++) {
      const { job = unfinishedJob(), free = amounts(8, 0, 32), used = amounts(0, 0, 0), disrupted = false } = stateAt(second); // prettier-ignore
      if (disrupted) check.reset();
      else
        check.check(
          second * 1e6,
          [job],
          [freeMachine('m1', free)],
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
    'resources must have been free for ten seconds before the 90 s begin',
  );
  assert.match(
    play(103, () => ({}))[0]!,
    /^waited: 3 tasks of job-1 for 91 s with enough free resources, at 101000000$/,
  );
  assert.equal(play(400, () => ({})).length, 1, 'a starved job is reported once');
  assert.match(
    play(103, () => ({ job: unfinishedJob({ cpus: 2 }, 'ensemble') }))[0]!,
    /^waited: all 3 tasks of job-1/,
  );
  const notStarved: [string, (second: number) => ReturnType<Parameters<typeof play>[1]>][] = [
    ['too few free resources', () => ({ free: full })],
    [
      'resources free for less than ten seconds at a time',
      (second) => (second % 10 === 0 ? { free: full } : {}),
    ],
    ['resources in use every 80 s', (second) => (second % 80 === 0 ? { free: full } : {})],
    ['the team at its limit', () => ({ used: amounts(8, 0, 4) })],
    ['a gang that would exceed the limit of its team', () => ({ job: unfinishedJob({}, 'ensemble') })],
    ['a fault every 80 s', (second) => ({ disrupted: second % 80 === 0 })],
    ['no waiting task', () => ({ job: unfinishedJob({ tasks: 1 }, 'array', { 'job-1/0': 'a' }) })],
    [
      'a gang that is being placed',
      () => ({ job: unfinishedJob({ cpus: 1 }, 'ensemble', { 'job-1/0': 'a' }) }),
    ],
    ['another task starts every 64 s', (second) => ({ job: unfinishedJob({ tasks: 99 }, 'array', { [`job-1/${second >> 6}`]: 'a' }) })], // prettier-ignore
  ];
  for (const [description, stateAt] of notStarved) assert.deepEqual(play(400, stateAt), [], description);
  // A task that exits is no progress: the other tasks of the job keep waiting.
  const exiting = (second: number): UnfinishedJob =>
    unfinishedJob(
      { tasks: 9 },
      'array',
      second < 50 ? { 'job-1/0': 'a', 'job-1/1': 'a' } : { 'job-1/0': 'a' },
    );
  assert.equal(play(110, (second) => ({ job: exiting(second) })).length, 1);
});

test('only machines that stay unused, or that are rented although free resources suffice, are reported', () => {
  const play = (look: (check: CostCheck, second: number) => void, seconds: number): string[] => {
    const broken: string[] = [];
    const check = new CostCheck((violation) => broken.push(violation));
    for (let second = 0; second < seconds; second++) look(check, second);
    return broken;
  };
  const rentedMachine = (over = {}) => ({
    id: 'm1',
    rentedAt: 0,
    boot: 10e6,
    up: true,
    used: false,
    ...over,
  });
  const unused =
    (over = {}, wanted: UnfinishedJob[] = [], quiescentAt = 0) =>
    (check: CostCheck, second: number) =>
      check.check(second * 1e6, quiescentAt, [rentedMachine(over)], wanted, []);
  assert.deepEqual(play(unused(), 121), []);
  assert.match(play(unused(), 122).join(), /^left_charged: m1 unused for 121 s/);
  assert.deepEqual(play(unused({ used: true }), 300), []);
  assert.deepEqual(play(unused({}, [unfinishedJob()]), 300), [], 'a job waits');
  assert.deepEqual(play(unused({}, [], 100e6), 220), [], 'faults last');
  assert.deepEqual(play(unused({ up: false }), 151), [], 'the machine boots');
  assert.match(play(unused({ up: false }), 152).join(), /^left_charged/);
  const rentAt =
    (free: Amounts, at = 20, wanted: UnfinishedJob[] = [unfinishedJob({ tasks: 2 })]) =>
    (check: CostCheck, second: number) => {
      check.check(second * 1e6, 0, [], wanted, [freeMachine('m1', free)]);
      if (second === at) check.rented(second * 1e6, 1);
    };
  assert.match(play(rentAt(amounts(8, 0, 32)), 30).join(), /^hired_twice: 1 machines at 20000000, with room/);
  assert.deepEqual(
    play(rentAt(amounts(8, 0, 32), 4), 30),
    [],
    'the machine may be the result of an earlier request',
  );
  assert.deepEqual(play(rentAt(amounts(7, 0, 32)), 30), [], 'one of two tasks does not fit');
  assert.deepEqual(
    play(rentAt(amounts(8, 4, 32)), 30),
    [],
    'CPUs of machines with GPUs are not expected to be used',
  );
  assert.match(play(rentAt(amounts(8, 0, 32), 20, []), 30).join(), /^hired_twice/, 'no job waits');
});

test('an invalid submission that is accepted, rejected with a wrong status, or whose field is not named is reported', () => {
  assert.equal(responseViolation(400, 'pieces: is missing', 400, 'pieces'), null);
  assert.equal(responseViolation(400, 'hostsKinds.0: Expected string', 400, 'hostsKinds'), null);
  assert.equal(responseViolation(422, 'unknown team', 422), null);
  assert.equal(responseViolation(503, 'starting', 422), null);
  for (const status of [200, 201, 400, 404])
    assert.match(responseViolation(status, '', 422)!, /^odd_accepted: /);
  assert.match(responseViolation(422, 'pieces: is missing', 400, 'pieces')!, /^odd_accepted: /);
  assert.match(responseViolation(400, 'job description too large', 400, 'pieces')!, /^odd_unnamed: /);
  assert.match(responseViolation(400, undefined, 400, 'pieces')!, /^odd_unnamed: /);
  assert.ok(INVALID_CHANGES.every(([status, , field]) => (status === 400) === (field !== undefined)));
});

test('deleting the record of a completed task before its completion is durable is reported', () => {
  const world = new World(5, { staggeredCompletions: true });
  world.time.run(15e6);
  world.scenarios!.begin.staggeredCompletions();
  world.time.run(world.time.now + 1e6);
  const id = [...world.users.jobs.keys()][0]!;
  assert.ok(world.state.keys.has(activeJobKey(id)), 'the job is accepted');
  const earlyDeletions = (): string[] =>
    world.rules.violations.filter((violation) => violation.startsWith('reaped_early: '));
  world.scenarios!.reaped(`${id}/0`, false);
  world.scenarios!.reaped('job-1/0', true);
  assert.deepEqual(
    earlyDeletions(),
    [],
    'tasks that did not complete, and tasks of other jobs, are not reported',
  );
  world.scenarios!.reaped(`${id}/0`, true);
  assert.equal(earlyDeletions().length, 1);
  while (!world.rules.completed.has(id) && world.time.now < 120e6) world.time.run(world.time.now + 100_000);
  world.time.run(world.time.now + 5e6);
  const [task] = world.rules.completed.get(id)!;
  world.scenarios!.reaped(`${id}/${task}`, true);
  assert.equal(earlyDeletions().length, 1, 'the completion is durable now');
  world.stop();
});

test('a log entry that is written twice is reported, unless the store has lost data', () => {
  const world = new World(5, {});
  const put = (seq: number, value: string | undefined): void => world.state.onPut(logEntryKey(seq), value);
  const rewrites = (): string[] =>
    world.rules.violations.filter((violation) => violation.startsWith('record_rewritten: '));
  put(1001, '{"@":{"t":1}}');
  put(1002, '{"@":{"t":2}}');
  put(1001, undefined);
  put(1001, undefined);
  assert.deepEqual(rewrites(), []);
  put(1001, '{"@":{"t":3}}');
  assert.equal(rewrites().length, 1);
  world.dataLoss.lossTimes.push(world.time.now);
  put(1002, '{"@":{"t":4}}');
  assert.equal(rewrites().length, 1);
  world.stop();
});
