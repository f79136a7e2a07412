/** Answers reports while this node leads, and sends urgent stops directly. */
import * as http from 'node:http';
import { Effect, Either } from 'effect';
import { type Answer, type Incoming, json } from '../base/http-server.js';
import { HttpClient } from '../base/http-client.js';
import { type Micros, seconds } from '../base/micros.js';
import type { Contacts } from '../leadership/contacts.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Settings } from '../settings/settings.js';
import type { Book } from './book.js';
import { type Order, readReport, type Report, writeOrders } from './codec.js';

export interface WorkerPort {
  /** Sends commands to a worker's address; whatever comes of it, the next reports tell. */
  orders(addr: string, body: string): Effect.Effect<void>;
}

/** The part of a node's sockets that direct orders may take; the rest is for reports and users. */
const ORDER_SOCKETS = 0.1;

export class Workers implements WorkerPort {
  private readonly agent: http.Agent;

  constructor(settings: Settings) {
    // One connection an order: a worker gets one seldom, and a thousand idle connections would fill the node.
    // What is over the bound waits its turn; nobody's connection is cut for another's.
    this.agent = new http.Agent({
      maxTotalSockets: Math.max(8, Math.floor(settings.limits.maxConnections * ORDER_SOCKETS)),
    });
  }

  orders(addr: string, body: string): Effect.Effect<void> {
    return new HttpClient(addr, this.agent).request('POST', '/orders', body, 3000).pipe(Effect.ignore);
  }
}

/** What the leader's session offers to the report handler. */
export interface Desk {
  readonly book: Book;
  /** Completes when the next turn has run, or soon after. */
  readonly nextTurn: Effect.Effect<void>;
}

const NEW_TERM = seconds(3);

/** Takes reports in, wherever they came to, and says what their answers are; null: this node does not lead. */
export const receiver =
  (leadership: Leadership, desk: () => Desk | null, clock: () => Micros, contacts: Contacts) =>
  (reports: readonly Report[]): Effect.Effect<readonly string[] | null> =>
    Effect.gen(function* () {
      for (const r of reports) {
        contacts.note(r.machine, clock());
        leadership.depose(r.token);
      }
      const reign = leadership.answering();
      const d = desk();
      if (reign === null || d === null || d.book.term !== reign.term) return null;
      const machines = reports.map((r) => d.book.report(r, clock()));
      // A turn that a report calls for is waited for, shortly: the freed room's new start then goes
      // out at once instead of a report later.
      // Not in a term's first seconds: all leases want renewing then, and the first turns are the longest.
      const settled = clock() - reign.began > NEW_TERM;
      if (d.book.dirty && settled && leadership.acting() !== null) yield* d.nextTurn;
      const still = leadership.answering();
      if (still === null || still.term !== reign.term) return null;
      return machines.map((m, i) => {
        const r = reports[i]!;
        // Older than what is known by now: this answer must not carry what belongs to a newer report's.
        const latest = m !== null && m.tick === r.tick && m.tenure === r.tenure;
        return writeOrders(reign.term, latest ? d.book.orders(m) : []);
      });
    });

/** The workers' address: the leader answers by itself, a follower passes the report on, or names a better node. */
export const reportHandler =
  (
    receive: (reports: readonly Report[]) => Effect.Effect<readonly string[] | null>,
    pass: (report: Report) => Effect.Effect<Answer>,
    elsewhere: (machine: string) => string | null,
  ) =>
  (request: Incoming): Effect.Effect<Answer> =>
    Effect.gen(function* () {
      if (request.body === null) return json(400, { error: 'body too large' });
      const read = readReport(request.body);
      if (Either.isLeft(read)) return json(400, { error: read.left });
      const better = elsewhere(read.right.machine);
      if (better !== null) return json(421, { answerTo: better });
      const bodies = yield* receive([read.right]);
      return bodies === null ? yield* pass(read.right) : { status: 200, body: bodies[0]! };
    });

/** Sends what must not wait for a report. */
export const sendUrgent = (book: Book, port: WorkerPort): Effect.Effect<void> =>
  Effect.suspend(() => {
    if (book.urgent.length === 0) return Effect.void;
    const byMachine = new Map<string, { addr: string; tenure: number; orders: Order[] }>();
    for (const { machine, order } of book.urgent) {
      const e = byMachine.get(machine.id);
      if (e) e.orders.push(order);
      else byMachine.set(machine.id, { addr: machine.addr, tenure: machine.tenure, orders: [order] });
    }
    book.urgent = [];
    return Effect.forEach(
      byMachine.values(),
      (e) => Effect.forkDaemon(port.orders(e.addr, writeOrders(book.term, e.orders, e.tenure))),
      { discard: true },
    );
  });
