/** Stand-ins for the cloud and its machines' workers on loopback: enough of the protocol to load controllers. */
import * as net from 'node:net';
import { listen } from './state.mjs';

/** One kept connection that carries one request after another; raw, so that a thousand cost little here. */
class Line {
  constructor() {
    this.socket = null;
    this.address = null;
    this.waiting = null;
    this.got = Buffer.alloc(0);
  }

  close() {
    this.socket?.destroy();
    this.socket = null;
  }

  /** Resolves to `{ status, body, retryAfter }`, or null when no answer comes in time. */
  ask(address, method, path, body, timeoutMs) {
    return new Promise((done) => {
      if (this.address !== address) this.close();
      this.address = address;
      if (this.socket === null) {
        const [host, port] = address.split(':');
        const socket = (this.socket = net.connect(Number(port), host));
        socket.setNoDelay(true);
        this.got = Buffer.alloc(0);
        socket.on('data', (d) => this.read(d));
        socket.on('error', () => undefined);
        socket.on('close', () => {
          if (this.socket !== socket) return;
          this.socket = null;
          this.finish(null);
        });
      }
      const timer = setTimeout(() => {
        this.close();
        this.finish(null);
      }, timeoutMs);
      this.waiting = (answer) => {
        clearTimeout(timer);
        done(answer);
      };
      this.socket.write(
        `${method} ${path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
      );
    });
  }

  read(data) {
    this.got = this.got.length === 0 ? data : Buffer.concat([this.got, data]);
    const head = this.got.indexOf('\r\n\r\n');
    if (head < 0) return;
    const text = this.got.toString('latin1', 0, head);
    const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    if (this.got.length < head + 4 + length) return;
    const body = this.got.toString('utf8', head + 4, head + 4 + length);
    this.got = this.got.subarray(head + 4 + length);
    const retryAfter = Number(/retry-after: (\d+)/i.exec(text)?.[1] ?? 0);
    this.finish({ status: Number(text.slice(9, 12)), body, retryAfter });
  }

  finish(answer) {
    const w = this.waiting;
    this.waiting = null;
    w?.(answer);
  }
}
export { Line };

class Worker {
  constructor(fleet, id, kind, room, spot) {
    Object.assign(this, { fleet, id, kind, room, spot, tenure: 1, tick: 0, token: 0, tasks: new Map() });
    this.line = new Line();
    this.node = fleet.luck.int(fleet.nodes.length);
    this.leaseFrom = performance.now();
    this.reportAt = 0;
    this.flying = false;
    this.alive = true;
    this.timer = setTimeout(() => void this.send(), fleet.luck.between(0, 500));
  }

  end() {
    this.alive = false;
    clearTimeout(this.timer);
    this.line.close();
    for (const t of this.tasks.values()) clearTimeout(t.timer);
  }

  changed() {
    if (!this.alive || this.flying) {
      this.again = true;
      return;
    }
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.send(), Math.max(5, this.reportAt + 500 - performance.now()));
  }

  body() {
    this.tick++;
    return JSON.stringify({
      host: this.id,
      addr: this.fleet.ordersAddress,
      hostKind: this.kind,
      room: this.room,
      borrowed: this.spot,
      tenure: this.tenure,
      tick: this.tick,
      warrant: this.token,
      recallS: null,
      pieces: [...this.tasks.values()].map((t) => ({
        piece: t.key,
        try: t.attempt,
        status: t.status,
        ...(t.cause ? { cause: t.cause } : {}),
      })),
    });
  }

  async send() {
    const { fleet } = this;
    const { counts } = fleet;
    this.flying = true;
    this.again = false;
    this.reportAt = performance.now();
    if (this.reportAt - this.leaseFrom > fleet.leaseMs) {
      counts.lapsed++;
      counts.killed += this.tasks.size;
      for (const t of this.tasks.values()) clearTimeout(t.timer);
      this.tasks.clear();
      this.tenure++;
      this.leaseFrom = this.reportAt;
    }
    const sent = performance.now();
    const to = fleet.nodes[this.node % fleet.nodes.length];
    counts.sent++;
    const a = await this.line.ask(to.listen, 'POST', '/agent/beat', this.body(), 4000);
    if (!this.alive) return;
    this.flying = false;
    fleet.took(performance.now() - sent, a?.status ?? 0);
    let wait = fleet.reportMs * fleet.luck.between(0.75, 1.25);
    if (a === null || (a.status !== 200 && a.status !== 421)) {
      this.node++;
      wait = 1000;
    } else if (a.status === 421) {
      const named = fleet.nodes.findIndex((n) => n.label === JSON.parse(a.body).answerTo);
      wait = named >= 0 && named !== this.node % fleet.nodes.length ? fleet.luck.between(0, 500) : 1000;
      this.node = named >= 0 ? named : this.node + 1;
    } else {
      const v = JSON.parse(a.body);
      if (v.warrant >= this.token) {
        if (v.warrant > this.token) this.again = true;
        this.token = v.warrant;
        this.leaseFrom = Math.max(this.leaseFrom, sent);
        counts.renewed++;
        this.execute(v.orders);
      }
    }
    if (this.again) wait = Math.max(5, this.reportAt + 500 - performance.now());
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.send(), wait);
  }

  execute(orders) {
    for (const o of orders) {
      const t = this.tasks.get(o.piece);
      if (o.orderKind === 'run' && !t) this.begin(o.piece, o.try);
      else if (o.orderKind === 'stop' && t?.attempt === o.try && t.status !== 'ended')
        this.exit(t, 'stopped');
      else if (o.orderKind === 'reap' && t?.attempt === o.try && t.status === 'ended')
        this.tasks.delete(o.piece);
    }
  }

  begin(key, attempt) {
    const { fleet } = this;
    const t = { key, attempt, status: 'fetching', timer: null };
    fleet.began(key, attempt, this.id);
    this.tasks.set(key, t);
    this.again = true;
    fleet.counts.started++;
    t.timer = setTimeout(
      () => {
        t.status = 'running';
        this.changed();
        t.timer = setTimeout(() => {
          fleet.counts.completed++;
          fleet.finished.set(key, (fleet.finished.get(key) ?? 0) + 1);
          this.exit(t, 'done');
        }, fleet.runMs(key));
      },
      fleet.luck.between(100, 1500),
    );
  }

  exit(t, cause) {
    clearTimeout(t.timer);
    t.status = 'ended';
    t.cause = cause;
    this.changed();
  }
}

/** The cloud and all its machines. Gangs are not played: arrays make the load. */
export class Fleet {
  constructor({ kinds, nodes, reportMs, leaseMs, runMs, luck, bootMs }) {
    Object.assign(this, { kinds, nodes, reportMs, leaseMs, runMs, luck, bootMs });
    this.workers = new Map();
    this.hires = new Map();
    this.left = new Map(kinds.map((k) => [k.label, k.count]));
    this.n = 0;
    this.counts = {};
    this.faults = [];
    this.attempts = new Map();
    /** How often each task came to its end: more than once is work done twice. */
    this.finished = new Map();
    this.reset();
  }

  reset() {
    Object.assign(this.counts, {
      sent: 0,
      renewed: 0,
      refused: 0,
      unanswered: 0,
      lapsed: 0,
      killed: 0,
      started: 0,
      completed: 0,
    });
    this.times = [];
  }

  /** A task begins: where else it is, and whether its attempt was used on another machine, is a fault. */
  began(key, attempt, machine) {
    for (const w of this.workers.values()) {
      const t = w.id === machine || !w.alive ? undefined : w.tasks.get(key);
      if (t !== undefined && t.status !== 'ended') this.faults.push(`${key} on ${w.id} and ${machine}`);
    }
    const first = this.attempts.get(`${key}#${attempt}`);
    if (first !== undefined && first !== machine) this.faults.push(`${key} attempt ${attempt} twice`);
    this.attempts.set(`${key}#${attempt}`, machine);
  }

  took(ms, status) {
    if (status === 200) this.times.push(ms);
    else if (status === 0) this.counts.unanswered++;
    else this.counts.refused++;
  }

  handle(method, url, body, answer) {
    if (url.pathname === '/flavors') {
      return answer(200, {
        hostsKinds: this.kinds.map(({ label, vcpus, accelerators, memGb, hourly, rooms }) => ({
          label,
          vcpus,
          accelerators,
          memGb,
          hourly,
          rooms,
          cacheGb: 100,
          pullGbPerS: 1,
          spotPrice: 0,
          startupS: this.bootMs / 1000,
        })),
      });
    }
    if (url.pathname === '/hosts/delete') {
      for (const id of body.hosts) {
        const w = this.workers.get(id);
        if (!w) continue;
        w.worker?.end();
        clearTimeout(w.timer);
        this.workers.delete(id);
        this.left.set(w.kind, this.left.get(w.kind) + 1);
      }
      return answer(200, {});
    }
    if (method === 'POST') {
      const known = this.hires.get(body.hire);
      if (known) return answer(200, { hosts: known });
      const count = Math.min(body.howMany, body.borrowed ? 0 : this.left.get(body.hostKind));
      if (count === 0) return answer(503, { error: 'no capacity' });
      this.left.set(body.hostKind, this.left.get(body.hostKind) - count);
      const hosts = [];
      for (let i = 0; i < count; i++) {
        const id = `vm-${String(++this.n).padStart(6, '0')}`;
        const w = { id, kind: body.hostKind, room: body.room, worker: null, at: performance.now() };
        w.timer = setTimeout(
          () => {
            w.worker = new Worker(this, id, w.kind, w.room, false);
          },
          this.bootMs * this.luck.between(0.6, 1.5),
        );
        this.workers.set(id, w);
        hosts.push(id);
      }
      this.hires.set(body.hire, hosts);
      return answer(200, { hosts });
    }
    const after = url.searchParams.get('after') ?? '';
    const all = [...this.workers.values()].filter((w) => w.id > after);
    return answer(200, {
      hosts: all.slice(0, 500).map((w) => ({
        id: w.id,
        addr: this.ordersAddress,
        hostKind: w.kind,
        room: w.room,
        borrowed: false,
        status: w.worker ? 'running' : 'booting',
        heldS: (performance.now() - w.at) / 1000,
      })),
      more: all.length > 500,
    });
  }

  async listen() {
    // Direct orders are taken and dropped: the next reports tell.
    this.ordersAddress = await listen((_m, _u, _b, answer) => answer(200, {}));
    return listen((method, url, body, answer) => this.handle(method, url, body, answer));
  }

  end() {
    for (const w of this.workers.values()) {
      clearTimeout(w.timer);
      w.worker?.end();
    }
  }
}
