// Stand-in of a worker, by PROTOCOL "Workers -> controller nodes", "Controller nodes -> workers" and "Gangs".
// Faults: `deaf` (answers and direct commands are lost), `mute` (reaches no controller), `hung` (does nothing, and goes on later).
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';

/** Gangs of all workers: they find one another by their attempt. */
export class Gangs {
  constructor(peerMs) {
    this.peerMs = peerMs;
    this.attempts = new Map();
  }
  of(job, attempt) {
    const key = `${job.id}#${attempt}`;
    if (!this.attempts.has(key)) this.attempts.set(key, { job, members: new Map(), running: false, timer: null });
    return this.attempts.get(key);
  }
  arrived(task) {
    const gang = this.of(task.job, task.attempt);
    gang.members.set(task.number, task);
    if (gang.running || gang.members.size < task.job.pieces) return;
    gang.running = true;
    for (const member of gang.members.values()) member.worker.set(member, 'running');
    gang.timer = setTimeout(() => this.end(gang, 'done'), task.job.runMs);
  }
  left(task) {
    const gang = this.of(task.job, task.attempt);
    if (gang.members.get(task.number) !== task) return;
    gang.members.delete(task.number);
    if (!gang.running) return;
    clearTimeout(gang.timer);
    gang.timer = setTimeout(() => this.end(gang, 'peers'), this.peerMs * 0.6);
  }
  /** A member's machine hangs: if it does so for longer, the others exit. */
  hung(task) {
    const gang = this.of(task.job, task.attempt);
    if (!gang.running) return;
    clearTimeout(gang.timer);
    gang.timer = setTimeout(() => this.end(gang, 'peers'), this.peerMs * 0.6);
  }
  end(gang, cause) {
    gang.running = false;
    for (const member of [...gang.members.values()]) member.worker.exit(member, cause);
  }
}

