// Stand-in of the cloud, by PROTOCOL "Controller nodes -> cloud": rents machines, lists them late, deletes them.
import http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { performance } from 'node:perf_hooks';

export class Cloud {
  /** `kinds`: machine types with `count` machines each, or `counts` by room (`spots`: cheap ones); `bootMs`: range of boot times. */
  constructor({ kinds, listLagS, rps, bootMs }, { onUp, onGone, record = () => undefined }) {
    Object.assign(this, { kinds, listLagS, rps, bootMs, onUp, onGone, record });
    this.hosts = new Map();
    this.hires = new Map();
    this.next = 0;
    this.left = new Map();
    for (const { label, rooms, count, counts, spot, spots } of kinds)
      if (counts) for (const room of rooms) {
        this.left.set(`${label}/${room}/false`, counts[room] ?? 0);
        this.left.set(`${label}/${room}/true`, spots?.[room] ?? 0);
      }
      else {
        this.left.set(`${label}/false`, count);
        this.left.set(`${label}/true`, spot ?? 0);
      }
    this.history = [{ at: performance.now(), list: [] }];
    this.tokens = rps * 2;
    this.tokensAt = performance.now();
    this.trouble = false;
  }

  async open() {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      response.on('error', () => undefined);
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const answer = (status, value) =>
          setTimeout(() => {
            if (response.destroyed) return;
            const bytes = Buffer.from(JSON.stringify(value));
            response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length });
            response.end(bytes);
          }, 20);
        this.handle(request.method, new URL(request.url, 'http://cloud'), Buffer.concat(chunks).toString(), answer);
      });
    });
    this.server.keepAliveTimeout = 0;
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
    for (const host of this.hosts.values()) clearTimeout(host.timer);
  }

  handle(method, url, text, answer) {
    const now = performance.now();
    this.tokens = Math.min(this.rps * 2, this.tokens + ((now - this.tokensAt) / 1000) * this.rps);
    this.tokensAt = now;
    if (this.trouble) return answer(503, { error: 'trouble' });
    if (this.tokens < 1) return answer(429, {});
    this.tokens--;
    const body = text === '' ? {} : JSON.parse(text);
    if (url.pathname === '/flavors')
      return answer(200, {
        hostsKinds: this.kinds.map(({ label, vcpus, accelerators, memGb, rooms }) => ({
          label, vcpus, accelerators, memGb, cacheGb: 70, pullGbPerS: 10, hourly: 1, spotPrice: 0.4, startupS: 3, rooms,
        })),
      });
    if (url.pathname === '/hosts/delete') {
      for (const id of body.hosts) this.remove(id, 'deleted');
      return answer(200, {});
    }
    if (method === 'POST') return this.rent(body, answer);
    const lagMs = this.listLagS * 1000;
    const shown = this.history.filter(({ at }) => at <= now - lagMs).at(-1) ?? this.history[0];
    const after = url.searchParams.get('after') ?? '';
    const later = shown.list.filter(({ id }) => id > after);
    const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
    return answer(200, {
      hosts: later.slice(0, limit).map(({ rentedAt, ...host }) => ({ ...host, heldS: (shown.at - rentedAt) / 1000 })),
      more: later.length > limit,
    });
  }

  rent({ hire, hostKind, room, borrowed, howMany }, answer) {
    if (this.hires.has(hire)) return answer(200, { hosts: this.hires.get(hire) });
    const key = this.poolOf(hostKind, room, borrowed);
    const count = Math.min(howMany, this.left.get(key) ?? 0);
    if (count === 0) return answer(503, { error: 'no capacity' });
    this.left.set(key, this.left.get(key) - count);
    const hosts = Array.from({ length: count }, () => this.boot(hostKind, room, borrowed));
    this.hires.set(hire, hosts);
    return answer(200, { hosts });
  }

  poolOf(label, room, borrowed) {
    const inRoom = `${label}/${room}/${borrowed}`;
    return this.left.has(inRoom) ? inRoom : `${label}/${borrowed}`;
  }

  boot(hostKind, room, borrowed) {
    const id = `vm-${String(++this.next).padStart(6, '0')}`;
    const [from, to] = this.bootMs;
    const host = { id, hostKind, room, borrowed, status: 'booting', rentedAt: performance.now(), addr: '127.0.0.1:9' };
    host.timer = setTimeout(() => void this.up(host), from + (to - from) * Math.random());
    this.hosts.set(id, host);
    this.note();
    return id;
  }

  async up(host) {
    host.addr = await this.onUp(host, this.kinds.find(({ label }) => label === host.hostKind));
    host.status = 'running';
    this.note();
  }

  /** The machine is gone, at once. */
  remove(id, why) {
    const host = this.hosts.get(id);
    if (host === undefined) return;
    clearTimeout(host.timer);
    this.hosts.delete(id);
    const key = this.poolOf(host.hostKind, host.room, host.borrowed);
    this.left.set(key, this.left.get(key) + 1);
    this.onGone(id, why);
    this.note();
  }

  note() {
    const list = [...this.hosts.values()].map(({ id, addr, hostKind, room, borrowed, status, rentedAt }) => ({
      id, addr, hostKind, room, borrowed, status, rentedAt,
    }));
    this.history.push({ at: performance.now(), list });
    if (this.history.length > 2000) this.history.shift();
  }
}
