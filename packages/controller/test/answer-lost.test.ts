/**
 * A change that is carried out at once, of which its sender hears nothing while others read it (docs/state.md, "What
 * arrives late"): for each kind of write, the store and what is said are the same as if it had been heard.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { encodeAccounts } from '../src/accounts/codec.js';
import { MINUTE, NO_ACCOUNTS } from '../src/accounts/model.js';
import { writePage } from '../src/accounts/upkeep.js';
import { publish } from '../src/calendar/publish.js';
import { calendarUpkeep } from '../src/calendar/cutoff-tracking.js';
import { makeCalendar } from '../src/calendar/model.js';
import { pagesOf } from '../src/calendar/calendars.js';
import {
  ACCOUNTS,
  ACTIVE_JOBS,
  CALENDAR_HEAD,
  CALENDAR_PAGE,
  QUIESCENT,
  FINAL_STATES,
  FOUNDED,
  INCARNATION,
  LARGEST_JOBS,
  LEADER,
  OCCURRENCE,
  LOG_ENTRIES,
  CLASS_DURATIONS,
  TERM,
  ORPHANED_JOB,
  orphanedJobKey,
} from '../src/jobs/keys.js';
import { Leadership } from '../src/leadership/leadership.js';
import { declareMilestone } from '../src/recovery/rebuild.js';
import { reconcileOrphanedJobs } from '../src/recovery/orphaned-jobs.js';
import type { JobEvidence } from '../src/recovery/evidence-store.js';
import { commit } from '../src/scheduler/commit.js';
import { upkeep } from '../src/scheduler/upkeep.js';
import { restore } from '../src/snapshots/restore.js';
import type { StateFailure, Write } from '../src/state-store/client.js';
import { hintWriter } from '../src/state-store/hint.js';
import type { StatePort } from '../src/state-store/port.js';
import { body, faultFreeController, newController, newJob, HEAD, storedJob, S, Service, SETTINGS, VirtualTime } from './support/late-store.js'; // prettier-ignore
import { Luck } from './support/random-source.js';

type SingleController = ReturnType<typeof faultFreeController>;
const sets =
  (prefix: string) =>
  (then: readonly Write[]): boolean =>
    then.some((w) => 'set' in w && w.set.startsWith(prefix));
const drops =
  (prefix: string) =>
  (then: readonly Write[]): boolean =>
    then.some((w) => 'delete' in w && w.delete.startsWith(prefix));
interface Row {
  readonly kind: string;
  /** The change whose answer is lost, the first time that it is sent. */
  readonly match: (then: readonly Write[]) => boolean;
  readonly more?: readonly Write[];
  /** What its sender does; what comes of it is what it says. */
  readonly act: (c: SingleController) => Effect.Effect<unknown, unknown>;
  /** What the store has of it in the end. */
  readonly key: string;
  /** Hints: an equal value twice changes nothing. */
  readonly times?: number;
}
const JOB = 'job-1';
const submitted = { method: 'POST', path: '/work', headers: {}, body: body(JOB, 1) } as never;
/** Whether it is an answer, and the state that it names. */
const said = (a: Effect.Effect<{ status: number; body: string | Buffer }>) =>
  Effect.map(a, ({ status, body: b }) => [
    status < 202,
    (JSON.parse(b.toString()) as { status?: string }).status,
  ]);
const start = (c: SingleController) =>
  Effect.suspend(() =>
    commit(c.turn, [{ job: c.node.jobState.jobs.get(JOB)!, attempt: 7, on: new Map([['m', [0]]]) }]),
  );
const end = (c: SingleController, how: 'done' | 'gone') =>
  Effect.suspend(() => {
    const ends = { done: new Set<number>(), gone: new Set<number>(), failed: new Set<number>() };
    ends[how].add(0);
    c.turn.registry.exits.set(JOB, ends);
    return commit(c.turn, []);
  });
const one = { ...newJob(JOB).spec, tasks: 1 };
const waiting = storedJob(newJob(JOB, { spec: one }));
const times = (n: number, what: Effect.Effect<unknown, unknown>) =>
  Effect.repeat(what, { times: n - 1 }) as Effect.Effect<unknown, unknown>;
