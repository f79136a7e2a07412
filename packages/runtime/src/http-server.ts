/**
 * HTTP server on Node's `http`. A fiber per connection handles the connection's requests in order and is interrupted when the
 * connection closes. Frequent requests can be handled without a fiber.
 */
import * as http from 'node:http';
import type { Socket } from 'node:net';
import { Cause, Effect, Fiber, Queue, Runtime, Schedule, Scope } from 'effect';
import { error } from './log.js';

/** A request with its whole body. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** null if the body exceeds the maximum size. */
  readonly body: Buffer | null;
}
/** A response; its content type is JSON unless `headers` says otherwise. */
export interface HttpResponse {
  readonly status: number;
  readonly body: Buffer | string;
  readonly headers?: Record<string, string>;
}
/** Handles a request in a fiber. */
export type Handler = (request: HttpRequest) => Effect.Effect<HttpResponse>;
/**
 * Handles a request without a fiber, and calls `reply` exactly once, immediately or later. Returns false to leave the request
 * to the handler. Meant for requests that arrive hundreds of times a second: starting and ending a fiber costs several times
 * as much as handling such a request.
 */
export type FastPathHandler = (request: HttpRequest, reply: (answer: HttpResponse) => void) => boolean;

/** A request that waits for the fiber of its connection. */
interface QueuedRequest {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: Buffer | null;
}

/** Interval of the attempts to listen on a port that is in use. */
const PORT_RETRY_INTERVAL_MS = 50;
/** Total duration of these attempts. */
const PORT_RETRY_LIMIT_MS = 5000;
/** Idle time after which the system probes whether a connection's peer is alive: ten times, a second apart. */
const KEEP_ALIVE_DELAY_MS = 15_000;
/** Default maximum size of a request's body. */
const MAX_BODY_BYTES = 64 * 1024;

/** Returns a response with a JSON body. */
export const json = (status: number, value: unknown, headers?: Record<string, string>): HttpResponse => ({
  status,
  body: JSON.stringify(value),
  headers,
});
/** Returns a 503 response that asks the client to retry after `afterS` seconds. */
export const retryLater = (reason: string, afterS = 1): HttpResponse =>
  json(503, { error: reason }, { 'Retry-After': String(afterS) });

/**
 * Reads a request's body and passes it to `onBody`, or null if it is too large. Uses events rather than a fiber, so that a
 * fiber only handles complete requests.
 */
const readBody = (
  incoming: http.IncomingMessage,
  maxBytes: number,
  onBody: (body: Buffer | null) => void,
): void => {
  const chunks: Buffer[] = [];
  let size = 0;
  incoming.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size <= maxBytes) chunks.push(chunk);
  });
  incoming.on('end', () =>
    onBody(size > maxBytes ? null : chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)),
  );
};

/** Writes a response. */
const writeResponse = (target: http.ServerResponse, answer: HttpResponse): void => {
  const { body } = answer;
  // Node does not validate headers given as raw pairs, and sends a string body in one write with the headers.
  const rawHeaders = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))];
  if (answer.headers !== undefined) {
    for (const [name, value] of Object.entries(answer.headers)) {
      if (name === 'Content-Type') rawHeaders[1] = value;
      else rawHeaders.push(name, value);
    }
  }
  target.sendDate = false;
  target.writeHead(answer.status, rawHeaders);
  target.end(body);
};

/** Returns the request as handlers see it: without the query string. */
const toRequest = (incoming: http.IncomingMessage, body: Buffer | null): HttpRequest => {
  const url = incoming.url ?? '/';
  const queryStart = url.indexOf('?');
  return { method: incoming.method ?? 'GET', path: queryStart < 0 ? url : url.slice(0, queryStart), body };
};

/** Optional settings of a server. */
interface ServerOptions {
  /** Maximum size of a request's body, in bytes. */
  readonly bodyLimit?: number;
  /** Handler that each request is passed to first. */
  readonly fastPath?: FastPathHandler;
  /** Takes over a request whose body is streamed. Returns false for requests whose body is to be read as a whole. */
  readonly stream?: (incoming: http.IncomingMessage, response: http.ServerResponse) => boolean;
}

