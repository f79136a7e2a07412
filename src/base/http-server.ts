/**
 * HTTP server on Node's http: one fiber per connection, which answers that connection's requests in
 * order and is interrupted when the connection closes.
 */
import * as http from 'node:http';
import { Cause, Effect, Fiber, Queue, Runtime, Scope } from 'effect';
import { error } from './log.js';

export interface Incoming {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  /** null: the body was larger than a request may be. */
  readonly body: Buffer | null;
}
export interface Answer {
  readonly status: number;
  readonly body: Buffer | string;
  readonly headers?: Record<string, string>;
}
export type Handler = (request: Incoming) => Effect.Effect<Answer>;

const BODY_LIMIT = 64 * 1024;

export const json = (status: number, value: unknown, headers?: Record<string, string>): Answer => ({
  status,
  body: JSON.stringify(value),
  headers,
});
export const retryLater = (reason: string, afterS = 1): Answer =>
  json(503, { error: reason }, { 'Retry-After': String(afterS) });

const readBody = (req: http.IncomingMessage): Effect.Effect<Buffer | null> =>
  Effect.async<Buffer | null>((resume) => {
    const parts: Buffer[] = [];
    let size = 0;
    req.on('data', (part: Buffer) => {
      size += part.length;
      if (size <= BODY_LIMIT) parts.push(part);
    });
    req.on('end', () => resume(Effect.succeed(size > BODY_LIMIT ? null : Buffer.concat(parts))));
  });

const write = (res: http.ServerResponse, answer: Answer): void => {
  const body = typeof answer.body === 'string' ? Buffer.from(answer.body) : answer.body;
  res.writeHead(answer.status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    ...answer.headers,
  });
  res.end(body);
};

export const serve = (
  listen: { readonly host: string; readonly port: number },
  maxConnections: number,
  handler: Handler,
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const runtime = yield* Effect.runtime<never>();
    const fork = Runtime.runFork(runtime);
    const fibers = new Set<Fiber.RuntimeFiber<unknown, unknown>>();
    const queues = new WeakMap<object, Queue.Queue<[http.IncomingMessage, http.ServerResponse]>>();

    const one = (req: http.IncomingMessage, res: http.ServerResponse) =>
      Effect.gen(function* () {
        const body = yield* readBody(req);
        const url = req.url ?? '/';
        const mark = url.indexOf('?');
        const answer = yield* handler({
          method: req.method ?? 'GET',
          path: mark < 0 ? url : url.slice(0, mark),
          query: new URLSearchParams(mark < 0 ? '' : url.slice(mark + 1)),
          body,
        });
        write(res, answer);
      }).pipe(
        Effect.catchAllCause((cause) =>
          Cause.isInterruptedOnly(cause)
            ? Effect.interrupt
            : error('request failed', { path: req.url, reason: Cause.pretty(cause).slice(0, 600) }).pipe(
                Effect.zipRight(
                  Effect.sync(() => {
                    if (!res.headersSent) write(res, retryLater('internal'));
                  }),
                ),
              ),
        ),
      );

    const server = http.createServer();
    server.keepAliveTimeout = 0;
    server.requestTimeout = 0;
    server.headersTimeout = 0;
    server.timeout = 0;
    server.maxConnections = maxConnections;
    server.on('connection', (socket) => {
      const queue = Effect.runSync(Queue.unbounded<[http.IncomingMessage, http.ServerResponse]>());
      queues.set(socket, queue);
      const fiber = fork(
        Effect.forever(Queue.take(queue).pipe(Effect.flatMap(([req, res]) => one(req, res)))),
      );
      fibers.add(fiber);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        fibers.delete(fiber);
        fiber.unsafeInterruptAsFork(fiber.id());
      });
    });
    server.on('request', (req, res) => {
      res.on('error', () => undefined);
      const queue = queues.get(req.socket);
      if (queue) Queue.unsafeOffer(queue, [req, res]);
    });
    server.on('clientError', (_e, socket) => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
      else socket.destroy();
    });

    yield* Effect.acquireRelease(
      Effect.async<void, Error>((resume) => {
        server.once('error', (e) => resume(Effect.fail(e)));
        server.listen({ host: listen.host, port: listen.port, backlog: 511 }, () => {
          server.on('error', () => undefined);
          resume(Effect.void);
        });
      }),
      () =>
        Effect.sync(() => {
          server.close();
          server.closeAllConnections();
        }),
    );
    return server;
  });
