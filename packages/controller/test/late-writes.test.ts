/** Transactions without an answer that are carried out late, after newer ones of the same controller (docs/state.md). */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
import { Effect } from 'effect';
import { encodeAccounts } from '../src/accounts/codec.js';
import { MINUTE, NO_ACCOUNTS } from '../src/accounts/model.js';
import { pagesOf } from '../src/accounts/pages.js';
import { joinShares } from '../src/accounts/share.js';
import { writePage } from '../src/accounts/upkeep.js';
import { decodeFinalState, decodeLogEntry, encodeBundle } from '../src/jobs/codec.js';
import {
  ACCOUNTS,
  ACTIVE_JOBS,
  activeJobKey,
  jobUnchanged,
  FINAL_STATES,
  INCARNATION,
  REBUILD,
  LOG_ENTRIES,
  logEntryKey,
  TERM,
  orphanedJobKey,
} from '../src/jobs/keys.js';
import { GatheredViews } from '../src/recovery/gathered-views.js';
import { rebuild } from '../src/recovery/rebuild.js';
import { writeBack } from '../src/recovery/write-back.js';
import { commit } from '../src/scheduler/commit.js';
import { upkeep } from '../src/scheduler/upkeep.js';
import type { Start } from '../src/scheduler/model.js';
import type { CycleContext } from '../src/scheduler/cycle-context.js';
import { restore } from '../src/snapshots/restore.js';
import type { StatePort } from '../src/state-store/port.js';
import { job } from './support/job.js';
import { Luck } from './support/random-source.js';
import {
  body,
  faultFreeController,
  newController,
  newJob,
  HEAD,
  storedJob,
  rebuilding,
  S,
  Service,
  SETTINGS,
  VirtualTime,
  wire,
} from './support/late-store.js';

