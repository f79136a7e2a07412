/** Tests the exact bodies of responses to users and workers, which other programs read. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../src/world/world.js';
import { request, validSubmission } from './support/request.js';

const heartbeat = (tick: number): string =>
  `{"host":"vm-7","addr":"vm-7","hostKind":"c8","room":"a","borrowed":false,"tenure":1,"tick":${tick},"warrant":0,"recallS":null,"pieces":[]}`;

test('bodies of responses to users and workers keep their format', () => {
  const world = new World(5, {});
  const exchange = (method: string, path: string, body: unknown = null): string => {
    const response = request(world, method, path, body);
    return `${response.status} ${response.body.toString()}`;
  };
  world.time.run(15e6);
  assert.equal(exchange('GET', '/ready'), '200 {"ready":true}');
  assert.equal(exchange('POST', '/work', validSubmission), '201 {"id":"job-000412","status":"pending"}');
  assert.equal(
    exchange('POST', '/work', validSubmission),
    '200 {"id":"job-000412","status":"pending","done":0,"running":0}',
  );
  const aborted = /^200 \{"id":"job-000412","status":"aborted",("done":0,)?"running":0\}$/;
  assert.match(exchange('POST', '/work/job-000412/withdraw'), aborted);
  world.time.run(world.time.now + 5e6);
  assert.match(exchange('GET', '/work/job-000412'), aborted);
  assert.equal(exchange('GET', '/work/job-9'), '404 {"error":"no such job"}');
  assert.equal(
    exchange('POST', '/work', { ...validSubmission, id: 'job-8', owner: 'nobody' }),
    '422 {"error":"unknown team"}',
  );
  assert.equal(exchange('POST', '/work', '['), '400 {"error":"not JSON"}');
  // The leader redirects the first heartbeat to another controller.
  const redirect = request(world, 'POST', '/agent/beat', heartbeat(0), world.leader());
  assert.match(`${redirect.status} ${redirect.body.toString()}`, /^421 \{"answerTo":"n\d"\}$/);
  // The leader sends orders; a follower relays the heartbeat or names the leader.
  const responses = world.nodes.map((controller, i) =>
    request(world, 'POST', '/agent/beat', heartbeat(i + 1), controller),
  );
  for (const response of responses)
    assert.match(
      `${response.status} ${response.body.toString()}`,
      /^(200 \{"warrant":\d+,"orders":\[.*\]\}|421 \{"answerTo":"n\d"\})$/,
    );
  assert.ok(responses.some((response) => response.status === 200));
  assert.equal(exchange('POST', '/agent/beat', '{}'), '400 {"error":"malformed report"}');
  world.stop();
});
