/** GPUs lent and given back: who may take from whom, which way a replica goes, what ends a loan. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { decodeJob, encodeJob } from '../src/jobs/codec.js';
import { applyChange, type Job, type JobSpec, type Urgency } from '../src/jobs/model.js';
import {
  servingCost,
  endsBeforeFetch,
  fetchTime,
  lostWork,
  withinPreemptionBudget,
} from '../src/lending/replica-cost.js';
import { lendersToRepay } from '../src/lending/repayment.js';
import { borrowedBy, lentOf, loansOf } from '../src/lending/loans.js';
import { mayBorrowFrom, entitlementOf, standingOf } from '../src/lending/borrowing-rules.js';
import { loanRepayments, newLoans } from '../src/lending/loan-changes.js';
import { mergeVersions } from '../src/recovery/merge.js';
import { schedule } from '../src/scheduler/cycle.js';
import type { PlacedTask, NodeView, QueuedJob, LendingView } from '../src/scheduler/model.js';
import { job } from './support/job.js';
import { input } from './support/cycle.js';

const ZERO = 0 as Micros;
const at = (s: number): Micros => seconds(s);
const service = (id: string, over: Partial<JobSpec> = {}): Job =>
  job(id, { shape: 'service', urgency: 2, gpus: 1, image: `w-${id}`, imageGb: 20, ...over });
const batch = (id: string, over: Partial<JobSpec> = {}): Job =>
  job(id, { gpus: 1, team: 'blue', estimate: at(300), ...over });

/** The promise in words, over plain sums: what may be stopped for a replica, and what never. */
const plainly = (w: {
  sameTeam: boolean;
  lower: boolean;
  takerHolds: number;
  takerHas: number;
  lenderKeeps: number;
  lenderHas: number;
  size: number;
}): boolean => {
  if (w.sameTeam) return w.lower;
  const forOwn = w.takerHolds + 1 <= w.takerHas;
  const beyond = w.lenderKeeps > w.lenderHas;
  if (forOwn) return w.lower || beyond;
  return w.lower && w.lenderKeeps - w.size >= w.lenderHas;
};

test('the table of who may take from whom says what the plain model says', () => {
  const n = fc.integer({ min: 0, max: 6 });
  fc.assert(
    fc.property(
      fc.record({
        sameTeam: fc.boolean(),
        lower: fc.boolean(),
        takerHolds: n,
        takerHas: n,
        lenderKeeps: n,
        lenderHas: n,
        size: fc.integer({ min: 1, max: 4 }),
      }),
      (w) => {
        const said = mayBorrowFrom({
          sameTeam: w.sameTeam,
          lower: w.lower,
          entitlement: entitlementOf([0, w.takerHolds, 0], [0, 1, 0], { cpus: 0, gpus: w.takerHas }),
          standing: standingOf([0, w.lenderKeeps, 0], [0, w.size, 0], { cpus: 0, gpus: w.lenderHas }),
        });
        assert.equal(said, plainly(w));
      },
    ),
    { seed: 24, numRuns: 3000 },
  );
});

// A small cluster of GPU machines full of other teams' work, and services that want some.
const gpuNode = (id: string, over: Partial<NodeView> = {}): NodeView => ({
  id,
  type: 'g',
  zone: 'a',
  spot: false,
  total: [8, 4, 32],
  images: new Set(),
  open: true,
  ...over,
});
const view = (over: Partial<LendingView> = {}): LendingView => ({
  imageStatus: (j, n) => ({
    gb: j.spec.imageGb,
    gbPerS: 0.5,
    present: n.images.has(j.spec.image),
    fetchedFor: null,
    others: 0,
  }),
  victim: (h) => ({
    ran: h.loss,
    estimate: h.job.spec.estimate,
    checkpoint: h.job.spec.checkpoint,
    save: h.job.spec.save,
  }),
  reachable: () => true,
  due: () => null,
  rental: () => null,
  ...over,
});
const held = (j: Job, machine: string, task = 0, loss = ZERO, zone = 'a'): PlacedTask => {
  j.placed.set(task, { task, attempt: 1, machine, since: ZERO });
  return { job: j, task, machine, zone, leaving: false, loss, left: ZERO };
};
const wants = (j: Job): QueuedJob => ({
  job: j,
  rank: 0,
  starving: false,
  cautious: false,
  mayRent: true,
  tasks: Array.from({ length: j.spec.tasks }, (_, i) => i),
});

