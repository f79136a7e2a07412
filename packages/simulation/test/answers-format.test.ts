/** Holds what users and workers are answered, whole and as text, by real nodes: other programs read these bodies. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../src/world/world.js';
import { ask, good } from './support/ask.js';

const report = (tick: number): string =>
  `{"host":"vm-7","addr":"vm-7","hostKind":"c8","room":"a","borrowed":false,"tenure":1,"tick":${tick},"warrant":0,"recallS":null,"pieces":[]}`;

test('users and workers are answered with the same bodies', () => {
  const w = new World(5, {});
  const say = (method: string, path: string, body: unknown = null): string => {
    const a = ask(w, method, path, body);
    return `${a.status} ${a.body.toString()}`;
  };
  w.time.run(15e6);
  assert.equal(say('GET', '/ready'), '200 {"ready":true}');
  assert.equal(say('POST', '/work', good), '201 {"id":"job-000412","status":"pending"}');
  assert.equal(say('POST', '/work', good), '200 {"id":"job-000412","status":"pending","done":0,"running":0}');
  const aborted = /^200 \{"id":"job-000412","status":"aborted",("done":0,)?"running":0\}$/;
  assert.match(say('POST', '/work/job-000412/withdraw'), aborted);
  w.time.run(w.time.now + 5e6);
  assert.match(say('GET', '/work/job-000412'), aborted);
  assert.equal(say('GET', '/work/job-9'), '404 {"error":"no such job"}');
  assert.equal(
    say('POST', '/work', { ...good, id: 'job-8', owner: 'nobody' }),
    '422 {"error":"unknown team"}',
  );
  assert.equal(say('POST', '/work', '['), '400 {"error":"not JSON"}');
  // The leader names another node first.
  const sent = ask(w, 'POST', '/agent/beat', report(0), w.leader());
  assert.match(`${sent.status} ${sent.body.toString()}`, /^421 \{"answerTo":"n\d"\}$/);
  // Whoever leads gives orders; a follower passes the report on or names the leader.
  const answers = w.nodes.map((node, i) => ask(w, 'POST', '/agent/beat', report(i + 1), node));
  for (const a of answers)
    assert.match(
      `${a.status} ${a.body.toString()}`,
      /^(200 \{"warrant":\d+,"orders":\[.*\]\}|421 \{"answerTo":"n\d"\})$/,
    );
  assert.ok(answers.some((a) => a.status === 200));
  assert.equal(say('POST', '/agent/beat', '{}'), '400 {"error":"malformed report"}');
  w.stop();
});
