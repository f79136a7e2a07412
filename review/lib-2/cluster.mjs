// A small deployment on loopback: controllers as the deploy file starts them, and stand-ins for all that is around them.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { Buffer } from 'node:buffer';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { Checks } from './checks.mjs';
import { Cloud } from './cloud.mjs';
import { Proxy } from './proxy.mjs';
import { StateService } from './state.mjs';
import { Gangs, Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** The command of the deploy file: program and arguments. */
const runCommand = () => {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  return /^run\s*=\s*"(.*)"\s*$/m.exec(text)[1].split(' ');
};

/**
 * A free port below those that the system gives to outgoing connections: a controller that is down for a while must find its
 * port again.
 */
const PORTS_PER_RUN = 30;
const listenOn = (port) =>
  new Promise((done) => {
    const server = net.createServer();
    server.on('error', () => done(null));
    server.listen(port, '127.0.0.1', () => done(server));
  });
let nextPort = null;
const freePort = async () => {
  // The first port of the range is held for the whole run, so that another run takes another range.
  for (let range = (process.pid * 37) % 600; nextPort === null; range = (range + 1) % 600) {
    const held = await listenOn(12_000 + range * PORTS_PER_RUN);
    if (held === null) continue;
    held.unref();
    nextPort = 12_001 + range * PORTS_PER_RUN;
  }
  for (;;) {
    const port = nextPort++;
    const probe = await listenOn(port);
    if (probe === null) continue;
    await new Promise((done) => probe.close(done));
    return port;
  }
};

/** Teams without a guarantee or a limit, as in the site files. */
export const teamsOf = (...names) => names.map((name) => ({ name, cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }));

/** Values of the deployment kowhai-online (BRIEF); three controllers. */
export const KOWHAI = {
  nodes: 3,
  zones: ['wellington-rack', 'hamilton-rack'],
  workers: { report_s: 1.5, lease_s: 11, gang_wait_s: 20, gang_peer_s: 4, cancel_s: 36 },
  state: { rps: 80, write_rps: 30, value_kb: 32, txn_ops: 24 },
  cloud: { rps: 8, list_lag_s: 4 },
  machine_limits: { cores: 0.255, memory_mb: 178, max_connections: 1000 },
  teams: [
    { name: 'app-crew', cpus: 32, cpus_max: 64, gpus: 0, gpus_max: 0 },
    { name: 'core-crew', cpus: 32, cpus_max: 0, gpus: 0, gpus_max: 0 },
  ],
  objectives: [
    { kind: 'wait', class: 'ledger-reconcile', within_s: 20, share: 0.9 },
    { kind: 'deadline', class: 'report-render', share: 0.9, times: 1 },
  ],
  kinds: [
    { label: 'teller-box', vcpus: 16, accelerators: 0, memGb: 64, rooms: ['wellington-rack', 'hamilton-rack'], count: 12, spot: 6 },
    { label: 'kiwi-gpu', vcpus: 12, accelerators: 2, memGb: 48, rooms: ['wellington-rack', 'hamilton-rack'], count: 4, spot: 2 },
  ],
  bootMs: [1000, 2500],
};

/** Values of the deployment cairo-mtb-cluster (BRIEF). */
export const CAIRO = {
  nodes: 3,
  zones: ['giza-annex', 'ramses-hall'],
  workers: { report_s: 3, lease_s: 27, gang_wait_s: 35, gang_peer_s: 5, cancel_s: 47 },
  state: { rps: 120, write_rps: 25, value_kb: 16, txn_ops: 20 },
  cloud: { rps: 1.5, list_lag_s: 12 },
  machine_limits: { cores: 0.425, memory_mb: 242, max_connections: 2000 },
  teams: teamsOf('arabic-desk'),
  objectives: [
    { kind: 'wait', class: 'corpus-align', within_s: 15, share: 0.9 },
    { kind: 'deadline', class: 'speech-transcribe', share: 0.85, times: 1 },
  ],
  kinds: [
    { label: 'desk-node', vcpus: 32, accelerators: 0, memGb: 64, rooms: ['ramses-hall', 'giza-annex'], counts: { 'ramses-hall': 4, 'giza-annex': 5 }, spots: { 'ramses-hall': 3, 'giza-annex': 3 } },
    { label: 'voice-node', vcpus: 32, accelerators: 4, memGb: 256, rooms: ['ramses-hall', 'giza-annex'], counts: { 'ramses-hall': 5, 'giza-annex': 6 }, spots: { 'ramses-hall': 3, 'giza-annex': 3 } },
  ],
  bootMs: [1000, 2500],
};

const toml = (value) => (typeof value === 'string' ? JSON.stringify(value) : Array.isArray(value) ? `[${value.map(toml).join(', ')}]` : Number.isInteger(value) ? String(value) : String(value));
const table = (name, fields) => `\n${name}\n${Object.entries(fields).map(([key, value]) => `${key} = ${toml(value)}`).join('\n')}\n`;

export class Cluster {
  constructor({ folder, config = KOWHAI, logLevel = 'info', peerProxies = true, recordFile = 'record.txt', quiet = [] }) {
    Object.assign(this, { folder, config, logLevel, peerProxies, quiet });
    this.file = join(folder, recordFile);
    writeFileSync(this.file, '');
    this.begun = performance.now();
    this.buffer = [];
    this.temp = mkdtempSync(join(tmpdir(), 'lilacvalve-review-'));
    this.record = this.record.bind(this);
    this.checks = new Checks({ teams: config.teams, cancelMs: config.workers.cancel_s * 1000, record: this.record });
    this.workers = new Map();
    this.jobs = new Map();
    this.ended = false;
    this.crashes = [];
  }

  record(kind, fields = {}) {
    if (this.quiet.includes(kind)) return;
    this.buffer.push(`${((performance.now() - this.begun) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}`);
    if (this.buffer.length > 200) this.flush();
  }

  flush() {
    if (this.buffer.length > 0) appendFileSync(this.file, `${this.buffer.splice(0).join('\n')}\n`);
  }

  async start() {
    const { config } = this;
    const { workers: timing } = config;
    this.state = new StateService(config.state, this.record);
    const nodes = [];
    for (let i = 0; i < config.nodes; i++) {
      const label = `valvehost-${i}`;
      const door = await this.state.open(label);
      nodes.push({ label, zone: config.zones[i % config.zones.length], listen: `127.0.0.1:${await freePort()}`, peer: `127.0.0.1:${await freePort()}`, door, links: new Map(), healthy: true });
    }
    this.nodes = nodes;
    this.world = {
      controllers: nodes.map(({ label, listen }) => ({ label, listen })),
      timing: { reportMs: timing.report_s * 1000, leaseMs: timing.lease_s * 1000, gangWaitMs: timing.gang_wait_s * 1000 },
      gangs: new Gangs(timing.gang_peer_s * 1000),
      results: new Set(),
      jobOf: (id) => this.jobs.get(id),
      on: (event, task, cause) => {
        this.record(event, { piece: task.piece, try: task.attempt, host: task.host, ...(cause ? { cause } : {}) });
        if (event === 'start') this.checks.start(task);
        else this.checks.left(task, cause);
      },
      record: this.record,
    };
    this.cloud = new Cloud(
      { kinds: config.kinds, listLagS: config.cloud.list_lag_s, rps: config.cloud.rps, bootMs: config.bootMs },
      {
        onUp: async (host, kind) => {
          this.record('machine up', { host: host.id, room: host.room, borrowed: host.borrowed });
          const worker = new Worker(this.world, host, kind);
          this.workers.set(host.id, worker);
          this.onWorker?.(worker);
          return worker.open();
        },
        onGone: (id, why) => {
          this.record('machine gone', { host: id, why });
          this.workers.get(id)?.end();
          this.workers.delete(id);
        },
      },
    );
    await this.cloud.open();
    for (const node of nodes) {
      for (const other of nodes) {
        if (other === node) continue;
        const proxy = new Proxy(other.peer);
        node.links.set(other.label, proxy);
        if (this.peerProxies) await proxy.open();
      }
      node.file = join(this.temp, `${node.label}.toml`);
      writeFileSync(node.file, this.settingsOf(node));
      this.spawnNode(node);
    }
    this.sweeper = setInterval(() => this.checks.sweep(), 50);
    this.prober = setInterval(() => this.probe(), 1000);
    await sleep(50);
  }

  settingsOf(node) {
    const { config } = this;
    const lines = [
      `label = "${node.label}"`,
      `zone = "${node.zone}"`,
      `listen = "${node.listen}"`,
      `cluster_listen = "${node.peer}"`,
    ];
    let text = `${lines.join('\n')}\n`;
    for (const other of this.nodes)
      if (other !== node)
        text += table('[[others]]', { label: other.label, zone: other.zone, peer_addr: this.peerProxies ? node.links.get(other.label).address : other.peer });
    text += table('[services]', { cloud: this.cloud.address, state: node.door.address });
    text += table('[cluster]', { nodes: config.nodes, zones: config.zones, skew_ms: 5 });
    for (const team of config.teams) text += table('[[cluster.teams]]', team);
    for (const objective of config.objectives) text += table('[[cluster.objectives]]', objective);
    for (const name of ['workers', 'state', 'cloud', 'machine_limits']) text += table(`[cluster.${name}]`, config[name]);
    return text;
  }

  spawnNode(node) {
    const [program, ...args] = runCommand();
    const child = spawn(program, [...args, node.file], { cwd: ROOT, stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: this.logLevel } });
    node.child = child;
    node.expectExit = false;
    let rest = '';
    child.stderr.on('data', (data) => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) {
        this.record('log', { node: node.label, line });
        this.onLog?.(node, line);
      }
    });
    node.exited = new Promise((done) =>
      child.on('exit', (code, signal) => {
        this.record('controller exit', { node: node.label, code, signal });
        if (!node.expectExit && !this.ended) {
          this.crashes.push({ node: node.label, code, signal });
          this.record('CRASH', { node: node.label, code, signal });
        }
        done();
      }),
    );
    this.record('controller start', { node: node.label, pid: child.pid });
  }

  signal(node, signal) {
    this.record('signal', { node: node.label, signal });
    if (signal === 'SIGKILL' || signal === 'SIGTERM') node.expectExit = true;
    node.child.kill(signal);
  }

  /** Kills a controller; it is back after `restartS`, or not if null. */
  async kill(node, restartS = 6) {
    this.signal(node, 'SIGKILL');
    await node.exited;
    if (restartS === null) return;
    await sleep(restartS * 1000);
    if (!this.ended) this.spawnNode(node);
  }

  /** Sets the links from and to a controller. */
  cutPeers(node, mode) {
    this.record('links', { node: node.label, mode });
    for (const other of this.nodes) {
      if (other === node) continue;
      node.links.get(other.label).set(mode);
      other.links.get(node.label).set(mode);
    }
  }

  leader() {
    const label = this.state.keys.get('s/leader')?.value?.node;
    return this.nodes.find((node) => node.label === label) ?? null;
  }

  async probe() {
    await Promise.all(
      this.nodes.map(async (node) => {
        const { status } = await this.ask(node, 'GET', '/ready', null, 1000);
        node.misses = status === 200 ? 0 : (node.misses ?? 0) + 1;
        node.healthy = node.misses < 2;
      }),
    );
  }

  /** One request to a controller; status 0: no answer in time. */
  ask(node, method, path, body, timeoutMs) {
    const [host, port] = node.listen.split(':');
    const data = body === null ? null : Buffer.from(typeof body === 'string' ? body : JSON.stringify(body));
    return new Promise((done) => {
      let over = false;
      const finish = (answer) => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        request.destroy();
        done(answer);
      };
      const timer = setTimeout(() => finish({ status: 0, body: null }), timeoutMs);
      const request = http.request({ host, port, method, path, agent: false, headers: data ? { 'Content-Type': 'application/json', 'Content-Length': data.length } : {} });
      request.on('error', () => finish({ status: 0, body: null }));
      request.on('response', (response) => {
        const chunks = [];
        response.on('error', () => finish({ status: 0, body: null }));
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          let parsed = null;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString());
          } catch {
            parsed = null;
          }
          finish({ status: response.statusCode, body: parsed, retryAfter: Number(response.headers['retry-after'] ?? 0) });
        });
      });
      request.end(data ?? undefined);
    });
  }

  pick() {
    const healthy = this.nodes.filter((node) => node.healthy);
    const from = healthy.length > 0 ? healthy : this.nodes;
    return from[Math.floor(Math.random() * from.length)];
  }

  async request(kind, job, node = this.pick()) {
    const asked = performance.now();
    const [method, path, body, timeout] = {
      submit: ['POST', '/work', job.body ?? wireOf(job), 5000],
      poll: ['GET', `/work/${job.id}`, null, 2000],
      cancel: ['POST', `/work/${job.id}/withdraw`, null, 5000],
    }[kind];
    const known = this.checks.job(job.id);
    if (kind === 'submit') known.submitted = true;
    if (kind === 'cancel') known.cancelAsked = true;
    const answer = await this.ask(node, method, path, body, timeout);
    this.record('answer', { kind, job: job.id, node: node.label, status: answer.status, word: answer.body?.status, ms: Math.round(performance.now() - asked) });
    this.checks.answered(kind, job, asked, answer.status, answer.body ?? {}, node.label);
    return answer;
  }

  /** Submits as a user does, retrying for up to `forS`; true: accepted. */
  async submit(job, forS = 60) {
    this.jobs.set(job.id, job);
    const until = performance.now() + forS * 1000;
    for (;;) {
      const { status, retryAfter } = await this.request('submit', job);
      if (status === 200 || status === 201) return true;
      if (status === 400 || status === 422) return false;
      const wait = Math.max(1, Math.min(30, retryAfter ?? 0)) * 1000;
      if (performance.now() + wait > until || this.ended) return false;
      await sleep(wait);
    }
  }

  async cancel(job, forS = 60) {
    const until = performance.now() + forS * 1000;
    while (performance.now() < until && !this.ended) {
      const { status, body, retryAfter } = await this.request('cancel', job);
      if (status === 200) return body.status;
      await sleep(Math.max(1, retryAfter ?? 0) * 1000);
    }
    return null;
  }

  /** Polls until the job is over or `forS` have passed; returns the last word. */
  async follow(job, forS = 100, everyS = 5) {
    const until = performance.now() + forS * 1000;
    let word = null;
    while (performance.now() < until && !this.ended) {
      const { status, body } = await this.request('poll', job);
      if (status === 200) word = body.status;
      if (word === 'done' || word === 'aborted') return word;
      await sleep(everyS * 1000 * (0.9 + 0.2 * Math.random()));
    }
    return word;
  }

  async until(what, forS, everyMs = 50) {
    const end = performance.now() + forS * 1000;
    while (performance.now() < end) {
      if (what()) return true;
      await sleep(everyMs);
    }
    return false;
  }

  async end() {
    this.ended = true;
    clearInterval(this.sweeper);
    clearInterval(this.prober);
    for (const node of this.nodes ?? []) {
      if (node.child.exitCode !== null || node.child.signalCode !== null) continue;
      node.child.kill('SIGCONT');
      node.child.kill('SIGKILL');
    }
    await Promise.all((this.nodes ?? []).map((node) => node.exited));
    for (const worker of this.workers.values()) worker.end();
    this.cloud?.close();
    this.state?.close();
    for (const node of this.nodes ?? []) for (const proxy of node.links.values()) if (this.peerProxies) proxy.close();
    rmSync(this.temp, { recursive: true, force: true });
    this.flush();
  }
}