const crowd = fc.record({
  machines: fc.integer({ min: 1, max: 5 }),
  lenders: fc.array(
    fc.record({
      team: fc.constantFrom('blue', 'green'),
      gang: fc.boolean(),
      urgency: fc.constantFrom<Urgency>(0, 1, 2),
      tasks: fc.integer({ min: 1, max: 4 }),
      taken: fc.integer({ min: 0, max: 4 }),
    }),
    { maxLength: 8 },
  ),
  takers: fc.array(
    fc.record({ team: fc.constantFrom('red', 'blue'), tasks: fc.integer({ min: 1, max: 4 }) }),
    { minLength: 1, maxLength: 4 },
  ),
  has: fc.record({ red: fc.constantFrom(0, 0, 3), blue: fc.integer({ min: 0, max: 6 }) }),
});

test('a cycle never takes for more than the own guarantee what a lender needs for its own', () => {
  fc.assert(
    fc.property(crowd, (c) => {
      const teams = [
        { name: 'red', guarantee: { cpus: 99, gpus: c.has.red }, limit: { cpus: 0, gpus: 0 } },
        { name: 'blue', guarantee: { cpus: 0, gpus: c.has.blue }, limit: { cpus: 0, gpus: 0 } },
        { name: 'green', guarantee: { cpus: 0, gpus: 2 }, limit: { cpus: 0, gpus: 0 } },
      ];
      const nodes = Array.from({ length: c.machines }, (_, i) => gpuNode(`m${i}`));
      const free = nodes.flatMap((n) => [n.id, n.id, n.id, n.id]);
      const placedTasks: PlacedTask[] = [];
      c.lenders.forEach((l, i) => {
        if (free.length < l.tasks) return;
        const shape = l.gang ? ('gang' as const) : ('array' as const);
        const b = batch(`job-${i}`, { team: l.team, shape, urgency: l.urgency, tasks: l.tasks, cpus: 0 });
        b.preemptedForServices = l.taken;
        for (let k = 0; k < l.tasks; k++) placedTasks.push(held(b, free.shift()!, k, at(5)));
      });
      const holds = (team: string, leaving: ReadonlySet<PlacedTask>): number =>
        placedTasks.filter((h) => h.job.spec.team === team && !leaving.has(h)).length;
      const queued = c.takers.map((s, i) =>
        wants(service(`job-9${i}`, { team: s.team, tasks: s.tasks, cpus: 0 })),
      );
      const r = schedule(input({ teams, nodes, placedTasks, queued, lending: view() }));
      const stopped = new Set(
        r.preemptions.map((s) => placedTasks.find((h) => h.job === s.job && h.task === s.task)!),
      );
      for (const s of r.preemptions) {
        assert.ok(s.taker, 'only services take here');
        const lender = s.job.spec;
        assert.ok(lender.urgency < 2 || s.taker.spec.team !== lender.team);
        const all = r.preemptions.filter((x) => x.job === s.job).length;
        const bound = {
          gang: lender.shape === 'gang',
          tasks: lender.tasks,
          taken: s.job.preemptedForServices,
        };
        assert.ok(withinPreemptionBudget(bound, all), 'taken too often');
        if (lender.shape === 'gang') assert.equal(all, lender.tasks, 'gangs leave whole');
      }
      const toOthers = new Set(
        [...stopped].filter((h) =>
          r.preemptions.some(
            (s) => s.job === h.job && s.task === h.task && s.taker!.spec.team !== h.job.spec.team,
          ),
        ),
      );
      for (const { name, guarantee } of teams) {
        const before = holds(name, new Set());
        // What its own services take stays with the team.
        const kept = holds(name, toOthers);
        const others = r.preemptions.filter((s) => s.job.spec.team === name && s.taker?.spec.team !== name);
        if (kept >= Math.min(before, guarantee.gpus) || others.length === 0) continue;
        // Below its guarantee only for a team that had less than its own.
        const own = others.some((s) => {
          const team = s.taker!.spec.team;
          return holds(team, new Set()) < teams.find((x) => x.name === team)!.guarantee.gpus;
        });
        assert.ok(own, `${name} keeps ${kept} of ${guarantee.gpus}`);
      }
    }),
    { seed: 24, numRuns: 1500 },
  );
});