/** One day, by its seed: users, controllers that lead in turn, and rules that are looked at with every commit. */
const day = (seed: number) => {
  const time = new VirtualTime(seed);
  const luck = new Luck(seed);
  const service = new Service(time, luck);
  const must = (holds: boolean, what: string): void => {
    if (!holds) time.faults.push(`seed ${seed}, ${((time.now - 1e12) / S).toFixed(1)} s: ${what}`);
  };
  const same = (a: Iterable<number>, b: Iterable<number>): boolean =>
    [...a].sort().join() === [...b].sort().join();

  // What the records say, read apart from the service's own code: by job, tasks done and placed.
  const truth = new Map<string, { tasks: number; done: Set<number>; placed: Set<number> }>();
  const used = new Set<string>();
  const over = new Map<string, string>();
  /** Told to its user, in the order of the answers. */
  const told = new Map<string, string>();
  const asked = new Set<string>();
  let commits = 0;
  /** Answers that were given while the service was refused. */
  let answered = 0;
  let term = 0;
  /** The last record that is gone. */
  let folded = 0;
  const look = (): void => {
    const view = service.view();
    must(view.missingRecord() === null, 'a record is missing');
    must(view.checkpoint.upTo >= folded, `the accounts lack record ${folded}`);
    for (const id of view.jobs.keys()) must(!over.has(id), `${id} is there after its end`);
    for (const [id, t] of truth) {
      const j = view.jobs.get(id);
      if (j === undefined) continue;
      must(same(j.done, t.done), `${id}: tasks done`);
      must(same(j.placed.keys(), t.placed), `${id}: tasks placed`);
    }
  };
  const truthOf = (id: string) => {
    let t = truth.get(id);
    if (!t) truth.set(id, (t = { tasks: 0, done: new Set(), placed: new Set() }));
    return t;
  };
  service.onCommit = (key, value, by) => {
    if (key === TERM) term = (value as { term: number }).term;
    must(by >= term, `${key} by term ${by} under term ${term}`);
    if (value === undefined) {
      if (key.startsWith(LOG_ENTRIES)) folded = Math.max(folded, Number(key.slice(LOG_ENTRIES.length)));
      return;
    }
    if (key.startsWith(ACTIVE_JOBS)) must(!over.has(key.slice(ACTIVE_JOBS.length)), `${key} after its end`);
    if (key.startsWith(FINAL_STATES)) {
      const id = key.slice(FINAL_STATES.length);
      const { status } = decodeFinalState(value);
      must((over.get(id) ?? status) === status, `${key} was ${over.get(id)}, is ${status}`);
      if (told.get(id) === 'done') must(status === 'done', id);
      if (status === 'done') must(truthOf(id).done.size === truthOf(id).tasks, `${id} is not done`);
      else must(asked.has(id), `${id} is cancelled by nobody`);
      over.set(id, status);
    }
    if (key.startsWith(LOG_ENTRIES)) {
      must(!used.has(key), `${key} for the second time`);
      used.add(key);
      for (const [id, c] of decodeLogEntry(Number(key.slice(LOG_ENTRIES.length)), value, 1).jobs) {
        const t = truthOf(id);
        for (const n of c.done ?? []) t.done.add(n);
        for (const n of [...(c.done ?? []), ...(c.gone ?? [])])
          must(t.placed.delete(n), `${key}: ${id}/${n} ends again`);
        for (const n of [...(c.start?.on.values() ?? [])].flat()) {
          const attempt = `${id}/${n}#${c.start!.attempt}`;
          must(!used.has(attempt) && !t.placed.has(n), `${attempt} is started twice`);
          must(!over.has(id) && told.get(id) !== 'aborted', `${attempt} is started after its end`);
          used.add(attempt);
          t.placed.add(n);
        }
      }
    }
    if (++commits % 5 === 0) look();
  };

  // As a rebuild leaves it: some jobs in a pack, records that went by.
  const packed = [1, 2, 3, 4, 5].map((n) => ({
    ...job(`job-9${n}`, { tasks: 3, submitted: time.clock() }),
    ...{ attempt: 4, done: new Set([0]), lastSequence: 7 },
  }));
  for (const j of packed) truth.set(j.spec.id, { tasks: 3, done: new Set([0]), placed: new Set() });
  service.transact([], [...HEAD, { set: 's/p/1-000000', value: wire(encodeBundle(packed)) }]);

  const nodes = [newController(time, service, 0), newController(time, service, 1)];
  const any = () => nodes[luck.int(2)]!;
  const nap = (a: number, b: number) => Effect.suspend(() => Effect.sleep(luck.between(a, b) * 1000));

  const user = (id: string, tasks: number) =>
    Effect.gen(function* () {
      const ask = (go: Effect.Effect<{ status: number; body: string | Buffer }>) =>
        Effect.gen(function* () {
          const before = told.get(id);
          const out = service.refused.size;
          const a = yield* go;
          if (before !== undefined) must(a.status === 200 || a.status >= 429, `${id} ${a.status}`);
          if (a.status > 201) return null;
          const { status } = JSON.parse(a.body.toString()) as { status: string };
          const final = (s: string | undefined): boolean => s === 'done' || s === 'aborted';
          // While it is refused to all of them, they say what is over and nothing else.
          if (out === 2 && service.refused.size === 2) must(final(status), `${id} is ${status} in an outage`);
          answered += out;
          if (final(before)) must(status === before, `${id}: an older answer`);
          if (status === 'done') must(truthOf(id).done.size === tasks, `${id} is not done`);
          if (!final(told.get(id))) told.set(id, status);
          return status;
        });
      const request = { method: 'POST', path: '/work', headers: {}, body: body(id, tasks) } as never;
      yield* nap(0, 40);
      while ((yield* ask(any().users.submit(request) as never)) === null) yield* nap(0.1, 1);
      const cancels = luck.chance(0.7) ? time.now + luck.between(0, 15 * S) : Infinity;
      for (const end = time.now + 80 * S; time.now < end;) {
        yield* nap(0.2, 3);
        const node = any();
        if (time.now > cancels) asked.add(id);
        if (asked.has(id) && luck.chance(0.7)) yield* ask(node.users.cancel(id) as never);
        else if (luck.chance(0.2)) yield* ask(node.users.submit(request) as never);
        else yield* ask(node.users.poll(id) as never);
      }
    });

  /** One term as leader: starts what waits, ends what runs, tidies up beside it. */
  const lead = (t: CycleContext) =>
    Effect.gen(function* () {
      yield* Effect.fork(
        time.watched(
          upkeep(t).pipe(Effect.zipRight(nap(0.1, 0.4)), Effect.repeat({ while: () => t.isCurrentTerm() })),
        ),
      );
      while (t.isCurrentTerm()) {
        const starts: Start[] = [];
        for (const j of t.jobState.jobs.values()) {
          const ends = { done: new Set<number>(), gone: new Set<number>(), failed: new Set<number>() };
          for (const n of j.placed.keys())
            if (!t.registry.hasObservedExit(j.spec.id, n) && luck.chance(0.25))
              ends[luck.chance(j.cancelled ? 0.6 : 0.3) ? 'gone' : 'done'].add(n);
          if (ends.done.size + ends.gone.size > 0 && !t.registry.exits.has(j.spec.id))
            t.registry.exits.set(j.spec.id, ends);
          const free = Array.from({ length: j.spec.tasks }, (_, n) => n).filter(
            (n) => !j.done.has(n) && !j.placed.has(n) && luck.chance(0.7),
          );
          if (!j.cancelled && free.length > 0)
            starts.push({
              job: j,
              attempt: Math.max(t.jobState.attemptBase, j.attempt) + 1,
              on: new Map([['m', free]]),
            });
        }
        yield* commit(t, starts);
        yield* nap(0.05, 0.5);
      }
    });
  const reigns = Effect.gen(function* () {
    for (;;) {
      const node = any();
      yield* Effect.ignore(node.watcher.refresh);
      const [term, stamp] = [node.jobState.term + 1, node.jobState.termRevision];
      const value = { term, a: node.jobState.attemptBase + 256 };
      const o = yield* Effect.either(
        node.store.transact([{ key: TERM, stamp }], [{ set: TERM, value }], 0 as never, 1200),
      );
      if (o._tag === 'Left' || !o.right.ok) continue;
      while ((yield* Effect.isFailure(node.watcher.refresh)) || node.jobState.term < term)
        yield* nap(0.1, 0.2);
      if (node.jobState.term === term)
        yield* Effect.fork(time.watched(lead(node.leaderTerm(term, o.right.revision))));
      yield* nap(3, 20);
    }
  });
  time.fork(
    Effect.zipRight(
      Effect.forEach(nodes, (n) => n.watcher.refresh.pipe(Effect.retry({ times: 9 }))),
      reigns,
    ),
  );
  for (let n = 0; n < 10; n++) {
    const id = `job-${n}`;
    truthOf(id).tasks = 1 + luck.int(3);
    time.fork(user(id, truthOf(id).tasks));
  }
  for (const j of packed) time.fork(user(j.spec.id, 3));
  // Refused to one controller, then to all for longer than a cancellation may take.
  time.after(30 * S, () => service.refused.add(0));
  time.after(36 * S, () => service.refused.add(1));
  time.after(36 * S + SETTINGS.workers.cancel + 9 * S, () => service.refused.clear());
  time.run(1e12 + 110 * S);
  must(answered > 0, 'nobody asked in the outage');
  service.isFaulty = false;
  time.run(1e12 + 170 * S);
  look();
  for (const n of nodes) must(!n.lossDetector.suspected, 'a data loss is suspected');
  for (const id of truth.keys()) {
    must(over.has(id), `${id} is not over`);
    if (['done', 'aborted'].includes(told.get(id)!))
      must((told.get(id) === 'done') === (over.get(id) === 'done'), `${id}: what was told`);
  }
  assert.deepEqual(time.faults, []);
  return service.lateOutcomes;
};

