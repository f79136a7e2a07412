/** The HTTP server: what is handled outside fibers can't end the process, and the rest still goes to the handler. */
import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Effect, Exit, Scope } from 'effect';
import { json, serve } from '@lilacvalve/runtime/http-server';
import { untilTick } from '@lilacvalve/runtime/tick';
import { CycleGate } from '../src/workers/cycle-gate.js';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { RandomSource } from './support/random-source.js';

const get = (port: number, path: string): Promise<{ status: number; retry: string | undefined }> =>
  new Promise((done, fail) => {
    const r = request({ host: '127.0.0.1', port, path }, (res) => {
      res.resume();
      res.on('end', () => done({ status: res.statusCode!, retry: res.headers['retry-after'] }));
    });
    r.on('error', fail);
    r.end();
  });

test('a request that fails outside fibers gets 503, the next ones their answers', async () => {
  const scope = Effect.runSync(Scope.make());
  const server = await Effect.runPromise(
    serve({ host: '127.0.0.1', port: 0 }, 10, () => Effect.succeed(json(200, { by: 'handler' })), {
      quick: (r, reply) => {
        if (r.path === '/broken') throw new Error('broken on purpose');
        if (r.path === '/quick') reply(json(202, {}));
        return r.path === '/quick';
      },
    }).pipe(Scope.extend(scope)),
  );
  const { port } = server.address() as AddressInfo;
  assert.deepEqual(await get(port, '/broken'), { status: 503, retry: '1' });
  assert.equal((await get(port, '/quick')).status, 202);
  assert.equal((await get(port, '/other')).status, 200);
  await Effect.runPromise(Scope.close(scope, Exit.void));
});

test('a port that a process killed a moment ago still holds is taken once it is free', async () => {
  const scope = Effect.runSync(Scope.make());
  const other = Effect.runSync(Scope.make());
  const on = (port: number, s: Scope.Scope) =>
    serve({ host: '127.0.0.1', port }, 10, () => Effect.succeed(json(200, {}))).pipe(Scope.extend(s));
  const { port } = (await Effect.runPromise(on(0, other))).address() as AddressInfo;
  const second = Effect.runPromise(on(port, scope));
  // It has been refused once when this goes through.
  await Effect.runPromise(Effect.sleep(20).pipe(Effect.zipRight(Scope.close(other, Exit.void))));
  await second;
  assert.equal((await get(port, '/')).status, 200);
  await Effect.runPromise(Scope.close(scope, Exit.void));
});

test('at the gate one that fails keeps nobody waiting, and whoever waits too long is let go', () => {
  let now = 0 as Micros;
  const gate = new CycleGate(() => now);
  const gone: string[] = [];
  gate.wait(() => {
    throw new Error('broken on purpose');
  });
  gate.wait(() => gone.push('first'));
  gate.cycleBegan();
  gate.wait(() => gone.push('during the turn'));
  assert.throws(() => gate.cycleEnded(), /on purpose/);
  assert.deepEqual(gone, ['first']);
  now = seconds(2);
  gate.releaseOverdue(seconds(1));
  assert.deepEqual(gone, ['first', 'during the turn']);
});

test('ticks of one period fall together whenever they are asked for, and never twice for a timer a moment early', () => {
  const luck = new RandomSource(11);
  for (let i = 0; i < 2000; i++) {
    const every = [250, 500, 1000, 1500, 2000][luck.int(5)]!;
    const at = luck.int(1e9);
    const left = untilTick(at, every);
    assert.ok(left >= every / 10 && left < every * 1.1);
    const woke = at + left - luck.int(every / 10);
    assert.equal((at + left) % every, 0);
    assert.ok(untilTick(woke, every) >= every / 10);
    assert.ok(woke + untilTick(woke, every) > at + left);
  }
});
