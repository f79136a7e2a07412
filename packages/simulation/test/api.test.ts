/** Tests the users' API with real controllers and a simulated state service: every error status of the protocol's tables. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Exit } from 'effect';
import { activeJobKey, jobUnchanged, finalStateKey } from '@lilacvalve/controller/jobs/keys';
import type { Condition, Write } from '@lilacvalve/controller/state-store/client';
import { World } from '../src/world/world.js';
import { request, validSubmission, parseBody } from './support/request.js';

const startWorld = (): World => {
  const world = new World(5, {});
  world.time.run(15e6);
  return world;
};

test('malformed submissions get 400 and submissions that can never run get 422, and neither is stored', () => {
  const world = startWorld();
  const without = (field: string): unknown =>
    Object.fromEntries(Object.entries(validSubmission).filter(([name]) => name !== field));
  const cases: [unknown, number][] = [
    ['{"id":', 400],
    ['[]', 400],
    ['"job"', 400],
    ['null', 400],
    [{ ...validSubmission, id: 'task-1' }, 400],
    [{ ...validSubmission, id: 'job-1/2' }, 400],
    [{ ...validSubmission, id: 7 }, 400],
    [without('owner'), 400],
    [without('pieces'), 400],
    [without('samePlace'), 400],
    [{ ...validSubmission, pieces: 0 }, 400],
    [{ ...validSubmission, pieces: 1.5 }, 400],
    [{ ...validSubmission, pieces: 100_001 }, 400],
    [{ ...validSubmission, pieces: '3' }, 400],
    [{ ...validSubmission, vcpus: -1 }, 400],
    [{ ...validSubmission, shape: 'swarm' }, 400],
    [{ ...validSubmission, urgency: 'asap' }, 400],
    [{ ...validSubmission, hostsKinds: 'g4' }, 400],
    [`{"id":"job-000412","pad":"${'x'.repeat(70_000)}"}`, 400],
    [{ ...validSubmission, owner: 'nobody' }, 422],
    [{ ...validSubmission, vcpus: 9 }, 422],
    [{ ...validSubmission, accelerators: 5 }, 422],
    [{ ...validSubmission, hostsKinds: ['c8'], accelerators: 1 }, 422],
    [{ ...validSubmission, hostsKinds: [] }, 422],
    [{ ...validSubmission, hostsKinds: ['unheard-of'] }, 422],
    [{ ...validSubmission, room: 'nowhere' }, 422],
    // The team's limit is 24 CPUs. It applies to all tasks of a gang or service, and to each task of an array.
    [{ ...validSubmission, pieces: 7 }, 422],
    [{ ...validSubmission, shape: 'daemon', pieces: 7 }, 422],
    [{ ...validSubmission, shape: 'array', pieces: 7, unheardOf: true }, 201],
  ];
  for (const [body, status] of cases)
    assert.equal(request(world, 'POST', '/work', body).status, status, JSON.stringify(body).slice(0, 80));
  world.stop();
});

test('a job is accepted once by any controller, and a repeated submission gets its state whatever its body holds', () => {
  const world = startWorld();
  const first = request(world, 'POST', '/work', validSubmission);
  assert.equal(first.status, 201);
  assert.deepEqual(parseBody(first), { id: validSubmission.id, status: 'pending' });
  for (const [controller, body] of [
    ['n1', validSubmission],
    ['n2', { ...validSubmission, owner: 'nobody' }],
    ['n0', { id: validSubmission.id }],
  ] as const) {
    assert.equal(request(world, 'POST', '/work', body, controller).status, 200);
  }
  assert.equal([...world.state.keys.keys()].filter((key) => key.includes(validSubmission.id)).length, 1);
  world.stop();
});

test('a cancellation is final on every controller, and repeated requests get the same response', () => {
  const world = startWorld();
  request(world, 'POST', '/work', validSubmission);
  assert.equal(request(world, 'POST', `/work/${validSubmission.id}/withdraw`, null, 'n1').status, 200);
  for (const controller of ['n0', 'n1', 'n2']) {
    assert.equal(
      parseBody(request(world, 'POST', `/work/${validSubmission.id}/withdraw`, null, controller)).status,
      'aborted',
    );
    assert.equal(
      parseBody(request(world, 'GET', `/work/${validSubmission.id}`, null, controller)).status,
      'aborted',
    );
    assert.equal(parseBody(request(world, 'POST', '/work', validSubmission, controller)).status, 'aborted');
  }
  world.stop();
});

test('unknown jobs and paths get 404, wrong methods 405', () => {
  const world = startWorld();
  const cases: [string, string, number][] = [
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
  for (const [method, path, status] of cases)
    assert.equal(request(world, method, path).status, status, `${method} ${path}`);
  world.stop();
});

test('a controller refused by the state service responds with 503 and Retry-After, and with final states from memory', () => {
  const world = startWorld();
  request(world, 'POST', '/work', validSubmission);
  request(world, 'POST', `/work/${validSubmission.id}/withdraw`);
  world.time.run(world.time.now + 5e6);
  world.state.refusedControllers.add('n0');
  const finished = parseBody(request(world, 'GET', `/work/${validSubmission.id}`));
  assert.equal(finished.status, 'aborted');
  for (const [method, path, body] of [
    ['POST', '/work', { ...validSubmission, id: 'job-5' }],
    ['GET', '/work/job-5', null],
    ['POST', '/work/job-5/withdraw', null],
  ] as const) {
    const response = request(world, method, path, body);
    assert.equal(response.status, 503, `${method} ${path}`);
    assert.ok(Number(response.headers?.['Retry-After']) >= 1);
  }
  // The other controllers are served, so this one reports that it is not ready.
  assert.equal(request(world, 'GET', '/ready').status, 503);
  assert.equal(request(world, 'GET', '/ready', null, 'n1').status, 200);
  world.stop();
});

// If workers had to find the leader, a frozen leader would cost all of them a timeout of 4 s, and some their leases.
test("a heartbeat to any controller gets the leader's response; after the leader is deposed it gets 503", () => {
  const world = startWorld();
  const heartbeat = {
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
  // The leader redirects the first heartbeat to another controller, since workers need not send heartbeats to the leader itself.
  const redirect = request(world, 'POST', '/agent/beat', heartbeat, world.leader());
  assert.deepEqual([redirect.status, parseBody(redirect).answerTo === world.leader()], [421, false]);
  const responses = ['n0', 'n1', 'n2'].map((controller) =>
    request(world, 'POST', '/agent/beat', heartbeat, controller),
  );
  const fencingToken = parseBody(responses[0]!).warrant;
  assert.ok(Number.isSafeInteger(fencingToken));
  assert.deepEqual(
    responses.map((response) => [response.status, parseBody(response).warrant]),
    [0, 1, 2].map(() => [200, fencingToken]),
  );
  // A heartbeat with a higher fencing token deposes the leader immediately, even if another controller relays it.
  const other = ['n0', 'n1', 'n2'].find((controller) => controller !== world.leader())!;
  const deposed = request(world, 'POST', '/agent/beat', { ...heartbeat, tick: 2, warrant: 99 }, other);
  assert.equal(deposed.status, 503);
  assert.ok(deposed.headers?.['Retry-After']);
  world.stop();
});

test('a repeated cancellation transaction does not restore the key of a finished job', () => {
  const world = new World(5, {});
  world.time.run(5e6);
  const port = world.state.port('n0');
  const write = (when: readonly Condition[], then: readonly Write[]): boolean => {
    let ok = false;
    world.time
      .fork(port.transact(when, then, 1, 1000))
      .addObserver((exit) => (ok = Exit.isSuccess(exit) && exit.value.ok));
    world.time.run(world.time.now + 2e6);
    return ok;
  };
  const cancellation = [jobUnchanged('job-7', 0), [{ set: activeJobKey('job-7'), value: { w: 1 } }]] as const;
  assert.ok(write(...cancellation));
  const revision = world.state.keys.get(activeJobKey('job-7'))!.revision;
  assert.ok(
    write(jobUnchanged('job-7', revision), [
      { delete: activeJobKey('job-7') },
      { set: finalStateKey('job-7'), value: [0, 4] },
    ]),
  );
  assert.equal(write(...cancellation), false);
  world.stop();
});
