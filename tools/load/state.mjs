/**
 * Stand-in for the state service on loopback, by the protocol's "Controller nodes -> state service": kept in memory,
 * with its rate limits, leases and watches. For load runs only: nothing is durable.
 */
import * as http from 'node:http';

const HISTORY = 10_000;

export class State {
  /** `limits`: requests and changes a second; bursts of one second's worth. */
  constructor(limits) {
    this.limits = limits;
    this.keys = new Map();
    this.sorted = null;
    this.log = [];
    this.revision = 0;
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.out = false;
    this.counts = { requests: 0, changes: 0, refused: 0, followBytes: 0 };
    this.buckets = { rps: { left: limits.rps, at: 0 }, writes: { left: limits.writes, at: 0 } };
  }

  take(name, cost) {
    const b = this.buckets[name];
    const rate = this.limits[name];
    const at = performance.now();
    b.left = Math.min(rate, b.left + ((at - b.at) / 1000) * rate);
    b.at = at;
    if (b.left < cost) return false;
    b.left -= cost;
    return true;
  }

  put(key, value, lease) {
    if (value === undefined) this.keys.delete(key);
    else this.keys.set(key, { value, stamp: this.revision, lease });
    this.sorted = null;
    this.log.push({ key, value, stamp: this.revision, lease, at: performance.now() });
    if (this.log.length > 20 * HISTORY) this.log.splice(0, HISTORY);
  }

  arm(id, ttl) {
    const old = this.leases.get(id);
    if (old) clearTimeout(old.timer);
    this.leases.set(id, { ttl, timer: setTimeout(() => this.expire(id), ttl + 50) });
  }

  expire(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const gone = [...this.keys].filter(([, v]) => v.lease === id).map(([k]) => k);
    if (gone.length === 0) return;
    this.revision++;
    for (const k of gone) this.put(k, undefined, null);
    this.notify();
  }

  notify() {
    for (const w of [...this.watchers]) w();
  }

  /** true: down. After an outage every lease has its full time again. */
  outage(on) {
    this.out = on;
    for (const [id, l] of [...this.leases]) {
      if (on) clearTimeout(l.timer);
      else this.arm(id, l.ttl);
    }
    if (!on) this.notify();
  }

  /** Loses everything (`ms` null), or what came in the last so many milliseconds; leases go with their keys. */
  lose(ms) {
    const until = ms === null ? Number.NEGATIVE_INFINITY : performance.now() - ms;
    for (const l of this.leases.values()) clearTimeout(l.timer);
    this.leases.clear();
    if (ms === null) this.nextLease = 1;
    // Further back than the history reaches, nothing is left.
    const whole = this.log.length > 0 && this.log[0].stamp <= 1;
    const kept = whole ? this.log.filter((e) => e.at <= until) : [];
    this.keys = new Map();
    this.sorted = null;
    this.log = kept;
    this.revision = kept[kept.length - 1]?.stamp ?? 0;
    for (const e of kept) {
      if (e.value === undefined || e.lease !== null) this.keys.delete(e.key);
      else this.keys.set(e.key, { value: e.value, stamp: e.stamp, lease: null });
    }
    this.notify();
  }

  page(prefix, after, limit) {
    this.sorted ??= [...this.keys.keys()].sort();
    const entries = [];
    let more = false;
    let size = 0;
    for (const k of this.sorted) {
      if (!k.startsWith(prefix) || (after !== null && k <= after)) continue;
      if (entries.length >= Math.min(1000, limit) || size > 500_000) {
        more = true;
        break;
      }
      const v = this.keys.get(k);
      size += JSON.stringify(v.value).length + k.length + 40;
      entries.push({ k, value: v.value, stamp: v.stamp });
    }
    return { entries, more, ledgerRev: this.revision };
  }