test('what is carried out late takes nothing back, starts nothing again and is applied once', () => {
  const late = new Map<string, [number, number]>();
  for (let seed = 1; seed <= 16; seed++)
    for (const [kind, [done, refused]] of day(seed)) {
      const n = late.get(kind) ?? [0, 0];
      late.set(kind, [n[0] + done, n[1] + refused]);
    }
  // Of each kind of write some were carried out late, and some found that they no longer held.
  for (const kind of [
    '+s/j/a/',
    '+s/r/00',
    '+s/term',
    '+s/j/z/,-s/j/a/',
    '+s/a/no,+s/j/a/,-s/r/00',
    '-s/r/00',
  ])
    for (const n of late.get(kind) ?? [0, 0]) assert.ok(n > 0, `${kind}: ${late.get(kind)?.join()}`);
});

// A record hangs on the one before it. The first one has none: a copy of it, minutes late, found it folded and gone, and
// came back as a record with a gap behind it, which a controller that reads anew takes for a loss.
test('copies of the first record and of the first folding change nothing once others have followed', () => {
  const { service, node, go, turn } = faultFreeController([
    storedJob(newJob('job-1')),
    storedJob(newJob('job-2')),
  ]);
  for (const id of ['job-1', 'job-2']) {
    const gone = Effect.sync(() => turn.registry.exits.set(id, { done: new Set(), gone: new Set([0]), failed: new Set() })); // prettier-ignore
    for (let n = 0; n < 6; n++) go(Effect.zipRight(gone, commit(turn, [])));
    service.transact([], [{ delete: activeJobKey(id) }]);
    go(node.watcher.refresh);
    for (let n = 0; n < 4; n++) go(upkeep(turn));
  }
  assert.ok(service.keys.has(logEntryKey(12)) && !service.keys.has(logEntryKey(8)));
  const folding = service.sent.find(([, then]) => then.some((w) => 'set' in w && w.set === ACCOUNTS))!;
  for (const [when, then] of [service.sent[0]!, folding]) service.transact(when, then);
  assert.equal(service.view().missingRecord(), null);
  assert.ok(service.view().checkpoint.upTo >= 8);
});

