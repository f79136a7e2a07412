/**
 * HTTP server on Node's http: one fiber per connection, which answers that connection's requests in
 * order and is interrupted when the connection closes.
 */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Cause, Effect, Fiber, Queue, Runtime, Schedule, Scope } from 'effect';
import { error } from './log.js';

export interface Incoming {
  readonly method: string;
  readonly path: string;
  /** null: the body was larger than a request may be. */
  readonly body: Buffer | null;
}
export interface Answer {
  readonly status: number;
  readonly body: Buffer | string;
  readonly headers?: Record<string, string>;
}
export type Handler = (request: Incoming) => Effect.Effect<Answer>;
/**
 * Takes a request outside any fiber and replies once, at once or later; false: it is left to the handler. For what
 * comes in hundreds a second: a fiber's start and end cost several times what the answer does.
 */
export type Quick = (request: Incoming, reply: (answer: Answer) => void) => boolean;

interface Pending {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly body: Buffer | null;
}

/** A port that is in use is tried again so often, for so long. */
const PORT_AGAIN_MS = 50;
const PORT_FOR_MS = 5000;
/** A connection so long without a packet is asked whether its peer is there: ten times, a second apart. */
const SILENT_MS = 15_000;
/** What users and workers may send. */
const BODY_LIMIT = 64 * 1024;

export const json = (status: number, value: unknown, headers?: Record<string, string>): Answer => ({
  status,
  body: JSON.stringify(value),
  headers,
});
export const retryLater = (reason: string, afterS = 1): Answer =>
  json(503, { error: reason }, { 'Retry-After': String(afterS) });

/** Collects a request's body; null: it is too large. Done by events, so that a fiber takes up whole requests only. */
const readBody = (req: http.IncomingMessage, limit: number, whole: (body: Buffer | null) => void): void => {
  const parts: Buffer[] = [];
  let size = 0;
  req.on('data', (part: Buffer) => {
    size += part.length;
    if (size <= limit) parts.push(part);
  });
  req.on('end', () => whole(size > limit ? null : parts.length === 1 ? parts[0]! : Buffer.concat(parts)));
};

const write = (res: http.ServerResponse, answer: Answer): void => {
  const { body } = answer;
  // Raw pairs pass through unchecked; a string body goes out in one piece with the head.
  const head = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))];
  if (answer.headers !== undefined) {
    for (const [name, value] of Object.entries(answer.headers)) {
      if (name === 'Content-Type') head[1] = value;
      else head.push(name, value);
    }
  }
  res.sendDate = false;
  res.writeHead(answer.status, head);
  res.end(body);
};

const incoming = (req: http.IncomingMessage, body: Buffer | null): Incoming => {
  const url = req.url ?? '/';
  const mark = url.indexOf('?');
  return { method: req.method ?? 'GET', path: mark < 0 ? url : url.slice(0, mark), body };
};

interface Options {
  readonly bodyLimit?: number;
  readonly quick?: Quick;
  /** Takes an exchange whose body is read as it comes; false: the body is read whole, as ever. */
  readonly stream?: (req: http.IncomingMessage, res: http.ServerResponse) => boolean;
}

export const serve = (
  listen: { readonly host: string; readonly port: number },
  maxConnections: number,
  handler: Handler,
  { bodyLimit = BODY_LIMIT, quick, stream }: Options = {},
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const runtime = yield* Effect.runtime<never>();
    const fork = Runtime.runFork(runtime);
    const fibers = new Set<Fiber.RuntimeFiber<unknown, unknown>>();
    const queues = new WeakMap<object, Queue.Queue<Pending>>();

    const one = ({ req, res, body }: Pending): Effect.Effect<void> =>
      Effect.suspend(() => handler(incoming(req, body))).pipe(
        Effect.map((answer) => write(res, answer)),
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
      // A peer that is gone without a word would hold its socket for good.
      socket.setKeepAlive(true, SILENT_MS);
      socket.on('error', () => socket.destroy());
    });
    /** A connection's queue of requests, with the fiber that answers them; most connections never need one. */
    const queueOf = (socket: Socket): Queue.Queue<Pending> => {
      let queue = queues.get(socket);
      if (queue !== undefined) return queue;
      queue = Effect.runSync(Queue.unbounded<Pending>());
      queues.set(socket, queue);
      const fiber = fork(Effect.forever(Effect.flatMap(Queue.take(queue), one)));
      fibers.add(fiber);
      socket.on('close', () => {
        fibers.delete(fiber);
        fiber.unsafeInterruptAsFork(fiber.id());
      });
      return queue;
    };
    server.on('request', (req, res) => {
      res.on('error', () => undefined);
      if (stream?.(req, res) === true) return;
      readBody(req, bodyLimit, (body) => {
        let taken = false;
        try {
          taken = quick?.(incoming(req, body), (answer) => write(res, answer)) ?? false;
        } catch (e) {
          // Outside any fiber nobody else would catch it, and the whole process would end of one request.
          taken = true;
          fork(error('request failed', { path: req.url, reason: String(e).slice(0, 600) }));
          if (!res.headersSent) write(res, retryLater('internal'));
        }
        // Closed meanwhile: nobody waits for the answer.
        if (!taken && !req.socket.destroyed) Queue.unsafeOffer(queueOf(req.socket), { req, res, body });
      });
    });
    server.on('clientError', (_e, socket) => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
      else socket.destroy();
    });

    // A process that was killed a moment ago may still hold the port.
    const open = Effect.async<void, NodeJS.ErrnoException>((resume) => {
      const failed = (e: Error): void => resume(Effect.fail(e));
      server.once('error', failed);
      server.listen({ host: listen.host, port: listen.port, backlog: 511 }, () => {
        server.off('error', failed);
        server.on('error', () => undefined);
        resume(Effect.void);
      });
    }).pipe(
      Effect.retry({
        while: (e) => e.code === 'EADDRINUSE',
        schedule: Schedule.spaced(PORT_AGAIN_MS),
        times: PORT_FOR_MS / PORT_AGAIN_MS,
      }),
    );
    yield* Effect.acquireRelease(open, () =>
      Effect.sync(() => {
        server.close();
        server.closeAllConnections();
      }),
    );
    return server;
  });
