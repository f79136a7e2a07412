/** One question of a user, or of a worker, to a node of a world that is not being played. */
import assert from 'node:assert/strict';
import { Exit } from 'effect';
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import type { World } from '../../src/world/world.js';

/** The answer, once it is there: users wait no longer than 6 s. A body that is no text is written as JSON. */
export const ask = (
  w: World,
  method: string,
  path: string,
  body: unknown = null,
  node = 'n0',
  wait = 6e6,
): HttpResponse => {
  const raw = typeof body === 'string' ? body : body === null ? '' : JSON.stringify(body);
  const effect = w.handle(node, {
    method,
    path,
    // As the server does with what is longer than a request may be.
    body: Buffer.byteLength(raw) > 65536 ? null : Buffer.from(raw),
  })!;
  let answer: HttpResponse | null = null;
  w.time.fork(effect).addObserver((e) => {
    if (Exit.isSuccess(e)) answer = e.value;
  });
  for (const end = w.time.now + wait; answer === null && w.time.now < end;) w.time.run(w.time.now + 10_000);
  assert.ok(answer, 'no answer');
  return answer;
};
export const said = (a: HttpResponse): Record<string, unknown> =>
  JSON.parse(a.body.toString()) as Record<string, unknown>;

/** A submission that every node takes. */
export const good = {
  id: 'job-000412',
  jobClass: 'train',
  owner: 'red',
  shape: 'ensemble',
  urgency: 'high',
  pieces: 3,
  vcpus: 4.0,
  accelerators: 0.0,
  memGb: 4.0,
  bundle: 'img-07',
  imageGb: 1.2,
  hostsKinds: null,
  room: null,
  samePlace: true,
  scatter: false,
  borrowed: true,
  expectS: 240.0,
  saveEveryS: 30.0,
  saveTakesS: 4.0,
  dueS: 900.0,
};