  changes(prefix, after) {
    if (this.log.length > 0 && after < this.log[Math.max(0, this.log.length - HISTORY)].stamp - 1)
      return null;
    const out = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i].stamp > after; i--) {
      const e = this.log[i];
      if (e.key.startsWith(prefix))
        out.push(
          e.value === undefined
            ? { delete: e.key, stamp: e.stamp }
            : { set: e.key, value: e.value, stamp: e.stamp },
        );
    }
    return out.reverse();
  }

  multi({ when = [], then = [] }) {
    if (!this.take('writes', then.length)) return [429, { error: 'changes' }];
    this.counts.changes += then.length;
    for (const w of then)
      if (w.tenancy !== undefined && !this.leases.has(w.tenancy)) return [400, { error: 'no such lease' }];
    const failed = when.filter((c) => (this.keys.get(c.k)?.stamp ?? 0) !== c.stamp).map((c) => c.k);
    if (failed.length > 0) return [409, { failed, ledgerRev: this.revision }];
    if (then.length > 0) {
      this.revision++;
      for (const w of then) {
        if (w.set !== undefined) this.put(w.set, w.value, w.tenancy ?? null);
        else if (this.keys.has(w.delete)) this.put(w.delete, undefined, null);
      }
      this.notify();
    }
    return [200, { ledgerRev: this.revision }];
  }

  follow(url, answer) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const blockMs = Math.min(60_000, Number(url.searchParams.get('blockMs') ?? 0));
    const say = (log) => {
      if (log === null) return answer(410, {});
      this.counts.followBytes += answer(200, { ledgerRev: this.revision, log });
    };
    const first = this.changes(prefix, after);
    if (first === null || first.length > 0 || blockMs === 0) return say(first);
    const end = () => {
      this.watchers.delete(check);
      clearTimeout(timer);
      say(this.changes(prefix, after));
    };
    const check = () => {
      if (!this.out && this.changes(prefix, after)?.length !== 0) end();
    };
    const timer = setTimeout(end, blockMs);
    this.watchers.add(check);
  }

  handle(method, url, body, answer) {
    if (this.out) return answer(503, { error: 'trouble' });
    this.counts.requests++;
    if (!this.take('rps', 1)) {
      this.counts.refused++;
      return answer(429, { error: 'requests' });
    }
    const path = url.pathname;
    if (path === '/follow') return this.follow(url, answer);
    if (path === '/multi') return answer(...this.multi(body));
    if (path === '/kv')
      return answer(
        200,
        this.page(
          url.searchParams.get('prefix') ?? '',
          url.searchParams.get('after'),
          Number(url.searchParams.get('limit') ?? 1000),
        ),
      );
    if (path.startsWith('/kv/')) {
      const v = this.keys.get(path.slice(4));
      return v
        ? answer(200, { k: path.slice(4), value: v.value, stamp: v.stamp })
        : answer(404, { ledgerRev: this.revision });
    }
    if (path === '/grants') {
      const id = this.nextLease++;
      this.arm(id, body.ttlMs);
      return answer(200, { tenancy: id });
    }
    const m = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (!m) return answer(400, {});
    const id = Number(m[1]);
    const lease = this.leases.get(id);
    if (m[2] && lease) this.arm(id, lease.ttl);
    if (method === 'DELETE') this.expire(id);
    return answer(lease ? 200 : 404, {});
  }

  listen() {
    return listen((method, url, body, answer) => this.handle(method, url, body, answer));
  }
}

/** A JSON server on a free loopback port; resolves to its address. `answer` returns the bytes it sent. */
export const listen = (handle) =>
  new Promise((done) => {
    const server = http.createServer((req, res) => {
      const parts = [];
      req.on('data', (p) => parts.push(p));
      req.on('end', () => {
        const text = Buffer.concat(parts).toString();
        handle(
          req.method,
          new URL(req.url, 'http://stand-in'),
          text === '' ? {} : JSON.parse(text),
          (status, value) => {
            const out = Buffer.from(JSON.stringify(value));
            res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': out.length });
            res.end(out);
            return out.length;
          },
        );
      });
    });
    server.keepAliveTimeout = 0;
    server.listen(0, '127.0.0.1', () => done(`127.0.0.1:${server.address().port}`));
  });