const at = (n: number): Micros => micros(n * MINUTE);
const [accounts] = encodeAccounts(
  { ...NO_ACCOUNTS, upTo: 5, closed: at(1), pending: [{ from: at(0), to: at(1), rows: new Map() }] },
  9000,
);
const calendar = makeCalendar(
  {
    ...{ version: 1, until: micros(2e12), notice: micros(0) },
    cutoffs: [
      { name: 'c', lead: micros(0), match: { teams: null, classes: null, shapes: null, urgencies: null } },
    ],
  },
  [{ id: 'c@1', cutoff: 0, at: micros(1.5e12) }],
);
const paged = pagesOf(calendar, SETTINGS.state.valueBytes);
const calendarKeys: Write[] = [
  ...paged.pages.map((p) => ({ set: p.key, value: p.value })),
  { set: CALENDAR_HEAD, value: paged.head },
];
const orphaned: Write = { set: orphanedJobKey(JOB), value: { since: 1e12, tasks: 3 } };
/** An operator's command: should it fail, it is given once more. */
const twice = <A, E>(what: Effect.Effect<A, E>): Effect.Effect<A, E> => Effect.retry(what, { times: 1 });
const content = {
  ...{ incarnation: 'x', generation: 0, revision: 9 },
  entries: new Map(['s/a/now', 's/j/a/job-1', 's/types'].map((k) => [k, { key: k, value: 1, stamp: 1 }])),
} as never;

const rows: readonly Row[] = [
  {
    ...{ kind: 'submission', match: sets(ACTIVE_JOBS), key: ACTIVE_JOBS },
    act: ({ node }) => said(node.users.submit(submitted)),
  },
  {
    ...{ kind: 'withdrawal', match: sets(ACTIVE_JOBS), more: [waiting], key: ACTIVE_JOBS },
    act: ({ node }) => said(node.users.cancel(JOB)),
  },
  {
    ...{
      kind: 'withdrawal of an orphaned job',
      match: sets(FINAL_STATES),
      more: [orphaned],
      key: FINAL_STATES,
    },
    act: ({ node }) => said(node.users.cancel(JOB)),
  },
  {
    ...{ kind: 'record of a start', match: sets(LOG_ENTRIES), more: [waiting], key: LOG_ENTRIES },
    act: (c) => Effect.zipRight(start(c), Effect.sync(() => c.node.jobState.jobs.get(JOB)!.placed.get(0)?.attempt)), // prettier-ignore
  },
  {
    ...{ kind: 'record of an end', more: [waiting], key: LOG_ENTRIES },
    match: (then) => sets(LOG_ENTRIES)(then) && JSON.stringify(then).includes('"d":'),
    // It is not said again, and what is told is its end.
    act: (c) =>
      Effect.zipRight(
        Effect.zipRight(start(c), end(c, 'done')),
        Effect.map(said(c.node.users.poll(JOB)), (s) => [c.turn.registry.exits.size, s]),
      ),
  },
  {
    ...{ kind: 'closing', match: sets(FINAL_STATES), more: [waiting], key: FINAL_STATES },
    act: (c) =>
      Effect.zipRight(
        Effect.zipRight(start(c), end(c, 'done')),
        Effect.zipRight(times(3, upkeep(c.turn)), said(c.node.users.poll(JOB))),
      ),
  },
  {
    ...{ kind: 'closing of a tied job', match: sets(OCCURRENCE), key: OCCURRENCE },
    more: [...calendarKeys, storedJob(newJob(JOB, { spec: { ...one, tie: 'c@1' }, cancelled: true }))],
    act: (c) => times(3, upkeep(c.turn)),
  },
  {
    ...{
      kind: 'folding, with the first checkpoint',
      match: drops(LOG_ENTRIES),
      more: [waiting],
      key: ACCOUNTS,
    },
    act: (c) =>
      Effect.gen(function* () {
        for (let n = 0; n < 5; n++) yield* n % 2 === 0 ? start(c) : end(c, 'gone');
        yield* times(4, upkeep(c.turn));
        return [
          c.node.jobState.missingRecord(),
          c.service.view().missingRecord(),
          c.service.view().logTail.size,
        ];
      }),
  },
  {
    ...{ kind: 'page of the accounts', match: sets('s/a/p/'), key: 's/a/p/' },
    more: [{ set: ACCOUNTS, value: accounts }],
    act: (c) => times(2, Effect.zipRight(Effect.ignore(writePage(c.turn)), c.node.watcher.refresh)),
  },
  {
    ...{ kind: 'orphaned job', match: sets(ORPHANED_JOB), key: ORPHANED_JOB },
    act: (c) => {
      c.turn.registry.unknownJobs.set(JOB, new Set(['0@m']));
      return Effect.zipRight(times(2, reconcileOrphanedJobs(c.turn)), said(c.node.users.poll(JOB)));
    },
  },
  {
    ...{ kind: 'quiescent', match: sets(QUIESCENT), key: QUIESCENT, times: 2 },
    act: (c) => declareMilestone(c.turn as never, QUIESCENT),
  },
  {
    ...{ kind: 'calendar: page', match: sets(CALENDAR_PAGE), key: CALENDAR_PAGE },
    act: ({ service }) => Effect.map(twice(publish(service.port(), SETTINGS.state, calendar)), (p) => p.ok),
  },
  {
    ...{ kind: 'calendar: head', match: sets(CALENDAR_HEAD), key: CALENDAR_HEAD },
    act: ({ service }) => Effect.map(twice(publish(service.port(), SETTINGS.state, calendar)), (p) => p.ok),
  },
  {
    ...{
      kind: 'what classes have shown',
      match: sets(CLASS_DURATIONS),
      more: calendarKeys,
      key: CLASS_DURATIONS,
    },
    act: (c) => {
      c.turn.classSamples.ratios.set('x', [1, 2]);
      return times(2, calendarUpkeep(c.turn));
    },
  },
  {
    ...{ kind: 'hint', match: sets(LARGEST_JOBS), key: LARGEST_JOBS, times: 2 },
    act: (c) => {
      const write = hintWriter(c.turn.store, { key: TERM, stamp: 1 }, LARGEST_JOBS);
      return times(3, write({ x: [[JOB, 3]] }));
    },
  },
];

