/**
 * Stand-in for the state service, after the section "Controller nodes -> state service" of the protocol: keys with revisions,
 * transactions, leases, watches, and the limits on rates, values and transactions. Each controller has an address of its own, so
 * that a fault can concern one controller only.
 */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { serveJson } from './http.mjs';

const HISTORY = 10_000;
const MAX_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TRANSACTION_BYTES = 64 * 1024;
const LEASE_END_DELAY_MS = 40;

/** Token bucket with a burst of one second's worth. */
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

/** The service. `faults(label)`: what happens to requests of one controller; see `handle`. */
export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps }) {
    this.requests = new Rate(rps);
    this.writes = new Rate(writeRps);
    this.valueBytes = valueKb * 1024;
    this.txnOps = txnOps;
    this.revision = 0;
    this.keys = new Map();
    this.log = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.watchers = new Set();
    this.down = false;
    /** By label: `refuse` (503), `delayMs`, `lateShare` and `lostShare` of transactions. */
    this.faults = new Map();
    /** Counts of answers with status 400, by reason. */
    this.refusals = new Map();
    this.servers = [];
    this.onRefusal = () => undefined;
  }

  async listen(label) {
    const server = await serveJson((request, respond) => this.receive(label, request, respond));
    this.servers.push(server);
    return server.address;
  }

  close() {
    for (const server of this.servers) server.close();
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
  }

  faultOf(label) {
    return this.faults.get(label) ?? {};
  }

  setDown(down) {
    this.down = down;
    for (const [id, lease] of [...this.leases]) {
      if (down) clearTimeout(lease.timer);
      else this.startLease(id, lease.ttlMs);
    }
    if (!down) this.notify();
  }

  receive(label, request, respond) {
    const fault = this.faultOf(label);
    const latencyMs = 1 + Math.random() * 5 + (fault.delayMs ?? 0);
    setTimeout(() => this.handle(label, request, (status, body) => respond(status, body)), latencyMs);
  }

  handle(label, { method, url, body }, respond) {
    const fault = this.faultOf(label);
    if (this.down || fault.refuse) return respond(503, { error: 'trouble' });
    if (!this.requests.take(1)) return respond(429, { error: 'requests' });
    const path = url.pathname;
    if (path === '/follow') return this.follow(label, url, respond);
    if (path === '/multi') {
      const draw = Math.random();
      if (draw < (fault.lateShare ?? 0)) {
        setTimeout(() => this.transact(body, label), 2000 + Math.random() * 10_000);
        return undefined;
      }
      const [status, answer] = this.transact(body, label);
      if (draw < (fault.lateShare ?? 0) + (fault.lostShare ?? 0)) return undefined;
      return respond(status, answer);
    }
    return respond(...this.immediate(method, path, url, body));
  }

  immediate(method, path, url, body) {
    if (path === '/kv') return [200, this.page(url)];
    if (path.startsWith('/kv/')) {
      const key = path.slice(4);
      const found = this.keys.get(key);
      return found === undefined
        ? [404, { ledgerRev: this.revision }]
        : [200, { k: key, value: JSON.parse(found.json), stamp: found.stamp, tenancy: found.lease }];
    }
    if (path === '/grants') {
      const id = this.nextLease++;
      this.startLease(id, body.ttlMs);
      return [200, { tenancy: id }];
    }
    const match = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (match === null) return [400, { error: 'malformed' }];
    const id = Number(match[1]);
    const lease = this.leases.get(id);
    if (lease === undefined) return [404, {}];
    if (method === 'DELETE') this.endLease(id);
    else this.startLease(id, lease.ttlMs);
    return [200, {}];
  }

  page(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after');
    const limit = Math.min(MAX_ITEMS, Number(url.searchParams.get('limit') ?? MAX_ITEMS));
    const names = [...this.keys.keys()].filter(
      (key) => key.startsWith(prefix) && (after === null || key > after),
    );
    names.sort();
    const entries = [];
    let bytes = 0;
    for (const name of names) {
      const { json, stamp } = this.keys.get(name);
      bytes += json.length + name.length + 40;
      if (entries.length >= limit || (bytes > MAX_PAGE_BYTES && entries.length > 0))
        return { entries, more: true, ledgerRev: this.revision };
      entries.push({ k: name, value: JSON.parse(json), stamp });
    }
    return { entries, more: false, ledgerRev: this.revision };
  }

  malformed(reason, label, detail) {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
    this.onRefusal({ reason, label, ...detail });
    return [400, { error: reason }];
  }

  transact({ when = [], then = [] }, label) {
    if (!this.writes.take(then.length)) return [429, { error: 'changes' }];
    const json = then.map((write) => (write.set === undefined ? '' : JSON.stringify(write.value)));
    const sizes = json.map((text) => Buffer.byteLength(text));
    const large = sizes.findIndex((size) => size > this.valueBytes);
    if (large >= 0)
      return this.malformed('value too large', label, { key: then[large].set, bytes: sizes[large] });
    if (then.length > this.txnOps || when.length > 4 * this.txnOps)
      return this.malformed('transaction too large', label, {
        changes: then.length,
        conditions: when.length,
      });
    const bytes = Buffer.byteLength(JSON.stringify({ when, then }));
    if (bytes > MAX_TRANSACTION_BYTES) return this.malformed('transaction too large', label, { bytes });
    if (then.some((write) => write.tenancy !== undefined && !this.leases.has(write.tenancy)))
      return [400, { error: 'no such lease' }];
    const failed = when.filter(({ k, stamp }) => (this.keys.get(k)?.stamp ?? 0) !== stamp).map(({ k }) => k);
    if (failed.length > 0) return [409, { failed, ledgerRev: this.revision }];
    if (then.length > 0) {
      this.revision++;
      then.forEach((write, i) => {
        if (write.set !== undefined) this.put(write.set, json[i], write.tenancy ?? null);
        else if (this.keys.has(write.delete)) this.put(write.delete, null, null);
      });
      this.notify();
    }
    return [200, { ledgerRev: this.revision }];
  }

  put(key, json, lease) {
    if (json === null) this.keys.delete(key);
    else this.keys.set(key, { json, stamp: this.revision, lease });
    this.log.push({ key, json, stamp: this.revision });
    if (this.log.length > 2 * HISTORY) this.log.splice(0, HISTORY);
  }

  startLease(id, ttlMs) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs + LEASE_END_DELAY_MS) });
  }

  endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    const bound = [...this.keys].filter(([, stored]) => stored.lease === id).map(([key]) => key);
    if (bound.length === 0) return;
    this.revision++;
    for (const key of bound) this.put(key, null, null);
    this.notify();
  }

  changes(prefix, after) {
    const start = Math.max(0, this.log.length - HISTORY);
    if (start > 0 && after < this.log[start].stamp) return null;
    const changes = [];
    for (let i = this.log.length - 1; i >= 0 && this.log[i].stamp > after; i--) {
      const { key, json, stamp } = this.log[i];
      if (!key.startsWith(prefix)) continue;
      changes.push(json === null ? { delete: key, stamp } : { set: key, value: JSON.parse(json), stamp });
    }
    return changes.reverse();
  }

  notify() {
    for (const check of [...this.watchers]) check();
  }

  follow(label, url, respond) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const blockMs = Math.min(60_000, Number(url.searchParams.get('blockMs') ?? 0));
    const answer = (log) =>
      log === null ? respond(410, {}) : respond(200, { ledgerRev: this.revision, log });
    const present = this.changes(prefix, after);
    if (present === null || present.length > 0 || blockMs === 0) return answer(present);
    const finish = () => {
      if (this.down || this.faultOf(label).refuse) {
        // Open watches wait while the service does not serve this controller.
        timer = setTimeout(finish, 200);
        return;
      }
      this.watchers.delete(check);
      clearTimeout(timer);
      answer(this.changes(prefix, after));
    };
    const check = () => {
      if (!this.down && !this.faultOf(label).refuse && this.changes(prefix, after)?.length !== 0) finish();
    };
    let timer = setTimeout(finish, blockMs);
    this.watchers.add(check);
    return undefined;
  }
}
