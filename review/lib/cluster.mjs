/** Starts controllers with the command of the deploy file, and sends them requests as users do. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import * as net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Connection, parsed } from './http.mjs';

/** The repository's root. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Resolves after `ms` milliseconds. */
export const sleep = (ms) => delay(ms);

/** Writes one line for each event to a file, with the seconds since the start. */
export const recorder = (path) => {
  const began = performance.now();
  const file = createWriteStream(path);
  const log = (what, fields = {}) => {
    if (file.writableEnded) return;
    const at = ((performance.now() - began) / 1000).toFixed(3).padStart(8);
    const parts = Object.entries(fields).map(
      ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
    );
    file.write(`${at} ${what}${parts.length > 0 ? ' ' : ''}${parts.join(' ')}\n`);
  };
  return { log, end: () => new Promise((resolve) => file.end(resolve)) };
};

const isFree = (port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Ports below the ephemeral ones, so that no outgoing connection and no stand-in gets a controller's port. */
const PORTS = { from: 12_000, to: 32_000 };
let nextPort = PORTS.from + ((process.pid * 61) % (PORTS.to - PORTS.from));

const freePort = async () => {
  for (;;) {
    const port = nextPort;
    nextPort = nextPort + 1 < PORTS.to ? nextPort + 1 : PORTS.from;
    if (await isFree(port)) return port;
  }
};

const toml = (value) =>
  typeof value === 'string' ? JSON.stringify(value) : Number.isInteger(value) ? `${value}.0` : `${value}`;

/** The controllers of one run. */
export class Controllers {
  /** `settings`: the numbers of the `[cluster]` part. `log`: the recorder's function. */
  constructor(settings, log) {
    this.settings = settings;
    this.log = log;
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.nodes = [];
    this.closing = false;
    this.unexpectedExits = [];
    const deploy = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
    const [, command] = /^run = "(.*)"$/m.exec(deploy);
    [this.program, ...this.arguments] = command.split(' ');
  }

  /** Reserves addresses. `peerAddress(from, to)` may put a proxy between two controllers. */
  async prepare(count, zones, stateAddress, cloudAddress, peerAddress = (_from, to) => to.peer) {
    for (let i = 0; i < count; i++)
      this.nodes.push({
        label: `valvehost-${i}`,
        zone: zones[i % zones.length],
        listen: `127.0.0.1:${await freePort()}`,
        peer: `127.0.0.1:${await freePort()}`,
        child: null,
      });
    for (const node of this.nodes) {
      node.file = join(this.directory, `${node.label}.toml`);
      const others = [];
      for (const other of this.nodes)
        if (other !== node) others.push({ ...other, address: await peerAddress(node, other) });
      writeFileSync(
        node.file,
        this.text(node, others, await stateAddress(node.label), await cloudAddress(node.label)),
      );
    }
    return this.nodes;
  }

  text(node, others, state, cloud) {
    const { teams, objectives = [], workers, stateLimits, cloudLimits, machine, zones } = this.settings;
    const lines = [
      `label = "${node.label}"`,
      `zone = "${node.zone}"`,
      `listen = "${node.listen}"`,
      `cluster_listen = "${node.peer}"`,
      ...others.flatMap((other) => [
        '[[others]]',
        `label = "${other.label}"`,
        `zone = "${other.zone}"`,
        `peer_addr = "${other.address}"`,
      ]),
      '[services]',
      `cloud = "${cloud}"`,
      `state = "${state}"`,
      '[cluster]',
      `nodes = ${this.nodes.length}`,
      `zones = ${JSON.stringify(zones)}`,
      'skew_ms = 5.0',
    ];
    const table = (name, values) => {
      lines.push(name);
      for (const [key, value] of Object.entries(values)) lines.push(`${key} = ${toml(value)}`);
    };
    for (const team of teams) table('[[cluster.teams]]', team);
    for (const objective of objectives) table('[[cluster.objectives]]', objective);
    table('[cluster.workers]', workers);
    table('[cluster.state]', { ...stateLimits });
    table('[cluster.cloud]', cloudLimits);
    table('[cluster.machine_limits]', { ...machine });
    // Counts are integers.
    return `${lines.join('\n')}\n`.replace(/^(txn_ops|max_connections) = (\d+)\.0$/gm, '$1 = $2');
  }

  start(node) {
    const child = spawn(
      this.program === 'node' ? process.execPath : this.program,
      [...this.arguments, node.file],
      {
        cwd: ROOT,
        stdio: ['ignore', 'ignore', 'pipe'],
        env: { ...process.env, LOG_LEVEL: this.settings.logLevel ?? 'info' },
      },
    );
    node.child = child;
    this.log('controller started', { node: node.label });
    let rest = '';
    child.stderr.on('data', (chunk) => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop();
      for (const line of lines) this.log(`[${node.label}]`, { line });
    });
    child.on('exit', (code, signal) => {
      this.log('controller ended', { node: node.label, code, signal });
      if (node.child === child) node.child = null;
      if (!this.closing && child.expected !== true)
        this.unexpectedExits.push({ node: node.label, code, signal });
    });
  }

  signal(node, name) {
    if (node.child === null) return;
    if (name === 'SIGKILL' || name === 'SIGTERM') node.child.expected = true;
    this.log('signal', { node: node.label, name });
    node.child.kill(name);
  }

  async close() {
    this.closing = true;
    const ended = this.nodes
      .filter((node) => node.child !== null)
      .map((node) => {
        const { child } = node;
        const exit = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGKILL');
        return exit;
      });
    await Promise.all(ended);
    rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Sends users' requests. Each call opens a connection of its own, as through the load balancer. */
export class Users {
  constructor(nodes, log) {
    this.nodes = nodes;
    this.log = log;
  }

  /** One request to `node`, or to a random node; a refused connection leads to another node, up to three. */
  async send(method, path, body, timeoutMs, node = null) {
    const order = [...this.nodes].sort(() => Math.random() - 0.5);
    const candidates = node === null ? order.slice(0, 3) : [node];
    let answer = { status: 0, text: '', error: 'no node' };
    for (const candidate of candidates) {
      const connection = new Connection();
      answer = await connection.request(candidate.listen, method, path, body, timeoutMs);
      connection.close();
      answer.node = candidate.label;
      if (answer.status !== 0 || answer.error !== 'ECONNREFUSED') break;
    }
    return { ...answer, value: parsed(answer.text) };
  }

  /** Repeats a request as the protocol describes for submissions; returns the last answer. */
  async repeat(method, path, body, { totalMs, timeoutMs = 5000, accept }) {
    const began = performance.now();
    for (let tries = 1; ; tries++) {
      const sentAt = performance.now();
      this.log('request', { method, path, tries, ...(body === '' ? {} : { body }) });
      const answer = await this.send(method, path, body, timeoutMs);
      const { status, text, error, node } = answer;
      this.log('answer', {
        method,
        path,
        node,
        status,
        text: text.slice(0, 160),
        ...(error ? { error } : {}),
      });
      if (accept(status)) return { ...answer, tries, afterMs: performance.now() - began, sentAt };
      const waitMs = Math.min(30_000, Math.max(1000, Number(answer.headers?.['retry-after'] ?? 0) * 1000));
      if (performance.now() - began + waitMs > totalMs)
        return { ...answer, tries, afterMs: performance.now() - began, gaveUp: true };
      await sleep(waitMs);
    }
  }

  submit(job, totalMs = 60_000) {
    return this.repeat('POST', '/work', JSON.stringify(job), {
      totalMs,
      accept: (status) => [200, 201, 400, 422].includes(status),
    });
  }

  cancel(id, totalMs = 60_000) {
    return this.repeat('POST', `/work/${id}/withdraw`, '', { totalMs, accept: (status) => status === 200 });
  }

  poll(id, node = null) {
    return this.send('GET', `/work/${id}`, null, 2000, node);
  }
}

/** A submission with the fields that `fields` does not set. */
export const jobOf = (fields) => ({
  jobClass: 'report-render',
  owner: 'core-crew',
  shape: 'array',
  urgency: 'low',
  pieces: 1,
  vcpus: 1,
  accelerators: 0,
  memGb: 1,
  bundle: 'img-1',
  imageGb: 0.2,
  hostsKinds: null,
  room: null,
  samePlace: false,
  scatter: false,
  borrowed: false,
  expectS: 10,
  saveEveryS: 0,
  saveTakesS: 0,
  dueS: null,
  ...fields,
});