/** Plays a row; `heard`: with no answer lost. */
const play = (row: Row, heard: boolean) => {
  const told: JobEvidence[] = [];
  const c = faultFreeController(row.more, (f) => Effect.sync(() => void told.push(f)));
  const { service, time, node } = c;
  const other = newController(time, service, 1);
  c.go(other.watcher.refresh);
  let applied = 0;
  const transact = service.transact.bind(service);
  service.transact = (when, then, by) => {
    const o = transact(when, then, by);
    if (o.ok && row.match(then)) applied++;
    return o;
  };
  /** What the other one and then the sender say of the job while the sender waits for its answer. */
  const asked: unknown[] = [];
  let lost = 0;
  service.losesAnswerTo = (then) => {
    if (heard || lost > 0 || !row.match(then)) return false;
    lost++;
    const ask = Effect.gen(function* () {
      const { revision } = service;
      for (const x of [other, node]) asked.push((yield* x.users.poll(JOB)).body.toString());
      asked.push(other.jobState.revision >= revision);
    });
    time.after(1, () => time.fork(ask));
    return true;
  };
  let says: unknown;
  c.go(
    Effect.map(row.act(c), (s) => (says = s)),
    60,
  );
  // A hint may be written twice; nothing else is.
  assert.equal(applied, heard ? 1 : (row.times ?? 1), `${row.kind} was carried out ${applied} times`);
  assert.ok(!node.lossDetector.suspected, `${row.kind}: a data loss is suspected`);
  const store = service.entries(row.key).map((e) => [e.key, e.value]);
  return { store, says, lost, asked, told: told.map((f) => f.id) };
};

for (const row of rows)
  test(`carried out, and nothing heard of it: ${row.kind}`, () => {
    const [heard, unheard] = [play(row, true), play(row, false)];
    assert.equal(unheard.lost, 1, 'no answer was lost');
    assert.ok(heard.store.length > 0);
    assert.deepEqual(unheard.store, heard.store);
    assert.deepEqual(unheard.says, heard.says);
    const [others, own, read] = unheard.asked;
    assert.deepEqual([own, read], [others, true], 'the sender says something older than who has read it');
    // Whoever is told of a change of a job by a user's request knows that two others were told before.
    assert.deepEqual(unheard.told, heard.told);
  });

