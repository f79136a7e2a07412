/** The HTTP server and its helpers: an exception outside a fiber does not end the process; aligned timers; the cycle gate. */
import assert from 'node:assert/strict';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Effect, Exit, Scope } from 'effect';
import { json, serve } from '@lilacvalve/runtime/http-server';
import { msUntilTick } from '@lilacvalve/runtime/tick';
import { CycleGate } from '../src/workers/cycle-gate.js';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { RandomSource } from './support/random-source.js';

const get = (port: number, path: string): Promise<{ status: number; retry: string | undefined }> =>
  new Promise((resolve, reject) => {
    const clientRequest = request({ host: '127.0.0.1', port, path }, (response) => {
      response.resume();
      response.on('end', () =>
        resolve({ status: response.statusCode!, retry: response.headers['retry-after'] }),
      );
    });
    clientRequest.on('error', reject);
    clientRequest.end();
  });

test('a request whose handling throws outside a fiber gets 503, and later requests are handled', async () => {
  const scope = Effect.runSync(Scope.make());
  const server = await Effect.runPromise(
    serve({ host: '127.0.0.1', port: 0 }, 10, () => Effect.succeed(json(200, { by: 'handler' })), {
      fastPath: (incoming, reply) => {
        if (incoming.path === '/broken') throw new Error('broken on purpose');
        if (incoming.path === '/quick') reply(json(202, {}));
        return incoming.path === '/quick';
      },
    }).pipe(Scope.extend(scope)),
  );
  const { port } = server.address() as AddressInfo;
  assert.deepEqual(await get(port, '/broken'), { status: 503, retry: '1' });
  assert.equal((await get(port, '/quick')).status, 202);
  assert.equal((await get(port, '/other')).status, 200);
  await Effect.runPromise(Scope.close(scope, Exit.void));
});

test('a port that is still in use is retried until it is free', async () => {
  const scope = Effect.runSync(Scope.make());
  const earlierScope = Effect.runSync(Scope.make());
  const serveOn = (port: number, serverScope: Scope.Scope) =>
    serve({ host: '127.0.0.1', port }, 10, () => Effect.succeed(json(200, {}))).pipe(
      Scope.extend(serverScope),
    );
  const { port } = (await Effect.runPromise(serveOn(0, earlierScope))).address() as AddressInfo;
  const second = Effect.runPromise(serveOn(port, scope));
  // By the time the first server is closed, the second one has failed to listen at least once.
  await Effect.runPromise(Effect.sleep(20).pipe(Effect.zipRight(Scope.close(earlierScope, Exit.void))));
  await second;
  assert.equal((await get(port, '/')).status, 200);
  await Effect.runPromise(Scope.close(scope, Exit.void));
});

test('a failing callback at the cycle gate does not delay the others, and overdue callbacks are released', () => {
  let now = 0 as Micros;
  const gate = new CycleGate(() => now);
  const released: string[] = [];
  gate.wait(() => {
    throw new Error('broken on purpose');
  });
  gate.wait(() => released.push('first'));
  gate.cycleBegan();
  gate.wait(() => released.push('during the cycle'));
  assert.throws(() => gate.cycleEnded(), /on purpose/);
  assert.deepEqual(released, ['first']);
  now = seconds(2);
  gate.releaseOverdue(seconds(1));
  assert.deepEqual(released, ['first', 'during the cycle']);
});

test('ticks of one period coincide whatever the start time, and a timer that fires early does not tick twice', () => {
  const random = new RandomSource(11);
  for (let i = 0; i < 2000; i++) {
    const periodMs = [250, 500, 1000, 1500, 2000][random.int(5)]!;
    const startMs = random.int(1e9);
    const remaining = msUntilTick(startMs, periodMs);
    assert.ok(remaining >= periodMs / 10 && remaining < periodMs * 1.1);
    const firedEarlyAt = startMs + remaining - random.int(periodMs / 10);
    assert.equal((startMs + remaining) % periodMs, 0);
    assert.ok(msUntilTick(firedEarlyAt, periodMs) >= periodMs / 10);
    assert.ok(firedEarlyAt + msUntilTick(firedEarlyAt, periodMs) > startMs + remaining);
  }
});
