/** Links between controllers: each request gets its own response or fails, whatever happens to the other controller. */
import assert from 'node:assert/strict';
import * as net from 'node:net';
import { test } from 'node:test';
import { Effect, Exit, Scope } from 'effect';
import { Link, serveLinks } from '@lilacvalve/runtime/link';
import { type HttpResponse, json } from '@lilacvalve/runtime/http-server';
import { RandomSource } from './support/random-source.js';

/** The receiving side of a link, with the requests to `/held` that the test responds to itself. */
interface Peer {
  readonly port: number;
  readonly held: { body: string; reply: (answer: HttpResponse) => void }[];
  readonly close: () => Promise<void>;
}
const startPeer = async (port: number): Promise<Peer> => {
  const held: Peer['held'] = [];
  const scope = Effect.runSync(Scope.make());
  const server = await Effect.runPromise(
    serveLinks(
      { host: '127.0.0.1', port },
      10,
      (request) => Effect.succeed(json(404, { path: request.path })),
      (request, reply) => {
        if (request.path === '/broken') throw new Error('broken on purpose');
        if (request.path === '/held') held.push({ body: String(request.body), reply });
        if (request.path === '/echo') reply({ status: 200, body: request.body! });
        return request.path === '/held' || request.path === '/echo';
      },
    ).pipe(Scope.extend(scope)),
  );
  const close = () => Effect.runPromise(Scope.close(scope, Exit.void));
  return { port: (server.address() as net.AddressInfo).port, held, close };
};
/** Sends a request; returns the response's status and body, or the reason of the failure. */
const send = async (link: Link, path: string, body: string, timeoutMs = 2000): Promise<string> => {
  const outcome = await Effect.runPromise(Effect.either(link.request(path, Buffer.from(body), timeoutMs)));
  return outcome._tag === 'Left'
    ? outcome.left.reason
    : `${outcome.right.status} ${String(outcome.right.body)}`;
};
/** Waits until the condition holds; fails after 20 seconds. */
const waitUntil = async (condition: () => boolean): Promise<void> => {
  const deadline = Date.now() + 20_000;
  while (!condition()) {
    assert.ok(Date.now() < deadline, 'the condition did not hold within 20 seconds');
    await new Promise((resolve) => setImmediate(resolve));
  }
};

test('responses are matched to their requests in any order, and a failing request does not affect the others', async () => {
  const random = new RandomSource(7);
  const peer = await startPeer(0);
  const link = new Link(`127.0.0.1:${peer.port}`);
  const large = 'x'.repeat(400_000);
  const responses = Array.from({ length: 40 }, (_, i) => send(link, '/held', `${i}`));
  await waitUntil(() => peer.held.length === 40);
  const broken = send(link, '/broken', '');
  const echo = send(link, '/echo', large);
  const order = [...peer.held].sort(() => random.next() - 0.5);
  for (const request of order) request.reply({ status: 200, body: `to ${request.body}` });
  assert.deepEqual(
    await Promise.all(responses),
    responses.map((_, i) => `200 to ${i}`),
  );
  assert.match(await broken, /^503/);
  assert.equal(await echo, `200 ${large}`);
  assert.equal(await send(link, '/else', ''), '404 {"path":"/else"}');
  await peer.close();
});

test('a late response is discarded; requests fail when the peer closes, and reach the process that is started next', async () => {
  const first = await startPeer(0);
  const link = new Link(`127.0.0.1:${first.port}`);
  // Opens the exchange first: on a busy machine, opening it alone took longer than the timeout below.
  assert.equal(await send(link, '/echo', 'open'), '200 open');
  assert.equal(await send(link, '/held', 'late', 30), 'timeout');
  const following = send(link, '/held', 'next');
  await waitUntil(() => first.held.length === 2);
  first.held[0]!.reply({ status: 200, body: 'for late' });
  first.held[1]!.reply({ status: 200, body: 'for next' });
  assert.equal(await following, '200 for next');
  const pending = send(link, '/held', 'open');
  await waitUntil(() => first.held.length === 3);
  await first.close();
  assert.equal(await pending, 'closed');
  const second = await startPeer(first.port);
  assert.equal(await send(link, '/echo', 'again'), '200 again');
  await second.close();
});

test('a malformed message closes its own connection and no other', async () => {
  const peer = await startPeer(0);
  const link = new Link(`127.0.0.1:${peer.port}`);
  assert.equal(await send(link, '/echo', 'a'), '200 a');
  const chunk = (bytes: string): string =>
    `POST /link HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.length.toString(16)}\r\n${bytes}\r\n`;
  for (const bytes of ['what?\r\n\r\n', chunk('\x93\x01\x02\x03'), chunk('\xc1')]) {
    const socket = net.connect(peer.port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(Buffer.from(bytes, 'latin1'));
    await new Promise((resolve) => socket.on('close', resolve));
  }
  assert.equal(await send(link, '/echo', 'b'), '200 b');
  await peer.close();
});
