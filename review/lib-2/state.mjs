// Stand-in of the state service, by PROTOCOL "Controller nodes -> state service". In memory. Each controller has a port of
// its own, so that a fault can be set for one controller: `refuse` (503), `hang` (no answer), `slowMs`, `loseAnswers` and
// `lateWrites` (shares of transactions).
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { performance } from 'node:perf_hooks';

class Rate {
  constructor(perS) {
    this.perS = perS;
    this.left = perS;
    this.at = performance.now();
  }
  take(cost) {
    const now = performance.now();
    this.left = Math.min(this.perS, this.left + ((now - this.at) / 1000) * this.perS);
    this.at = now;
    if (this.left < cost) return false;
    this.left -= cost;
    return true;
  }
}

export class StateService {
  constructor({ rps, write_rps: writeRps, value_kb: valueKb, txn_ops: txnOps }, record = () => undefined) {
    this.limits = { valueBytes: valueKb * 1024, txnOps };
    this.requests = new Rate(rps);
    this.writes = new Rate(writeRps);
    this.record = record;
    this.keys = new Map();
    this.log = [];
    this.revision = 0;
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.down = false;
    this.doors = [];
    this.counts = { refused: 0, tooMany: 0, late: 0, lost: 0 };
  }

  /** Opens a port for one controller; returns the door, whose fields are the faults. */
  async open(label) {
    const door = { label, refuse: false, hang: false, slowMs: 0, loseAnswers: 0, lateWrites: 0, lateMs: [2000, 12000], address: '' };
    door.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.receive(door, request, Buffer.concat(chunks), response));
    });
    door.server.keepAliveTimeout = 0;
    await new Promise((done) => door.server.listen(0, '127.0.0.1', done));
    door.address = `127.0.0.1:${door.server.address().port}`;
    this.doors.push(door);
    return door;
  }

  close() {
    for (const { server } of this.doors) {
      server.close();
      server.closeAllConnections();
    }
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
  }

  /** Begins or ends an outage: 503 for all; afterwards every lease has its full time again. */
  outage(down) {
    this.down = down;
    for (const [id, lease] of this.leases) {
      clearTimeout(lease.timer);
      if (!down) this.arm(id);
    }
    if (!down) this.wake();
  }

  receive(door, request, body, response) {
    const answer = (status, value) => {
      if (response.destroyed) return;
      const bytes = Buffer.from(JSON.stringify(value));
      response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length });
      response.end(bytes);
    };
    const later = (ms, what) => (ms > 0 ? setTimeout(what, ms) : what());
    if (door.hang) return;
    const url = new URL(request.url, 'http://state');
    const isWrite = request.method === 'POST' && url.pathname === '/multi';
    if (isWrite && Math.random() < door.lateWrites && !this.down && !door.refuse) {
      const [from, to] = door.lateMs;
      this.counts.late++;
      setTimeout(() => !this.down && this.handle(door, request.method, url, body, () => undefined), from + (to - from) * Math.random());
      return;
    }
    const lost = isWrite && Math.random() < door.loseAnswers;
    if (lost) this.counts.lost++;
    later(1 + door.slowMs * (0.5 + Math.random()), () =>
      this.handle(door, request.method, url, body, lost ? () => undefined : answer),
    );
  }

  handle(door, method, url, raw, answer) {
    if (this.down || door.refuse) {
      this.counts.refused++;
      return answer(503, { error: 'trouble' });
    }
    if (!this.requests.take(1)) {
      this.counts.tooMany++;
      return answer(429, { error: 'too many requests' });
    }
    const path = url.pathname;
    let body = {};
    if (raw.length > 0)
      try {
        body = JSON.parse(raw.toString());
      } catch {
        return answer(400, { error: 'not JSON' });
      }
    if (method === 'GET' && path === '/kv') return this.page(url, answer);
    if (method === 'GET' && path.startsWith('/kv/')) {
      const key = path.slice(4);
      const held = this.keys.get(key);
      if (held === undefined) return answer(404, { ledgerRev: this.revision });
      return answer(200, { k: key, value: held.value, stamp: held.stamp, ...(held.lease ? { tenancy: held.lease } : {}) });
    }
    if (method === 'GET' && path === '/follow') return this.follow(door, url, answer);
    if (method === 'POST' && path === '/multi') return this.multi(body, raw.length, answer);
    if (method === 'POST' && path === '/grants') {
      const id = this.nextLease++;
      this.leases.set(id, { ttlMs: body.ttlMs, timer: null });
      this.arm(id);
      return answer(200, { tenancy: id });
    }
    const grant = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (grant === null) return answer(400, { error: 'no such path' });
    const id = Number(grant[1]);
    if (!this.leases.has(id)) return answer(404, {});
    if (grant[2]) this.arm(id);
    else this.expire(id);
    return answer(200, {});
  }

  arm(id) {
    const lease = this.leases.get(id);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.expire(id), lease.ttlMs + 40);
  }

  expire(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const gone = [...this.keys].filter(([, held]) => held.lease === id).map(([key]) => key);
    if (gone.length === 0) return;
    this.revision++;
    for (const key of gone) this.put(key, undefined, null);
    this.wake();
  }

  put(key, value, lease) {
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, stamp: this.revision, lease });
    this.log.push({ key, value, stamp: this.revision });
    if (this.log.length > 20_000) this.log.splice(0, 10_000);
  }

  multi({ when = [], then = [] }, bytes, answer) {
    if (!this.writes.take(then.length)) {
      this.counts.tooMany++;
      return answer(429, { error: 'too many changes' });
    }
    const { txnOps, valueBytes } = this.limits;
    if (then.length > txnOps || when.length > 4 * txnOps || bytes > 64 * 1024) return answer(400, { error: 'too large' });
    for (const write of then) {
      if (write.set !== undefined && Buffer.byteLength(JSON.stringify(write.value)) > valueBytes)
        return answer(400, { error: 'value too large' });
      if (write.tenancy !== undefined && write.tenancy !== null && !this.leases.has(write.tenancy))
        return answer(400, { error: 'no such lease' });
    }
    const failed = when.filter(({ k, stamp }) => (this.keys.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return answer(409, { failed, ledgerRev: this.revision });
    if (then.length > 0) {
      this.revision++;
      for (const write of then)
        if (write.set !== undefined) this.put(write.set, write.value, write.tenancy ?? null);
        else if (this.keys.has(write.delete)) this.put(write.delete, undefined, null);
      this.wake();
    }
    return answer(200, { ledgerRev: this.revision });
  }

  page(url, answer) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const limit = Math.min(1000, Number(url.searchParams.get('limit') ?? 1000));
    const keys = [...this.keys.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const entries = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, stamp } = this.keys.get(key);
      bytes += JSON.stringify(value).length + key.length + 40;
      if (entries.length === limit || bytes > 500_000) break;
      entries.push({ k: key, value, stamp });
    }
    return answer(200, { entries, more: entries.length < keys.length, ledgerRev: this.revision });
  }

  changes(prefix, after) {
    const oldest = this.log[Math.max(0, this.log.length - 10_000)];
    if (oldest !== undefined && this.log.length >= 10_000 && after < oldest.stamp - 1) return null;
    const out = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i].stamp > after; i--) {
      const { key, value, stamp } = this.log[i];
      if (key.startsWith(prefix)) out.push(value === undefined ? { delete: key, stamp } : { set: key, value, stamp });
    }
    return out.reverse();
  }

  follow(door, url, answer) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const blockMs = Math.min(60_000, Number(url.searchParams.get('blockMs') ?? 0));
    const respond = () => {
      const log = this.changes(prefix, after);
      if (log === null) answer(410, {});
      else answer(200, { ledgerRev: this.revision, log });
    };
    const first = this.changes(prefix, after);
    if (first === null || first.length > 0 || blockMs === 0) return respond();
    const watcher = () => {
      if (this.down || door.refuse || door.hang || this.changes(prefix, after)?.length === 0) return;
      finish();
    };
    const finish = () => {
      clearTimeout(timer);
      this.watchers.delete(watcher);
      if (door.hang) return;
      setTimeout(respond, 1 + door.slowMs * Math.random());
    };
    const timer = setTimeout(() => (this.down || door.refuse ? this.watchers.delete(watcher) : finish()), blockMs);
    this.watchers.add(watcher);
    return undefined;
  }

  wake() {
    for (const watcher of [...this.watchers]) watcher();
  }
}