/** Starts a server that is closed with the scope. Retries for a while if the port is in use. */
export const serve = (
  listen: { readonly host: string; readonly port: number },
  maxConnections: number,
  handler: Handler,
  { bodyLimit = MAX_BODY_BYTES, fastPath, stream }: ServerOptions = {},
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const runtime = yield* Effect.runtime<never>();
    const fork = Runtime.runFork(runtime);
    const fibers = new Set<Fiber.RuntimeFiber<unknown, unknown>>();
    const queues = new WeakMap<object, Queue.Queue<QueuedRequest>>();

    /** Handles one request; a failure is logged and gets a 503 response. */
    const handleRequest = ({ incoming, response, body }: QueuedRequest): Effect.Effect<void> =>
      Effect.suspend(() => handler(toRequest(incoming, body))).pipe(
        Effect.map((answer) => writeResponse(response, answer)),
        Effect.catchAllCause((cause) =>
          Cause.isInterruptedOnly(cause)
            ? Effect.interrupt
            : error('request failed', { path: incoming.url, reason: Cause.pretty(cause).slice(0, 600) }).pipe(
                Effect.zipRight(
                  Effect.sync(() => {
                    if (!response.headersSent) writeResponse(response, retryLater('internal'));
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
      // Without probes, the socket of a peer that vanished without closing it would stay open forever.
      socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
      socket.on('error', () => socket.destroy());
    });
    /** Returns the connection's queue of requests; starts the fiber that handles them when the first request needs it. */
    const queueOf = (socket: Socket): Queue.Queue<QueuedRequest> => {
      let queue = queues.get(socket);
      if (queue !== undefined) return queue;
      queue = Effect.runSync(Queue.unbounded<QueuedRequest>());
      queues.set(socket, queue);
      const fiber = fork(Effect.forever(Effect.flatMap(Queue.take(queue), handleRequest)));
      fibers.add(fiber);
      socket.on('close', () => {
        fibers.delete(fiber);
        fiber.unsafeInterruptAsFork(fiber.id());
      });
      return queue;
    };
    server.on('request', (incoming, response) => {
      response.on('error', () => undefined);
      if (stream?.(incoming, response) === true) return;
      readBody(incoming, bodyLimit, (body) => {
        let handled = false;
        try {
          handled =
            fastPath?.(toRequest(incoming, body), (answer) => writeResponse(response, answer)) ?? false;
        } catch (failure) {
          // Outside a fiber, an uncaught exception would end the whole process because of one request.
          handled = true;
          fork(error('request failed', { path: incoming.url, reason: String(failure).slice(0, 600) }));
          if (!response.headersSent) writeResponse(response, retryLater('internal'));
        }
        // If the connection was closed meanwhile, the response could not be delivered.
        if (!handled && !incoming.socket.destroyed)
          Queue.unsafeOffer(queueOf(incoming.socket), { incoming, response, body });
      });
    });
    server.on('clientError', (_failure, socket) => {
      if (socket.writable)
        socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
      else socket.destroy();
    });

    // A process that was killed a moment ago may still hold the port.
    const listening = Effect.async<void, NodeJS.ErrnoException>((resume) => {
      const onError = (failure: Error): void => resume(Effect.fail(failure));
      server.once('error', onError);
      server.listen({ host: listen.host, port: listen.port, backlog: 511 }, () => {
        server.off('error', onError);
        server.on('error', () => undefined);
        resume(Effect.void);
      });
    }).pipe(
      Effect.retry({
        while: (failure) => failure.code === 'EADDRINUSE',
        schedule: Schedule.spaced(PORT_RETRY_INTERVAL_MS),
        times: PORT_RETRY_LIMIT_MS / PORT_RETRY_INTERVAL_MS,
      }),
    );
    yield* Effect.acquireRelease(listening, () =>
      Effect.sync(() => {
        server.close();
        server.closeAllConnections();
      }),
    );
    return server;
  });
