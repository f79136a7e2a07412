/**
 * Questions and answers between controllers: msgpack values in the bodies of one HTTP exchange that stays open for each
 * direction, request and response both streamed. An exchange of its own for each question costs both sides several times
 * what the question does, and controllers ask dozens a second whatever happens. "No answer" says no more here than there:
 * what was asked may be done, or later.
 */
import * as http from 'node:http';
import type { Readable } from 'node:stream';
import { Effect, Runtime, Scope } from 'effect';
import { pack, UnpackrStream } from 'msgpackr';
import { parseAddress, NoAnswer, type Reply } from './http-client.js';
import { type Answer, type Handler, type Quick, retryLater, serve } from './http-server.js';
import { error } from './log.js';
import { now, seconds } from './micros.js';

/** Number, path, body. */
type Question = readonly [id: number, path: string, body: Buffer];
/** Number, status, body. */
type Told = readonly [id: number, status: number, body: Buffer];

/** Bytes of one message, and of messages that the other side has not taken yet. */
const MOST_BYTES = 4 * 1024 * 1024;

/**
 * A connection that brings nothing for so long is given up with the first question that has waited in vain: what is asked
 * next should not queue behind what may be held on the way. Sooner would cost a busy node all that it is about to answer.
 */
const SILENT = seconds(2.4);

const shaped = (m: unknown, second: 'string' | 'number'): boolean =>
  Array.isArray(m) &&
  m.length === 3 &&
  Number.isSafeInteger(m[0]) &&
  typeof m[1] === second &&
  m[2] instanceof Uint8Array;

/** The path of the exchange. */
const LINK = '/link';

/** Reads messages off a body; `end`: whatever else arrives ends the exchange. */
const read = (body: Readable, take: (m: unknown) => boolean, end: () => void): void => {
  const bounds = { maxIncompleteBufferSize: MOST_BYTES, useRecords: false };
  const messages = new UnpackrStream(bounds);
  messages.on('error', end);
  messages.on('data', (m: unknown) => {
    if (!take(m)) end();
  });
  body.on('error', end);
  body.pipe(messages);
};

/** One controller's questions to another. */
export class Link {
  private open: http.ClientRequest | null = null;
  private last = 0;
  /** When the present exchange was begun, or last brought an answer. */
  private heard = now();
  /** It has brought the answer's head. */
  private begun = false;
  private readonly waiting = new Map<number, (r: Reply | NoAnswer) => void>();
  private readonly target: { host: string; port: number };

  constructor(address: string) {
    this.target = parseAddress(address);
  }

  ask(path: string, body: Buffer, timeoutMs: number): Effect.Effect<Reply, NoAnswer> {
    return Effect.async<Reply, NoAnswer>((resume) => {
      const exchange = this.opened();
      const id = ++this.last;
      const timer = setTimeout(() => {
        const over = this.waiting.get(id);
        if (this.open === exchange && (!this.begun || now() - this.heard >= SILENT)) this.drop('silent');
        over?.(new NoAnswer({ reason: 'timeout' }));
      }, timeoutMs);
      this.waiting.set(id, (r) => {
        this.waiting.delete(id);
        clearTimeout(timer);
        resume(r instanceof NoAnswer ? Effect.fail(r) : Effect.succeed(r));
      });
      if (exchange.writableLength > MOST_BYTES) this.waiting.get(id)!(new NoAnswer({ reason: 'link full' }));
      else exchange.write(pack([id, path, body] satisfies Question));
      return Effect.sync(() => {
        this.waiting.delete(id);
        clearTimeout(timer);
      });
    });
  }

  private opened(): http.ClientRequest {
    if (this.open !== null) return this.open;
    // A connection of its own, which ends with the exchange.
    const headers = { 'Content-Type': 'application/msgpack', 'Transfer-Encoding': 'chunked' };
    const exchange = http.request({ ...this.target, method: 'POST', path: LINK, agent: false, headers });
    this.open = exchange;
    this.heard = now();
    this.begun = false;
    const gone = (reason: string) => () => {
      if (this.open === exchange) this.drop(reason);
    };
    exchange.on('error', gone('closed'));
    exchange.on('close', gone('closed'));
    exchange.on('response', (res) => {
      if (res.statusCode !== 200) return void exchange.destroy();
      if (this.open !== exchange) return;
      this.begun = true;
      res.on('close', gone('closed'));
      const take = (m: unknown): boolean => {
        if (!shaped(m, 'number')) return false;
        if (this.open !== exchange) return true;
        const [id, status, body] = m as Told;
        this.heard = now();
        this.waiting.get(id)?.({ status, body });
        return true;
      };
      read(res, take, () => exchange.destroy());
    });
    return exchange;
  }

  /** The next question begins an exchange of its own; those on their way are given up. */
  private drop(reason: string): void {
    this.open?.destroy();
    this.open = null;
    for (const over of [...this.waiting.values()]) over(new NoAnswer({ reason }));
  }
}

/** Answers the questions of other controllers: by `quick` where it can, else by `handler`, in a fiber. */
export const serveLinks = (
  listen: { readonly host: string; readonly port: number },
  maxConnections: number,
  handler: Handler,
  quick: Quick,
): Effect.Effect<http.Server, Error, Scope.Scope> =>
  Effect.gen(function* () {
    const fork = Runtime.runFork(yield* Effect.runtime<never>());
    const stream = (req: http.IncomingMessage, res: http.ServerResponse): boolean => {
      if (req.method !== 'POST' || req.url !== LINK) return false;
      const end = (): void => void req.socket.destroy();
      res.sendDate = false;
      res.writeHead(200, { 'Content-Type': 'application/msgpack' });
      res.flushHeaders();
      // The asker has ended its part, so nobody waits for an answer any more.
      req.on('end', end);
      const take = (m: unknown): boolean => {
        if (!shaped(m, 'string')) return false;
        const [id, path, body] = m as Question;
        const reply = (a: Answer): void => {
          if (res.destroyed) return;
          // It asks and does not read: its questions would fill this node's memory.
          if (res.writableLength > MOST_BYTES) return end();
          const said = typeof a.body === 'string' ? Buffer.from(a.body) : a.body;
          res.write(pack([id, a.status, said] satisfies Told));
        };
        const request = { method: 'POST', path, body };
        const failed = (reason: unknown): void => {
          fork(error('request failed', { path, reason: String(reason).slice(0, 600) }));
          reply(retryLater('internal'));
        };
        try {
          if (quick(request, reply)) return true;
        } catch (e) {
          failed(e);
          return true;
        }
        fork(
          Effect.suspend(() => handler(request)).pipe(
            Effect.map(reply),
            Effect.catchAllCause((cause) => Effect.sync(() => failed(cause))),
          ),
        );
        return true;
      };
      read(req, take, end);
      return true;
    };
    const elsewhere: Handler = () => Effect.succeed({ status: 404, body: '{}' });
    return yield* serve(listen, maxConnections, elsewhere, { stream });
  });
