/** Links between controllers: every request gets its own response or none, whatever happens to the other side. */
import assert from 'node:assert/strict';
import * as net from 'node:net';
import { test } from 'node:test';
import { Effect, Exit, Scope } from 'effect';
import { Link, serveLinks } from '@lilacvalve/runtime/link';
import { type Answer, json } from '@lilacvalve/runtime/http-server';
import { RandomSource } from './support/random-source.js';

interface Peer {
  readonly port: number;
  readonly held: { body: string; reply: (a: Answer) => void }[];
  readonly end: () => Promise<void>;
}
const peerOn = async (port: number): Promise<Peer> => {
  const held: Peer['held'] = [];
  const scope = Effect.runSync(Scope.make());
  const server = await Effect.runPromise(
    serveLinks(
      { host: '127.0.0.1', port },
      10,
      (r) => Effect.succeed(json(404, { path: r.path })),
      (r, reply) => {
        if (r.path === '/broken') throw new Error('broken on purpose');
        if (r.path === '/held') held.push({ body: String(r.body), reply });
        if (r.path === '/echo') reply({ status: 200, body: r.body! });
        return r.path === '/held' || r.path === '/echo';
      },
    ).pipe(Scope.extend(scope)),
  );
  const end = () => Effect.runPromise(Scope.close(scope, Exit.void));
  return { port: (server.address() as net.AddressInfo).port, held, end };
};
const ask = async (link: Link, path: string, body: string, ms = 2000): Promise<string> => {
  const r = await Effect.runPromise(Effect.either(link.ask(path, Buffer.from(body), ms)));
  return r._tag === 'Left' ? r.left.reason : `${r.right.status} ${String(r.right.body)}`;
};
const until = async (so: () => boolean): Promise<void> => {
  const over = Date.now() + 20_000;
  while (!so()) {
    assert.ok(Date.now() < over, 'in vain');
    await new Promise((go) => setImmediate(go));
  }
};

test('responses find their requests in whatever order they arrive, and a failed one does not affect the others', async () => {
  const luck = new RandomSource(7);
  const peer = await peerOn(0);
  const link = new Link(`127.0.0.1:${peer.port}`);
  const large = 'x'.repeat(400_000);
  const asked = Array.from({ length: 40 }, (_, i) => ask(link, '/held', `${i}`));
  await until(() => peer.held.length === 40);
  const broken = ask(link, '/broken', '');
  const echo = ask(link, '/echo', large);
  const order = [...peer.held].sort(() => luck.next() - 0.5);
  for (const h of order) h.reply({ status: 200, body: `to ${h.body}` });
  assert.deepEqual(
    await Promise.all(asked),
    asked.map((_, i) => `200 to ${i}`),
  );
  assert.match(await broken, /^503/);
  assert.equal(await echo, `200 ${large}`);
  assert.equal(await ask(link, '/else', ''), '404 {"path":"/else"}');
  await peer.end();
});

test('a request that timed out is never answered by a late response; a peer that ends fails all, its next process answers', async () => {
  const first = await peerOn(0);
  const link = new Link(`127.0.0.1:${first.port}`);
  // The exchange is open before a question is given up on it: on a busy machine that alone took longer.
  assert.equal(await ask(link, '/echo', 'open'), '200 open');
  assert.equal(await ask(link, '/held', 'late', 30), 'timeout');
  const next = ask(link, '/held', 'next');
  await until(() => first.held.length === 2);
  first.held[0]!.reply({ status: 200, body: 'for late' });
  first.held[1]!.reply({ status: 200, body: 'for next' });
  assert.equal(await next, '200 for next');
  const open = ask(link, '/held', 'open');
  await until(() => first.held.length === 3);
  await first.end();
  assert.equal(await open, 'closed');
  const second = await peerOn(first.port);
  assert.equal(await ask(link, '/echo', 'again'), '200 again');
  await second.end();
});

test('bytes that are no message end their own connection only', async () => {
  const peer = await peerOn(0);
  const link = new Link(`127.0.0.1:${peer.port}`);
  assert.equal(await ask(link, '/echo', 'a'), '200 a');
  const chunk = (bytes: string): string =>
    `POST /link HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n${bytes.length.toString(16)}\r\n${bytes}\r\n`;
  for (const bytes of ['what?\r\n\r\n', chunk('\x93\x01\x02\x03'), chunk('\xc1')]) {
    const other = net.connect(peer.port, '127.0.0.1');
    other.on('error', () => undefined);
    other.resume();
    other.write(Buffer.from(bytes, 'latin1'));
    await new Promise((gone) => other.on('close', gone));
  }
  assert.equal(await ask(link, '/echo', 'b'), '200 b');
  await peer.end();
});
