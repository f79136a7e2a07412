/** The users' interface: every refusal of the protocol's tables, on a real node over the stand-in state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Exit } from 'effect';
import { activeJobKey, jobUnchanged, finalStateKey } from '@lilacvalve/controller/jobs/keys';
import type { Condition, Write } from '@lilacvalve/controller/state-store/client';
import { World } from '../src/world/world.js';
import { ask, good, said } from './support/ask.js';

const world = (): World => {
  const w = new World(5, {});
  w.time.run(15e6);
  return w;
};

test('what is malformed gets 400, what can never run 422, and neither is remembered', () => {
  const w = world();
  const without = (k: string): unknown => Object.fromEntries(Object.entries(good).filter(([x]) => x !== k));
  const table: [unknown, number][] = [
    ['{"id":', 400],
    ['[]', 400],
    ['"job"', 400],
    ['null', 400],
    [{ ...good, id: 'task-1' }, 400],
    [{ ...good, id: 'job-1/2' }, 400],
    [{ ...good, id: 7 }, 400],
    [without('owner'), 400],
    [without('pieces'), 400],
    [without('samePlace'), 400],
    [{ ...good, pieces: 0 }, 400],
    [{ ...good, pieces: 1.5 }, 400],
    [{ ...good, pieces: 100_001 }, 400],
    [{ ...good, pieces: '3' }, 400],
    [{ ...good, vcpus: -1 }, 400],
    [{ ...good, shape: 'swarm' }, 400],
    [{ ...good, urgency: 'asap' }, 400],
    [{ ...good, hostsKinds: 'g4' }, 400],
    [`{"id":"job-000412","pad":"${'x'.repeat(70_000)}"}`, 400],
    [{ ...good, owner: 'nobody' }, 422],
    [{ ...good, vcpus: 9 }, 422],
    [{ ...good, accelerators: 5 }, 422],
    [{ ...good, hostsKinds: ['c8'], accelerators: 1 }, 422],
    [{ ...good, hostsKinds: [] }, 422],
    [{ ...good, hostsKinds: ['unheard-of'] }, 422],
    [{ ...good, room: 'nowhere' }, 422],
    // Limit of the team: 24 CPUs. A gang counts whole, an array by the task.
    [{ ...good, pieces: 7 }, 422],
    [{ ...good, shape: 'daemon', pieces: 7 }, 422],
    [{ ...good, shape: 'array', pieces: 7, unheardOf: true }, 201],
  ];
  for (const [body, status] of table)
    assert.equal(ask(w, 'POST', '/work', body).status, status, JSON.stringify(body).slice(0, 80));
  w.stop();
});

test('a job is taken once, on whichever node, and a retry gets its state whatever its body says', () => {
  const w = world();
  const first = ask(w, 'POST', '/work', good);
  assert.equal(first.status, 201);
  assert.deepEqual(said(first), { id: good.id, status: 'pending' });
  for (const [node, body] of [
    ['n1', good],
    ['n2', { ...good, owner: 'nobody' }],
    ['n0', { id: good.id }],
  ] as const) {
    assert.equal(ask(w, 'POST', '/work', body, node).status, 200);
  }
  assert.equal([...w.state.keys.keys()].filter((k) => k.includes(good.id)).length, 1);
  w.stop();
});

test('a withdrawal is final on every node, and repeats give the same answer', () => {
  const w = world();
  ask(w, 'POST', '/work', good);
  assert.equal(ask(w, 'POST', `/work/${good.id}/withdraw`, null, 'n1').status, 200);
  for (const node of ['n0', 'n1', 'n2']) {
    assert.equal(said(ask(w, 'POST', `/work/${good.id}/withdraw`, null, node)).status, 'aborted');
    assert.equal(said(ask(w, 'GET', `/work/${good.id}`, null, node)).status, 'aborted');
    assert.equal(said(ask(w, 'POST', '/work', good, node)).status, 'aborted');
  }
  w.stop();
});

test('unknown jobs and paths get 404, wrong methods 405', () => {
  const w = world();
  const table: [string, string, number][] = [
    ['GET', '/work/job-7', 404],
    ['POST', '/work/job-7/withdraw', 404],
    ['GET', '/work/none', 404],
    ['GET', '/', 404],
    ['GET', '/work/job-7/tasks', 404],
    ['GET', '/work', 405],
    ['DELETE', '/work/job-7', 405],
    ['GET', '/work/job-7/withdraw', 405],
    ['POST', '/ready', 405],
    ['GET', '/agent/beat', 405],
    ['GET', '/ready', 200],
  ];
  for (const [method, path, status] of table)
    assert.equal(ask(w, method, path).status, status, `${method} ${path}`);
  w.stop();
});

test('a node that the state service refuses answers 503 with Retry-After, but final states from memory', () => {
  const w = world();
  ask(w, 'POST', '/work', good);
  ask(w, 'POST', `/work/${good.id}/withdraw`);
  w.time.run(w.time.now + 5e6);
  w.state.refusedTo.add('n0');
  const over = said(ask(w, 'GET', `/work/${good.id}`));
  assert.equal(over.status, 'aborted');
  for (const [method, path, body] of [
    ['POST', '/work', { ...good, id: 'job-5' }],
    ['GET', '/work/job-5', null],
    ['POST', '/work/job-5/withdraw', null],
  ] as const) {
    const a = ask(w, method, path, body);
    assert.equal(a.status, 503, `${method} ${path}`);
    assert.ok(Number(a.headers?.['Retry-After']) >= 1);
  }
  // The others are served, so this one asks to be left out.
  assert.equal(ask(w, 'GET', '/ready').status, 503);
  assert.equal(ask(w, 'GET', '/ready', null, 'n1').status, 200);
  w.stop();
});

// Workers had to find the leader; one that stood still cost all of them a time-out of 4 s, and some their leases.
test("a report to any node gets the leader's answer; without a leader it is refused at once", () => {
  const w = world();
  const beat = {
    host: 'vm-1',
    addr: '1.1.1.1:1',
    hostKind: 'c8',
    room: 'a',
    borrowed: false,
    tenure: 1,
    tick: 1,
    warrant: 0,
    recallS: null,
    pieces: [],
  };
  // The leader names another node first, since it need not be the one that workers talk to.
  const sent = ask(w, 'POST', '/agent/beat', beat, w.leader());
  assert.deepEqual([sent.status, said(sent).answerTo === w.leader()], [421, false]);
  const answers = ['n0', 'n1', 'n2'].map((n) => ask(w, 'POST', '/agent/beat', beat, n));
  const token = said(answers[0]!).warrant;
  assert.ok(Number.isSafeInteger(token));
  assert.deepEqual(
    answers.map((a) => [a.status, said(a).warrant]),
    [0, 1, 2].map(() => [200, token]),
  );
  // A report with a higher token deposes at once, also one that another node passed on.
  const other = ['n0', 'n1', 'n2'].find((n) => n !== w.leader())!;
  const deposed = ask(w, 'POST', '/agent/beat', { ...beat, tick: 2, warrant: 99 }, other);
  assert.equal(deposed.status, 503);
  assert.ok(deposed.headers?.['Retry-After']);
  w.stop();
});

test('a withdrawal that arrives once more does not bring a job of a pack back that is over', () => {
  const w = new World(5, {});
  w.time.run(5e6);
  const port = w.state.port('n0');
  const write = (when: readonly Condition[], then: readonly Write[]): boolean => {
    let ok = false;
    w.time
      .fork(port.transact(when, then, 1, 1000))
      .addObserver((e) => (ok = Exit.isSuccess(e) && e.value.ok));
    w.time.run(w.time.now + 2e6);
    return ok;
  };
  const withdrawal = [jobUnchanged('job-7', 0), [{ set: activeJobKey('job-7'), value: { w: 1 } }]] as const;
  assert.ok(write(...withdrawal));
  const stamp = w.state.keys.get(activeJobKey('job-7'))!.revision;
  assert.ok(
    write(jobUnchanged('job-7', stamp), [
      { delete: activeJobKey('job-7') },
      { set: finalStateKey('job-7'), value: [0, 4] },
    ]),
  );
  assert.equal(write(...withdrawal), false);
  w.stop();
});