test('a restore of which a part is carried out unheard goes on and ends', () => {
  const played = [0, 1, 2].map((n) => {
    const time = new VirtualTime(1);
    const service = new Service(time, new Luck(1));
    service.isFaulty = false;
    let sent = 0;
    service.losesAnswerTo = () => ++sent === n;
    let done: unknown;
    const limits = { txnOps: 3, valueBytes: 9000 };
    time.fork(
      Effect.map(
        restore(content, service.port(), limits, () => undefined),
        (r) => (done = r),
      ),
    );
    time.run(time.now + 30 * S);
    return { done, store: service.entries('s/').map((e) => e.key) };
  });
  assert.deepEqual(played[0]!.done, { ok: true, written: 3, resumed: false });
  for (const p of played) assert.deepEqual(p, played[0]);
});

/** Controllers that try for the lead, over a service with leases. */
const elections = (keys: readonly Write[], labels: readonly string[], seed = 3) => {
  const time = new VirtualTime(seed);
  const service = new Service(time, new Luck(seed));
  service.isFaulty = false;
  service.transact([], keys);
  const leases = new Map<number, () => void>();
  let last = 0;
  const over = (id: number): void => {
    leases.get(id)?.();
    leases.delete(id);
    const e = service.keys.get(LEADER);
    if ((e?.value as { lease?: number } | undefined)?.lease === id)
      service.transact([], [{ delete: LEADER }]);
  };
  const arm = (id: number, ttl: number): void => {
    leases.get(id)?.();
    leases.set(
      id,
      time.after(ttl, () => over(id)),
    );
  };
  /** What is carried out and not answered, of the leases: how many of each are still to be lost. */
  const lose = { grant: 0, extend: 0, release: 0 };
  const ttls = new Map<number, number>();
  const reply = <A>(what: keyof typeof lose, a: A): Effect.Effect<A, StateFailure> => {
    if (lose[what] === 0) return Effect.as(Effect.sleep(5), a);
    lose[what]--;
    return Effect.zipRight(Effect.sleep(900), Effect.fail(new NoAnswer({ reason: 'timeout' })));
  };
  const nodes = labels.map((label, who) => {
    const { jobState, lossDetector, store, watcher } = newController(time, service, who);
    const raw: StatePort = {
      ...service.port(who),
      grant: (ttl) => Effect.suspend(() => (ttls.set(++last, ttl), arm(last, ttl), reply('grant', last))),
      extend: (id) =>
        Effect.suspend(() => {
          const there = leases.has(id);
          if (there) arm(id, ttls.get(id)!);
          return reply('extend', there);
        }),
      release: (id) => Effect.suspend(() => (over(id), reply('release', undefined))),
    };
    const port: StatePort = Object.assign(Object.create(store) as StatePort, {
      ...{ grant: raw.grant, extend: raw.extend, release: raw.release },
      transact: store.transact.bind(store),
    });
    const peers = {
      ...{ confirmedUntil: () => 0, highestTerm: () => 0, candidates: () => [], allAsked: () => true },
      unchangedSince: () => Number.NEGATIVE_INFINITY,
    };
    const contacts = { window: 1e12, recentCount: () => 0, cutOffReason: () => null, backoff: () => 0 };
    const leadership = new Leadership(
      ...([{ ...SETTINGS, label }, port, raw, lossDetector, () => undefined, watcher, jobState] as const),
      ...([peers as never, contacts as never, time.clock] as const),
    );
    return { leadership, jobState, watcher, lossDetector };
  });
  for (const { watcher } of nodes) time.fork(watcher.run);
  let until = time.now;
  const run = (forS: number): void => {
    time.run((until += forS * S));
    assert.deepEqual(time.faults, []);
  };
  return { time, service, nodes, lose, run };
};

test('a campaign that is carried out unheard is no lead to give back: its own node takes it up', () => {
  // Seeds in which its read comes before its right is over.
  for (const seed of [3, 5, 7]) {
    const { time, service, nodes, run } = elections(HEAD, ['n0', 'n1'], seed);
    const [first, second] = nodes as [(typeof nodes)[0], (typeof nodes)[0]];
    let lost = 0;
    service.losesAnswerTo = (then) => lost === 0 && sets(LEADER)(then) && ++lost === 1;
    run(5);
    time.fork(first.leadership.run);
    for (let n = 0; n < 60 && second.jobState.leader === null; n++) run(0.05);
    assert.equal(lost, 1);
    // The others have read that it leads; it does not know.
    assert.equal(second.jobState.leader?.node, 'n0');
    assert.equal(first.leadership.currentTermNumber(), null);
    time.fork(second.leadership.run);
    for (let n = 0; n < 30 && first.leadership.currentTermNumber() === null; n++) run(0.05);
    for (let n = 0; n < 400; n++) {
      run(0.05);
      assert.equal(first.leadership.currentTermNumber(), 2, `seed ${seed}, after ${n / 20} s`);
    }
    assert.equal(service.view().term, 2);
  }
});