export class Worker {
  /** `world`: controllers (label, listen), timing, gangs, jobOf(id), results, on(event, task). */
  constructor(world, host, kind) {
    Object.assign(this, { world, host, kind });
    this.id = host.id;
    this.tenure = 1;
    this.tick = 0;
    this.warrant = 0;
    this.tasks = new Map();
    this.images = new Set();
    this.alive = true;
    this.deaf = false;
    this.mute = false;
    this.hung = false;
    this.index = Math.floor(Math.random() * world.controllers.length);
    this.renewedAt = performance.now();
    this.warrantAt = -1e9;
    this.sentAt = 0;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async open() {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        if (this.deaf || this.hung) {
          if (this.hung) this.resume.push(() => this.direct(request.url, Buffer.concat(chunks).toString(), response));
          return;
        }
        this.direct(request.url, Buffer.concat(chunks).toString(), response);
      });
    });
    this.resume = [];
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.addr = `127.0.0.1:${this.server.address().port}`;
    this.schedule(20);
    this.checkLease();
    return this.addr;
  }

  direct(url, text, response) {
    const answer = (status) => {
      if (response.destroyed) return;
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(this.report()));
    };
    if (url === '/show') return answer(200);
    const body = JSON.parse(text);
    if (body.warrant === undefined || body.tenure === undefined) return answer(400);
    if (body.warrant < this.warrant || body.tenure !== this.tenure) return answer(409);
    this.seeWarrant(body.warrant);
    this.execute(body.orders, 'direct');
    return answer(200);
  }

  report() {
    return {
      host: this.id, addr: this.addr, hostKind: this.host.hostKind, room: this.host.room, borrowed: this.host.borrowed,
      tenure: this.tenure, tick: ++this.tick, warrant: this.warrant, recallS: this.recallAt ? Math.max(0, (this.recallAt - performance.now()) / 1000) : null,
      pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause, stored }) => ({
        piece, try: attempt, status, ...(cause ? { cause } : {}), ...(stored ? { stored } : {}),
      })),
    };
  }

  schedule(ms) {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.send(), ms);
  }

  changed() {
    if (!this.alive) return;
    if (this.inFlight) this.pending = true;
    else this.schedule(Math.max(5, this.sentAt + 500 - performance.now()));
  }

  send() {
    if (!this.alive) return;
    if (this.hung) return this.schedule(200);
    const { controllers, timing } = this.world;
    this.inFlight = true;
    this.pending = false;
    this.sentAt = performance.now();
    const { sentAt, tenure } = this;
    const body = JSON.stringify(this.report());
    const target = controllers[this.index % controllers.length];
    this.post(target.listen, body, (status, text) => {
      this.inFlight = false;
      if (!this.alive) return;
      let delay = 1000;
      if (status === 200) {
        delay = timing.reportMs * (0.75 + 0.5 * Math.random());
        const answer = JSON.parse(text);
        if (answer.warrant >= this.warrant && tenure === this.tenure) {
          this.seeWarrant(answer.warrant);
          this.renewedAt = Math.max(this.renewedAt, sentAt);
          this.execute(answer.orders ?? [], target.label);
        }
      } else {
        const named = status === 421 ? controllers.findIndex(({ label }) => label === JSON.parse(text).answerTo) : -1;
        if (named >= 0 && named !== this.index % controllers.length) {
          this.index = named;
          delay = 500 * Math.random();
        } else this.index++;
      }
      this.schedule(this.pending ? Math.max(5, sentAt + 500 - performance.now()) : delay);
    });
  }

  post(address, body, done) {
    const [host, port] = address.split(':');
    let over = false;
    const finish = (status, text) => {
      if (over) return;
      over = true;
      clearTimeout(timer);
      if (status === null) request?.destroy();
      done(status, text);
    };
    const timer = setTimeout(() => finish(null, ''), 4000);
    let request = null;
    if (this.mute) return;
    request = http.request({ host, port, method: 'POST', path: '/agent/beat', agent: this.agent, headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) } });
    request.on('error', () => finish(null, ''));
    request.on('response', (response) => {
      const chunks = [];
      response.on('error', () => finish(null, ''));
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        if (this.deaf) return;
        if (this.hung) {
          this.resume.push(() => performance.now() - this.sentAt < 4000 && finish(response.statusCode, Buffer.concat(chunks).toString()));
          return;
        }
        finish(response.statusCode, Buffer.concat(chunks).toString());
      });
    });
    request.end(body);
  }

  seeWarrant(warrant) {
    if (warrant <= this.warrant) return;
    this.warrant = warrant;
    const now = performance.now();
    if (now - this.warrantAt < this.world.timing.leaseMs / 2) return;
    this.warrantAt = now;
    this.changed();
  }

  checkLease() {
    if (!this.alive) return;
    const left = this.renewedAt + this.world.timing.leaseMs - performance.now();
    if (left <= 0) {
      // Also while the machine hangs: it may go on only within its lease.
      this.world.record('lease', { host: this.id, tasks: this.tasks.size });
      this.drop();
      this.tenure++;
      this.tick = 0;
      this.renewedAt = performance.now();
      this.changed();
    }
    this.leaseTimer = setTimeout(() => this.checkLease(), Math.min(100, Math.max(5, left)));
  }

  drop() {
    for (const task of this.tasks.values()) {
      if (task.cause === 'done') this.world.results.add(task.piece);
      this.leave(task, 'killed');
    }
    this.tasks.clear();
  }

  /** The machine is gone. */
  end() {
    this.alive = false;
    clearTimeout(this.timer);
    clearTimeout(this.leaseTimer);
    this.drop();
    this.agent.destroy();
    this.server.close();
    this.server.closeAllConnections();
  }

  hang(ms) {
    this.hung = true;
    for (const task of this.tasks.values()) if (task.job?.shape === 'ensemble') this.world.gangs.hung(task);
    setTimeout(() => {
      this.hung = false;
      for (const go of this.resume.splice(0)) go();
      for (const task of [...this.tasks.values()]) if (task.due) task.due();
    }, ms);
  }

  execute(orders, from) {
    for (const { orderKind, piece, try: attempt, windDownS = 0 } of orders) {
      const key = `${piece}#${attempt}`;
      const held = this.tasks.get(key);
      this.world.record('order', { host: this.id, orderKind, piece, try: attempt, from });
      if (orderKind === 'run') {
        if (held === undefined) this.begin(key, piece, attempt);
      } else if (held === undefined) continue;
      else if (orderKind === 'stop') this.stop(held, windDownS);
      else if (held.status === 'ended') {
        if (held.cause === 'done') this.world.results.add(held.piece);
        this.tasks.delete(key);
      }
    }
  }

  begin(key, piece, attempt) {
    const slash = piece.lastIndexOf('/');
    const job = this.world.jobOf(piece.slice(0, slash));
    const number = Number(piece.slice(slash + 1));
    const task = { worker: this, host: this.id, key, piece, job, number, attempt, status: 'fetching', cause: null, present: false };
    const held = [...this.tasks.values()].some((other) => other.piece === piece && other.status !== 'ended');
    this.tasks.set(key, task);
    this.changed();
    if (held) return this.exit(task, 'in_use');
    if (job === undefined || number >= job.pieces) return this.exit(task, 'unknown');
    let { vcpus, accelerators, memGb } = this.kind;
    for (const other of this.tasks.values())
      if (other.status !== 'ended') {
        vcpus -= other.job.vcpus;
        accelerators -= other.job.accelerators;
        memGb -= other.job.memGb;
      }
    if (Math.min(vcpus, accelerators, memGb) < -1e-6) return this.exit(task, 'full');
    this.after(task, this.images.has(job.bundle) ? 1 : job.imageGb * 100, () => this.fetched(task));
  }

  /** Runs `what` after `ms`, later while the machine hangs. */
  after(task, ms, what) {
    clearTimeout(task.timer);
    task.timer = setTimeout(() => {
      if (this.hung) task.due = () => ((task.due = null), what());
      else what();
    }, ms);
  }

  fetched(task) {
    if (task.status !== 'fetching') return;
    this.images.add(task.job.bundle);
    task.present = true;
    this.world.on('start', task);
    if (this.world.results.has(task.piece)) return this.exit(task, 'done');
    const failsAfterMs = this.world.failsAfterMs?.(task) ?? null;
    if (failsAfterMs !== null) {
      this.set(task, 'running');
      this.after(task, failsAfterMs, () => this.exit(task, 'error'));
      return undefined;
    }
    if (task.job.shape === 'ensemble') {
      this.set(task, 'gathering');
      this.world.gangs.arrived(task);
      if (task.status === 'gathering') this.after(task, this.world.timing.gangWaitMs, () => task.status === 'gathering' && this.exit(task, 'alone'));
      return;
    }
    this.set(task, 'running');
    if (task.job.shape === 'array') this.after(task, task.job.runMs, () => this.exit(task, 'done'));
  }

  set(task, status) {
    if (task.status === 'ended') return;
    if (status === 'running') clearTimeout(task.timer);
    task.status = status;
    this.changed();
  }

  stop(task, windDownS) {
    if (task.status === 'ended') return;
    const saves = task.job?.saveEveryS > 0 && windDownS >= task.job.saveTakesS && task.status === 'running' && task.job.shape !== 'ensemble';
    if (task.status === 'flushing' && windDownS > 0) return;
    if (!saves) return this.exit(task, 'stopped');
    this.set(task, 'flushing');
    this.after(task, task.job.saveTakesS * 1000, () => ((task.stored = true), this.exit(task, 'stopped')));
  }

  /** What the tasks on this machine leave free. */
  room() {
    const left = { vcpus: this.kind.vcpus, accelerators: this.kind.accelerators, memGb: this.kind.memGb };
    for (const { status, job } of this.tasks.values())
      if (status !== 'ended' && job !== undefined) for (const name of Object.keys(left)) left[name] -= job[name];
    return left;
  }

  fits(job) {
    const left = this.room();
    return Object.keys(left).every((name) => job[name] <= left[name] + 1e-9);
  }

  exit(task, cause) {
    if (task.status === 'ended') return;
    if (this.hung) {
      task.due = () => ((task.due = null), this.exit(task, cause));
      return;
    }
    task.status = 'ended';
    task.cause = cause;
    if (cause === 'done') this.world.results.add(task.piece);
    this.leave(task, cause);
    this.changed();
  }

  leave(task, cause) {
    clearTimeout(task.timer);
    task.due = null;
    if (!task.present) return;
    task.present = false;
    this.world.on('left', task, cause);
    if (task.job.shape === 'ensemble') this.world.gangs.left(task);
  }
}