// Days: lending.toml, seeds 2 and 114. One may go and the lender's team keeps its guarantee; the second with it may not.
test('two that one replica would take together count together', () => {
  const of = (guarantee: number): number => {
    const teams = [
      { name: 'red', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
      { name: 'blue', guarantee: { cpus: 0, gpus: guarantee }, limit: { cpus: 0, gpus: 0 } },
    ];
    const lenders = [0, 1, 2, 3].map((i) =>
      batch(`job-${i}`, { team: 'blue', urgency: 0, tasks: 1, cpus: 0 }),
    );
    const placedTasks = lenders.map((b) => held(b, 'm0', 0, at(5)));
    const queued = [wants(service('job-90', { team: 'red', tasks: 1, cpus: 0, gpus: 2 }))];
    return schedule(input({ teams, nodes: [gpuNode('m0')], placedTasks, queued, lending: view() }))
      .preemptions.length;
  };
  assert.deepEqual([2, 3].map(of), [2, 0]);
});

test('a cycle in which no replica is missing is the same with lending and without', () => {
  fc.assert(
    fc.property(crowd, (c) => {
      const nodes = Array.from({ length: c.machines }, (_, i) => gpuNode(`m${i}`));
      const free = nodes.flatMap((n) => [n.id, n.id, n.id, n.id]);
      const jobs = c.lenders.map((l, i) =>
        batch(`job-${i}`, {
          team: l.team,
          shape: l.gang ? 'gang' : i % 3 === 0 ? 'service' : 'array',
          urgency: l.urgency,
          tasks: l.tasks,
          gpus: i % 3 === 0 && !l.gang ? 0 : 1,
        }),
      );
      const half = jobs.length >> 1;
      const placedTasks = jobs
        .slice(0, half)
        .flatMap((j) =>
          free.length < j.spec.tasks
            ? []
            : Array.from({ length: j.spec.tasks }, (_, k) => held(j, free.shift()!, k, at(5))),
        );
      const all = input({ nodes, placedTasks, queued: jobs.slice(half).map(wants) });
      assert.deepEqual(schedule({ ...all, lending: view() }), schedule(all));
    }),
    { seed: 24, numRuns: 400 },
  );
});

test('the way that serves soonest is taken, unless it loses too much', () => {
  const w = service('job-1');
  const b = batch('job-2', { tasks: 8 });
  const cold = gpuNode('cold');
  const warm = gpuNode('warm', { images: new Set([w.spec.image]) });
  const busy = (id: string, from: number, loss: Micros): PlacedTask[] =>
    [0, 1, 2, 3].map((i) => held(b, id, from + i, loss));
  const placed = (placedTasks: PlacedTask[], nodes: NodeView[], over: Partial<LendingView> = {}) =>
    schedule(input({ nodes, placedTasks, queued: [wants(w)], lending: view(over) }));
  // Free room on both: where the weights are.
  assert.deepEqual([...placed([], [cold, warm]).starts[0]!.on.keys()], ['warm']);
  // Forty seconds sooner are worth ten seconds of another's work.
  const r = placed(busy('warm', 0, at(10)), [cold, warm]);
  assert.deepEqual(
    r.preemptions.map((s) => [s.machine, s.taker?.spec.id]),
    [['warm', 'job-1']],
  );
  // They are not worth five minutes.
  assert.equal(placed(busy('warm', 0, at(290)), [cold, warm]).preemptions.length, 0);
  // What is over before the weights are there is left alone; what runs on is not.
  assert.equal(placed(busy('cold', 0, at(270)), [cold]).preemptions.length, 0);
  assert.equal(placed(busy('cold', 0, at(200)), [cold]).preemptions.length, 1);
  // A machine that an order can't reach now is not told.
  assert.equal(placed(busy('cold', 0, at(200)), [cold], { reachable: () => false }).preemptions.length, 0);
  // A rented machine that is up at once beats others' work.
  const rented = placed(busy('cold', 0, at(200)), [cold], {
    rental: () => ({ boot: at(1), fetch: at(20) }),
  });
  assert.equal(rented.preemptions.length, 0);
  assert.equal(rented.unplaced.length, 1);
});

test('what a way costs', () => {
  const image = { gb: 20, gbPerS: 0.5, present: false, fetchedFor: null, others: 0 };
  assert.equal(fetchTime(image), at(40));
  assert.equal(fetchTime({ ...image, others: 1 }), at(80));
  assert.equal(fetchTime({ ...image, fetchedFor: at(30) }), at(10));
  assert.equal(fetchTime({ ...image, fetchedFor: at(300) }), at(4));
  assert.equal(fetchTime({ ...image, present: true }), ZERO);
  const saves = { ran: at(81), estimate: at(200), checkpoint: at(40), save: at(4) };
  // Just after a checkpoint less is at risk than just before the next.
  assert.ok(lostWork(saves) < lostWork({ ...saves, ran: at(119) }));
  assert.ok(lostWork({ ...saves, checkpoint: ZERO }) > lostWork(saves));
  assert.equal(endsBeforeFetch({ ...saves, ran: at(170) }, at(40)), true);
  assert.equal(endsBeforeFetch({ ...saves, ran: at(150) }, at(40)), false);
  assert.equal(endsBeforeFetch({ ...saves, ran: at(210) }, at(40)), false);
  assert.equal(endsBeforeFetch({ ...saves, estimate: ZERO }, at(1e6)), false);
  const way = { leave: at(2), fetch: at(40), lost: 10e6 };
  assert.equal(servingCost(way, null), 44);
  assert.ok(servingCost(way, at(30)) > servingCost(way, at(60)));
});

test('loans are made by preemptions, repaid by starts, and end with their lender', () => {
  const w = service('job-1', { tasks: 2 });
  const b = batch('job-2', { tasks: 4 });
  const jobs = new Map([w, b].map((j) => [j.spec.id, j]));
  for (let i = 0; i < 4; i++) b.placed.set(i, { task: i, attempt: 1, machine: 'm', since: ZERO });
  const made = newLoans([
    { job: b, task: 0, taker: w },
    { job: b, task: 1, taker: w },
    { job: b, task: 2 },
  ]);
  assert.equal(made.length, 1);
  applyChange(w, { lend: made[0]!.lend }, 1, at(10));
  applyChange(b, { preemptedForServices: made[0]!.taken.get('job-2') }, 1, at(10));
  assert.equal(b.preemptedForServices, 2);
  assert.deepEqual([...w.loans], [['job-2', { gpus: 2000, tasks: 2, since: at(10) }]]);
  assert.equal(borrowedBy(w), 2000);
  assert.equal(lentOf(loansOf(jobs.values())).get('job-2'), 2000);
  // Durable forms and a rebuild carry them.
  const back = decodeJob('job-1', JSON.parse(JSON.stringify(encodeJob(w, 0))), 1);
  assert.deepEqual(back.loans, w.loans);
  const reservations = [
    { generation: 0, revision: 3, job: { ...w, loans: new Map(), preemptedForServices: 0 } },
    { generation: 0, revision: 5, job: w },
  ];
  assert.deepEqual(mergeVersions(reservations).loans, w.loans);
  assert.deepEqual(mergeVersions(reservations.reverse()).loans, w.loans);
  // Told, not gone yet: it stays open. Never told: it ends.
  assert.deepEqual(
    loanRepayments(jobs, new Map(), () => true),
    [],
  );
  assert.equal(loanRepayments(jobs, new Map(), () => false)[0]!.ends[0]!.reason, 'lender whole');
  b.placed.delete(0);
  b.placed.delete(1);
  assert.deepEqual(
    loanRepayments(jobs, new Map(), () => false),
    [],
  );
  // While a more urgent job with GPUs waits, the lender is not put before it.
  const waiting = [{ job: b, tasks: 2 }];
  assert.deepEqual([...lendersToRepay(loansOf([w]), waiting)], [['job-2', 2]]);
  assert.equal(lendersToRepay(loansOf([w]), [...waiting, { job: service('job-3'), tasks: 1 }]).size, 0);
  const one = loanRepayments(jobs, new Map([['job-2', 1]]), () => false);
  applyChange(w, { repay: one[0]!.repay }, 2, at(20));
  assert.deepEqual([...w.loans], [['job-2', { gpus: 1000, tasks: 1, since: at(10) }]]);
  b.cancelled = true;
  const last = loanRepayments(jobs, new Map(), () => false);
  assert.equal(last[0]!.ends[0]!.reason, 'lender over');
  applyChange(w, { repay: last[0]!.repay }, 3, at(30));
  assert.equal(w.loans.size, 0);
});