test('a lease that is extended unheard keeps its lead, twice in a row too', () => {
  for (const times of [1, 2]) {
    const { time, service, nodes, lose, run } = elections(HEAD, ['n0', 'n1']);
    for (const { leadership } of nodes) time.fork(leadership.run);
    run(5);
    const leader = nodes.find((x) => x.leadership.currentTermNumber() === 2)!;
    lose.extend = times;
    let without = 0;
    for (let n = 0; n < 200; n++) {
      run(0.1);
      assert.ok(leader.leadership.isCurrent(2), `after ${n / 10} s`);
      if (leader.leadership.currentTermNumber() === null) without++;
    }
    assert.equal(lose.extend, 0);
    assert.ok(without <= (times === 1 ? 0 : 10), `without right for ${without / 10} s`);
    assert.equal(service.view().term, 2);
  }
});

test('a lead that is given back unheard, and a lease granted unheard, leave one leader', () => {
  const { time, service, nodes, lose, run } = elections(HEAD, ['n0', 'n1']);
  for (const { leadership } of nodes) time.fork(leadership.run);
  run(5);
  const leader = nodes.find((x) => x.leadership.currentTermNumber() !== null)!;
  Object.assign(lose, { release: 1, grant: 1 });
  time.fork(leader.leadership.stepDown('handover', 0));
  run(0.05);
  assert.equal(leader.leadership.currentTermNumber(), null);
  run(8);
  assert.deepEqual(lose, { grant: 0, extend: 0, release: 0 });
  assert.equal(nodes.filter((x) => x.leadership.currentTermNumber() === service.view().term).length, 1);
});

test('the first incarnation, and one after a loss, carried out unheard are begun once', () => {
  const first = elections([], ['n0', 'n1']);
  let lost = 0;
  first.service.losesAnswerTo = (then) => lost === 0 && sets(FOUNDED)(then) && ++lost === 1;
  for (const { leadership } of first.nodes)
    first.time.fork(Effect.ignore(leadership.foundStore).pipe(Effect.delay(500), Effect.forever));
  first.run(10);
  assert.equal(lost, 1);
  assert.equal(first.service.entries(INCARNATION).length, 1);

  const again = elections(HEAD, ['n0', 'n1']);
  const [node] = again.nodes;
  again.run(5);
  lost = 0;
  again.service.losesAnswerTo = (then) => lost === 0 && sets(INCARNATION)(then) && ++lost === 1;
  const outcomes: string[] = [];
  const refound = Effect.either(node!.leadership.refoundStore);
  again.time.fork(
    Effect.repeat(
      Effect.map(refound, (o) => outcomes.push(o._tag === 'Left' ? o.left._tag : String(o.right))),
      { times: 1 },
    ),
  );
  again.run(5);
  // The second look shows a newer incarnation: it is no longer this node's to begin.
  assert.deepEqual(outcomes, ['NoAnswer', 'false']);
  const born = again.service.entries(INCARNATION);
  assert.equal(born.length, 1);
  assert.equal((born[0]!.value as { g: number }).g, 1);
});

test('an acceptance or withdrawal whose answer was lost is told to the others before its user', () => {
  const told: JobEvidence[] = [];
  const c = faultFreeController([], (f) => Effect.sync(() => void told.push(f)));
  let lost = 0;
  c.service.losesAnswerTo = () => ++lost % 2 === 1;
  c.go(Effect.map(said(c.node.users.submit(submitted)), (s) => assert.deepEqual(s, [true, 'pending'])));
  c.go(Effect.map(said(c.node.users.cancel(JOB)), (s) => assert.deepEqual(s, [true, 'aborted'])));
  const stamp = c.service.keys.get(ACTIVE_JOBS + JOB)!.stamp;
  assert.deepEqual(
    told.map((f) => [f.id, f.revision]),
    [
      [JOB, stamp - 1],
      [JOB, stamp],
    ],
  );
});
