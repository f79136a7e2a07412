/**
 * Requests and responses between controllers. Each controller keeps one HTTP exchange open to each other controller, and
 * streams requests in its request body and responses in its response body, both as msgpack values. A separate HTTP exchange
 * for each request would cost both sides several times as much, and controllers always send dozens of requests a second. As
 * with other HTTP requests, a request without a response may have been carried out, or may still be.
 */
import * as http from 'node:http';
import type { Readable } from 'node:stream';
import { Effect, Runtime, Scope } from 'effect';
import { pack, UnpackrStream } from 'msgpackr';
import { parseAddress, NoResponse, type ReceivedResponse } from './http-client.js';
import { type HttpResponse, type Handler, type FastPathHandler, retryLater, serve } from './http-server.js';
import { error } from './log.js';
import { monotonicNow, seconds } from './micros.js';

/** A request on the wire; the id identifies its response. */
type WireRequest = readonly [id: number, path: string, body: Buffer];
/** A response on the wire, with the id of its request. */
type WireResponse = readonly [id: number, status: number, body: Buffer];

/** Maximum size of one message, and of the messages that the other side has not read yet, in bytes. */
const MAX_BYTES = 4 * 1024 * 1024;

/**
 * When a request times out and its exchange has received nothing for this long, the exchange is closed, so that the next
 * requests don't queue behind data that is stuck in the network. With a shorter time, a busy controller would lose all the
 * responses that it is about to send.
 */
const SILENCE_TIMEOUT = seconds(2.4);

/** Whether a value has the form of a request (`secondType` string) or of a response (`secondType` number). */
const isMessage = (value: unknown, secondType: 'string' | 'number'): boolean =>
  Array.isArray(value) &&
  value.length === 3 &&
  Number.isSafeInteger(value[0]) &&
  typeof value[1] === secondType &&
  value[2] instanceof Uint8Array;

/** HTTP path of the exchange. */
const LINK_PATH = '/link';

/** Passes each message of a body to `onMessage`. Calls `onError` if the body is malformed or `onMessage` returns false. */
const readMessages = (
  body: Readable,
  onMessage: (message: unknown) => boolean,
  onError: () => void,
): void => {
  const options = { maxIncompleteBufferSize: MAX_BYTES, useRecords: false };
  const messages = new UnpackrStream(options);
  messages.on('error', onError);
  messages.on('data', (message: unknown) => {
    if (!onMessage(message)) onError();
  });
  body.on('error', onError);
  body.pipe(messages);
};

/** Sends one controller's requests to another controller. */
export class Link {
  private exchange: http.ClientRequest | null = null;
  private lastId = 0;
  /** When the current exchange was opened or last received a response. */
  private lastReceivedAt = monotonicNow();
  /** Whether the current exchange has received the HTTP response headers. */
  private responseStarted = false;
  /** Called with the outcome of each request without a response yet, by request id. */
  private readonly pending = new Map<number, (outcome: ReceivedResponse | NoResponse) => void>();
  private readonly target: { host: string; port: number };

  constructor(address: string) {
    this.target = parseAddress(address);
  }

  /** Sends a request; fails if no response is received within `timeoutMs` or the exchange is closed. */
  request(path: string, body: Buffer, timeoutMs: number): Effect.Effect<ReceivedResponse, NoResponse> {
    return Effect.async<ReceivedResponse, NoResponse>((resume) => {
      const exchange = this.openExchange();
      const id = ++this.lastId;
      const timer = setTimeout(() => {
        const finish = this.pending.get(id);
        if (
          this.exchange === exchange &&
          (!this.responseStarted || monotonicNow() - this.lastReceivedAt >= SILENCE_TIMEOUT)
        )
          this.closeExchange('silent');
        finish?.(new NoResponse({ reason: 'timeout' }));
      }, timeoutMs);
      this.pending.set(id, (outcome) => {
        this.pending.delete(id);
        clearTimeout(timer);
        resume(outcome instanceof NoResponse ? Effect.fail(outcome) : Effect.succeed(outcome));
      });
      if (exchange.writableLength > MAX_BYTES)
        this.pending.get(id)!(new NoResponse({ reason: 'link buffer full' }));
      else exchange.write(pack([id, path, body] satisfies WireRequest));
      return Effect.sync(() => {
        this.pending.delete(id);
        clearTimeout(timer);
      });
    });
  }