export const wireOf = (job) => ({
  id: job.id, jobClass: job.jobClass, owner: job.owner, shape: job.shape, urgency: job.urgency, pieces: job.pieces,
  vcpus: job.vcpus, accelerators: job.accelerators, memGb: job.memGb, bundle: job.bundle, imageGb: job.imageGb,
  hostsKinds: job.hostsKinds, room: job.room, samePlace: job.samePlace, scatter: job.scatter, borrowed: job.borrowed,
  expectS: job.expectS, saveEveryS: job.saveEveryS, saveTakesS: job.saveTakesS, dueS: job.dueS,
});

let lastJob = 0;
/** Runs a case: `body(cluster, trouble)` returns true if the rule held, false if it was broken; it throws if it couldn't run. */
export const runCase = async (folder, options, body) => {
  const trouble = process.env.TROUBLE !== '0';
  const cluster = new Cluster({ folder, ...options });
  let status = 2;
  // A case runs for 120 s at most: on a machine that is too slow for that it couldn't run.
  setTimeout(() => {
    cluster.record('could not run', { reason: 'too slow' });
    void cluster.end().then(() => process.exit(2));
  }, 118_000);
  for (const signal of ['SIGTERM', 'SIGINT', 'uncaughtException', 'unhandledRejection'])
    process.on(signal, (reason) => {
      cluster.record('could not run', { signal, reason: String(reason?.stack ?? reason) });
      void cluster.end().then(() => process.exit(2));
    });
  try {
    cluster.record('case', { trouble });
    await cluster.start();
    status = (await body(cluster, trouble)) ? 0 : 1;
  } catch (failure) {
    cluster.record('could not run', { reason: String(failure?.stack ?? failure) });
  }
  cluster.record('result', { status, broken: cluster.checks.broken, crashes: cluster.crashes });
  await cluster.end();
  process.stdout.write(`${status === 0 ? 'held' : status === 1 ? 'BROKEN' : 'could not run'}\n`);
  // See lib-2/run.sh.
  process.exit(status === 1 ? 3 : status);
};

/** Throws unless `what` becomes true in time: the case can't run. */
export const need = async (cluster, name, what, forS) => {
  if (!(await cluster.until(what, forS))) throw new Error(`not reached: ${name}`);
  cluster.record('reached', { name });
};

/** A job: an array of short tasks unless `fields` says otherwise; `runMs` is how long a task runs. */
export const makeJob = (fields = {}) => ({
  id: `job-${String(++lastJob).padStart(6, '0')}`,
  jobClass: 'report-render', owner: 'app-crew', shape: 'array', urgency: 'low', pieces: 4, vcpus: 1, accelerators: 0, memGb: 2,
  bundle: 'img-01', imageGb: 0.5, hostsKinds: null, room: null, samePlace: false, scatter: false, borrowed: false,
  expectS: 5, saveEveryS: 0, saveTakesS: 0, dueS: null, runMs: 5000, ...fields,
});