// Folding waits for its part of the budget, and writes a job's key as it was: cancelled, its last task still running.
test('a cancelled job whose last task completes while its key is folded stays cancelled', () => {
  const { service, node, go, turn } = faultFreeController([
    storedJob(newJob('job-1')),
    storedJob(newJob('job-2')),
  ]);
  const one = [...Array(3).keys()];
  go(commit(turn, [{ job: node.jobState.jobs.get('job-1')!, attempt: 1, on: new Map([['m', one]]) }]));
  const ends = (id: string, done: number[], gone: number[]): void =>
    void turn.registry.exits.set(id, { done: new Set(done), gone: new Set(gone), failed: new Set() });
  go(node.users.cancel('job-1'));
  assert.ok(node.jobState.jobs.get('job-1')!.cancelled);
  ends('job-1', [0], []);
  go(commit(turn, []));
  // Until that record is among those to be folded.
  for (let n = 0; n < 4; n++) {
    ends('job-2', [], [0]);
    go(commit(turn, []));
  }
  const { port } = service;
  const slow: StatePort = {
    ...port(),
    transact: (...a) => Effect.zipRight(Effect.sleep(1000), port().transact(...a)),
  };
  const before = service.keys.get(activeJobKey('job-1'))!.stamp;
  ends('job-1', [1, 2], []);
  go(Effect.all([upkeep({ ...turn, store: slow }), commit(turn, [])], { concurrency: 2 }), 3);
  assert.ok(service.keys.get(activeJobKey('job-1'))!.stamp > before, 'it must have been folded');
  for (const c of [node.jobState, service.view()]) {
    const j = c.jobs.get('job-1')!;
    assert.deepEqual([j.done.size, j.cancelled], [3, true]);
  }
  go(upkeep(turn));
  assert.deepEqual(decodeFinalState(service.keys.get('s/j/z/job-1')!.value).status, 'cancelled');
});

test('a key that somebody has changed is no lost key when the read that would show it fails', () => {
  const { service, node, go, turn } = faultFreeController([storedJob(newJob('job-1'))]);
  service.transact([], [storedJob(newJob('job-1', { cancelled: true }))]);
  service.ignoresReads = true;
  go(commit(turn, [{ job: node.jobState.jobs.get('job-1')!, attempt: 1, on: new Map([['m', [0]]]) }]));
  assert.ok(!node.lossDetector.suspected && service.entries(LOG_ENTRIES).length === 0);
});

// After a cut of a minute the watch and a shared read are both told to read everything anew. The slower of the two set the
// view back, and a follow that was on its way went on from where it had been before: what lay between was never seen.
test('a view never goes back, however long its reads take', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const time = new VirtualTime(seed);
    const service = new Service(time, new Luck(seed));
    service.transact([], HEAD);
    const { jobState, watcher, lossDetector } = newController(time, service);
    let n = 0;
    let last = -1;
    const write = (): void => {
      service.transact([], [storedJob(newJob(`job-${++n}`))]);
      if (n % 40 === 0) service.oldest = service.revision;
      if (n === 210) {
        // Another incarnation, and this node leaves its view: what it was reading is of the old one.
        service.keys.clear();
        service.transact([], [{ set: `${INCARNATION}y`, value: { g: 1, t: 0, s: 0 } }, ...HEAD.slice(1)]);
        jobState.clear();
        watcher.loaded = false;
        lossDetector.leaveIncarnation();
        last = -1;
      }
      if (jobState.revision < last)
        time.faults.push(`seed ${seed}: revision ${jobState.revision} after ${last}`);
      last = jobState.revision;
      if (n < 400) time.after(0.05 * S, write);
    };
    write();
    time.fork(watcher.run);
    time.fork(Effect.forever(Effect.ignore(watcher.refresh)));
    time.run(time.now + 40 * S);
    assert.deepEqual(time.faults, []);
    assert.equal(jobState.jobs.size, service.entries(ACTIVE_JOBS).length, `seed ${seed}`);
  }
});