  /** Returns the current exchange, or opens one. */
  private openExchange(): http.ClientRequest {
    if (this.exchange !== null) return this.exchange;
    // Without an agent, the exchange gets a connection of its own that is closed with it.
    const headers = { 'Content-Type': 'application/msgpack', 'Transfer-Encoding': 'chunked' };
    const exchange = http.request({ ...this.target, method: 'POST', path: LINK_PATH, agent: false, headers });
    this.exchange = exchange;
    this.lastReceivedAt = monotonicNow();
    this.responseStarted = false;
    const onEnd = (reason: string) => () => {
      if (this.exchange === exchange) this.closeExchange(reason);
    };
    exchange.on('error', onEnd('closed'));
    exchange.on('close', onEnd('closed'));
    exchange.on('response', (response) => {
      if (response.statusCode !== 200) return void exchange.destroy();
      if (this.exchange !== exchange) return;
      this.responseStarted = true;
      response.on('close', onEnd('closed'));
      const onMessage = (message: unknown): boolean => {
        if (!isMessage(message, 'number')) return false;
        if (this.exchange !== exchange) return true;
        const [id, status, body] = message as WireResponse;
        this.lastReceivedAt = monotonicNow();
        this.pending.get(id)?.({ status, body });
        return true;
      };
      readMessages(response, onMessage, () => exchange.destroy());
    });
    return exchange;
  }

  /** Closes the exchange and fails all requests without a response; the next request opens a new exchange. */
  private closeExchange(reason: string): void {
    this.exchange?.destroy();
    this.exchange = null;
    for (const finish of [...this.pending.values()]) finish(new NoResponse({ reason }));
  }
}

/** Starts the server for other controllers' links. A request goes to `fastPath` first, and if that returns false to `handler`. */
export const serveLinks = (
  listen: { readonly host: string; readonly port: number },
  maxConnections: number,
  handler: Handler,
  fastPath: FastPathHandler,
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const fork = Runtime.runFork(yield* Effect.runtime<never>());
    const stream = (incoming: http.IncomingMessage, response: http.ServerResponse): boolean => {
      if (incoming.method !== 'POST' || incoming.url !== LINK_PATH) return false;
      const closeConnection = (): void => void incoming.socket.destroy();
      response.sendDate = false;
      response.writeHead(200, { 'Content-Type': 'application/msgpack' });
      response.flushHeaders();
      // The other controller has ended its request body, so it no longer waits for responses.
      incoming.on('end', closeConnection);
      const onMessage = (message: unknown): boolean => {
        if (!isMessage(message, 'string')) return false;
        const [id, path, body] = message as WireRequest;
        const reply = (answer: HttpResponse): void => {
          if (response.destroyed) return;
          // The other controller sends requests without reading the responses, which would fill this controller's memory.
          if (response.writableLength > MAX_BYTES) return closeConnection();
          const responseBody = typeof answer.body === 'string' ? Buffer.from(answer.body) : answer.body;
          response.write(pack([id, answer.status, responseBody] satisfies WireResponse));
        };
        const request = { method: 'POST', path, body };
        const replyFailed = (reason: unknown): void => {
          fork(error('request failed', { path, reason: String(reason).slice(0, 600) }));
          reply(retryLater('internal'));
        };
        try {
          if (fastPath(request, reply)) return true;
        } catch (failure) {
          replyFailed(failure);
          return true;
        }
        fork(
          Effect.suspend(() => handler(request)).pipe(
            Effect.map(reply),
            Effect.catchAllCause((cause) => Effect.sync(() => replyFailed(cause))),
          ),
        );
        return true;
      };
      readMessages(incoming, onMessage, closeConnection);
      return true;
    };
    const notFound: Handler = () => Effect.succeed({ status: 404, body: '{}' });
    return yield* serve(listen, maxConnections, notFound, { stream });
  });
