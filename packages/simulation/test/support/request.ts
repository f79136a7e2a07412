/** Requests of users and workers to a controller of a simulated world. */
import assert from 'node:assert/strict';
import { Exit } from 'effect';
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import type { World } from '../../src/world/world.js';

/** Sends a request and returns its response, which must arrive within 6 s of virtual time. Objects are sent as JSON. */
export const request = (
  world: World,
  method: string,
  path: string,
  body: unknown = null,
  controller = 'n0',
  timeoutUs = 6e6,
): HttpResponse => {
  const text = typeof body === 'string' ? body : body === null ? '' : JSON.stringify(body);
  const effect = world.handle(controller, {
    method,
    path,
    // The HTTP server passes null for a body above the maximum size.
    body: Buffer.byteLength(text) > 65536 ? null : Buffer.from(text),
  })!;
  let response: HttpResponse | null = null;
  world.time.fork(effect).addObserver((exit) => {
    if (Exit.isSuccess(exit)) response = exit.value;
  });
  for (const deadline = world.time.now + timeoutUs; response === null && world.time.now < deadline;)
    world.time.run(world.time.now + 10_000);
  assert.ok(response, 'no response in time');
  return response;
};
/** Parses the JSON body of a response. */
export const parseBody = (response: HttpResponse): Record<string, unknown> =>
  JSON.parse(response.body.toString()) as Record<string, unknown>;

/** A submission that every controller accepts. */
export const validSubmission = {
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