// A job that nobody heard of remembered may be submitted again before its holder is heard.
test('an acceptance that arrives after a rebuild has found the job changes nothing of it', () => {
  const state = { attempt: 4, done: new Set([0]), lastSequence: 7 };
  const known = newJob('job-1', state);
  const { service, node, go, turn } = faultFreeController([
    { set: 's/p/1-0', value: encodeBundle([known, newJob('job-2', { ...state, cancelled: true })]) },
  ]);
  service.transact([], [storedJob(newJob('job-1'))]);
  go(node.watcher.refresh);
  // The other one is over, and the pack is written anew.
  go(upkeep(turn));
  go(upkeep(turn));
  assert.equal(service.keys.has('s/j/z/job-2'), true);
  // Nor does a cancellation of the packed one that comes after its end.
  assert.ok(!service.transact(jobUnchanged('job-2', 0), [storedJob(newJob('job-2'))]).ok);
  for (const c of [node.jobState, service.view()]) {
    const j = c.jobs.get('job-1')!;
    assert.deepEqual(
      [[...j.done], j.attempt, j.revision],
      [[0], 4, service.keys.get(activeJobKey('job-1'))!.stamp],
    );
  }
});

test('a rebuild that is complete is not recorded as complete again, with the accounts of then', () => {
  const { service, go, r } = rebuilding();
  const { port } = service;
  // The first one that ends it is carried out and not answered.
  let lost = 0;
  const store: StatePort = {
    ...port(),
    transact: (when, then, ...rest) =>
      Effect.flatMap(port().transact(when, then, ...rest), (o) =>
        then.some((w) => 'delete' in w && w.delete === REBUILD) && lost++ === 0
          ? Effect.fail(new NoAnswer({ reason: 'timeout' }))
          : Effect.succeed(o),
      ),
  };
  go(rebuild({ ...r, store }, new GatheredViews()), 20);
  assert.ok(lost > 0 && !service.keys.has(REBUILD));
  service.transact([], [{ set: 's/a/now', value: 'newer' }]);
  service.replayAll();
  assert.equal(service.keys.get('s/a/now')!.value, 'newer');
});

test('an orphaned job that users may be cancelling is restored to a key of its own', () => {
  const { service, go, r } = rebuilding([{ set: orphanedJobKey('job-1'), value: { since: 0, tasks: 3 } }]);
  const g = new GatheredViews();
  const job = newJob('job-1', { attempt: 4, done: new Set([0]), lastSequence: 7 });
  g.add('n1', {
    headers: [],
    finals: [],
    calendar: null,
    next: null,
    versions: [{ generation: 0, revision: 9, job }],
  });
  go(writeBack(r, g, false));
  assert.ok(service.keys.has(activeJobKey('job-1')) && !service.keys.has(orphanedJobKey('job-1')));
});

test('who waited in a period stands in one page, also if nothing was heard of its writing', () => {
  const at = (n: number): Micros => micros(n * MINUTE);
  const pending = [1, 2].map((n) => ({ from: at(n - 1), to: at(n), rows: new Map() }));
  const [value] = encodeAccounts({ ...NO_ACCOUNTS, upTo: 5, closed: at(2), pending }, 9000);
  const { service, node, go, turn } = faultFreeController([{ set: 's/a/now', value }]);
  const shares = joinShares([['red', 'x', 7, 1, 0, 1]]);
  for (const p of pending) turn.ledger.closing.set(p.to, { open: new Map(), shares });
  const unheard = Effect.fail(new NoAnswer({ reason: 'timeout' }));
  const deaf = { ...service.port(), transact: (...a: Parameters<StatePort['transact']>) => Effect.zipRight(service.port().transact(...a), unheard) } as StatePort; // prettier-ignore
  go(writePage({ ...turn, store: deaf }).pipe(Effect.ignore, Effect.zipRight(node.watcher.refresh)));
  go(writePage(turn));
  const pages = pagesOf(service.entries('s/a/p/'));
  assert.deepEqual(pages.map((p) => [p.page.to, ...p.page.shares.values()].slice(0, 2)), pending.map((p) => [p.to, ...shares.values()])); // prettier-ignore
});

test('a restore that is complete does not begin again', () => {
  const time = new VirtualTime(1);
  const service = new Service(time, new Luck(1));
  service.isFaulty = false;
  const entries = new Map(
    ['s/a/now', 's/j/a/job-1', 's/types'].map((key) => [key, { key, value: 1, stamp: 1 }]),
  );
  const content = { incarnation: 'x', generation: 0, revision: 9, entries } as never;
  time.fork(restore(content, service.port(), { txnOps: 3, valueBytes: 9000 }, () => undefined));
  time.run(time.now + 10 * S);
  assert.equal(service.entries(INCARNATION).length, 1);
  service.transact([], [{ set: 's/a/now', value: 2 }]);
  const before = JSON.stringify(service.entries('s/').map((e) => [e.key, e.value]));
  assert.equal(service.replayAll(), before);
});
