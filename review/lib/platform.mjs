/**
 * Stand-ins for the cloud and the workers, after the sections "Controller nodes -> cloud" and "Workers -> controller nodes" of
 * the protocol. Tasks do no work: they wait for their run time to pass. `Platform` checks the rules that can be seen on machines.
 */
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { Connection, parsed, serveJson } from './http.mjs';

const now = () => performance.now();
const RESPONSE_TIMEOUT_MS = 4000;
const EPSILON = 1e-6;

/** One worker with its machine. */
export class Worker {
  constructor(platform, machine) {
    this.platform = platform;
    this.machine = machine;
    this.type = platform.types.find((type) => type.label === machine.kind);
    this.connection = new Connection();
    this.tenure = 1;
    this.tick = 0;
    this.warrant = 0;
    this.tokenReportedAt = Number.NEGATIVE_INFINITY;
    this.recallAt = null;
    this.tasks = new Map();
    this.images = new Map();
    this.node = Math.floor(Math.random() * platform.nodes.length);
    this.leaseFrom = now();
    this.reportedAt = 0;
    this.inFlight = false;
    this.changed = false;
    this.alive = true;
    this.hungUntil = 0;
    /** `mute`: reports reach no controller. `deaf`: responses and orders are lost. */
    this.mute = false;
    this.deaf = false;
    this.server = null;
    this.reportTimer = null;
    this.leaseTimer = setTimeout(() => this.checkLease(), platform.workers.leaseS * 1000);
  }

  async start() {
    this.server = await serveJson((request, respond) => this.receive(request, respond));
    if (!this.alive) return this.server.close();
    return this.schedule(Math.random() * 500);
  }

  end() {
    this.alive = false;
    clearTimeout(this.reportTimer);
    clearTimeout(this.leaseTimer);
    this.dropTasks('machine gone');
    this.connection.close();
    this.server?.close();
  }

  /** Runs `action` now, or when the machine no longer hangs. */
  whenAwake(action) {
    const waitMs = this.hungUntil - now();
    if (waitMs <= 0) return action();
    return setTimeout(() => this.whenAwake(action), waitMs + 1);
  }

  receive({ url, body }, respond) {
    if (this.deaf) return;
    const delayMs = this.platform.orderDelayMs();
    const handle = () =>
      this.whenAwake(() => {
        if (!this.alive) return;
        if (url.pathname !== '/orders') return void respond(200, this.report());
        const { warrant, tenure, orders } = body;
        if (warrant === undefined || tenure === undefined) return void respond(400, {});
        if (warrant < this.warrant || tenure !== this.tenure) return void respond(409, this.report());
        this.noteToken(warrant);
        this.execute(orders ?? [], 'order');
        return void respond(200, this.report());
      });
    if (delayMs > 0) setTimeout(handle, delayMs);
    else handle();
  }

  report() {
    this.tick++;
    const { machine } = this;
    return {
      host: machine.id,
      addr: this.server.address,
      hostKind: machine.kind,
      room: machine.room,
      borrowed: machine.borrowed,
      tenure: this.tenure,
      tick: this.tick,
      warrant: this.warrant,
      recallS: this.recallAt === null ? null : Math.max(0, (this.recallAt - now()) / 1000),
      pieces: [...this.tasks.values()].map((task) => ({
        piece: task.piece,
        try: task.attempt,
        status: task.status,
        ...(task.cause === null ? {} : { cause: task.cause }),
        ...(task.stored ? { stored: true } : {}),
      })),
    };
  }

  schedule(ms) {
    clearTimeout(this.reportTimer);
    this.reportTimer = setTimeout(() => this.whenAwake(() => void this.sendReport()), ms);
  }

  noteChange() {
    if (!this.alive) return;
    if (this.inFlight) this.changed = true;
    else this.schedule(Math.max(5, this.reportedAt + 500 - now()));
  }

  noteToken(token) {
    if (token <= this.warrant) return;
    this.warrant = token;
    if (now() - this.tokenReportedAt < this.platform.workers.leaseS * 500) return;
    this.tokenReportedAt = now();
    this.noteChange();
  }

  async sendReport() {
    if (!this.alive || this.inFlight) return;
    const { platform } = this;
    this.inFlight = true;
    this.changed = false;
    const sentAt = now();
    this.reportedAt = sentAt;
    const { tenure } = this;
    const node = platform.nodes[this.node % platform.nodes.length];
    const body = JSON.stringify(this.report());
    platform.onReport(this, node, body);
    const answer = this.mute
      ? await new Promise((resolve) => setTimeout(() => resolve({ status: 0, text: '' }), 1000))
      : await this.connection.request(node.listen, 'POST', '/agent/beat', body, RESPONSE_TIMEOUT_MS);
    if (!this.alive) return;
    const received = this.deaf ? { status: 0, text: '' } : answer;
    this.whenAwake(() => {
      if (!this.alive) return;
      this.inFlight = false;
      const late = now() - sentAt > RESPONSE_TIMEOUT_MS;
      const nextMs = this.handleAnswer(late ? { status: 0, text: '' } : received, sentAt, tenure, node);
      this.schedule(this.changed ? Math.max(5, sentAt + 500 - now()) : nextMs);
    });
  }

  handleAnswer({ status, text }, sentAt, tenure, node) {
    const { platform } = this;
    platform.onAnswer(this, node, status, text);
    if (status === 200) {
      const { warrant, orders } = parsed(text);
      if (Number.isInteger(warrant) && warrant >= this.warrant && tenure === this.tenure) {
        this.noteToken(warrant);
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        this.execute(orders ?? [], 'answer');
      }
      return platform.workers.reportS * 1000 * (0.75 + Math.random() * 0.5);
    }
    if (status === 0) this.connection.close();
    if (status === 421) {
      const target = platform.nodes.findIndex((other) => other.label === parsed(text).answerTo);
      if (target >= 0 && target !== this.node % platform.nodes.length) {
        this.node = target;
        return Math.random() * 500;
      }
    }
    this.node = (this.node + 1) % platform.nodes.length;
    return 1000;
  }

  checkLease() {
    if (!this.alive) return;
    const remainingMs = this.leaseFrom + this.platform.workers.leaseS * 1000 - now();
    if (remainingMs <= 0) this.newSession();
    this.leaseTimer = setTimeout(() => this.checkLease(), Math.max(20, remainingMs > 0 ? remainingMs : 500));
  }

  /** The lease has ended. A machine that hangs does not go on after its lease, so its tasks end now. */
  newSession() {
    if (this.leaseFrom + this.platform.workers.leaseS * 1000 > now()) return;
    this.platform.event('lease ended', { machine: this.machine.id, tasks: this.tasks.size });
    this.platform.leasesEnded++;
    this.dropTasks('lease ended');
    this.tenure++;
    this.leaseFrom = now();
    this.noteChange();
  }

  dropTasks(why) {
    for (const task of this.tasks.values()) {
      if (task.status === 'ended') continue;
      this.leave(task, why);
      task.status = 'ended';
      if (task.job?.shape === 'ensemble') this.platform.gangLost(task);
    }
    this.tasks.clear();
  }

  execute(orders, how) {
    for (const { orderKind, piece, try: attempt, windDownS = 0 } of orders) {
      const key = `${piece}#${attempt}`;
      const task = this.tasks.get(key);
      if (orderKind === 'run') {
        if (task === undefined) this.run(key, piece, attempt, how);
      } else if (task === undefined) continue;
      else if (orderKind === 'stop') this.stop(task, windDownS);
      else if (orderKind === 'reap' && task.status === 'ended') {
        this.tasks.delete(key);
        this.noteChange();
      }
    }
  }

  run(key, piece, attempt, how) {
    const [jobId, number] = piece.split('/');
    const job = this.platform.jobs.get(jobId);
    const task = {
      piece,
      attempt,
      job,
      number: Number(number),
      machine: this.machine,
      worker: this,
      status: 'fetching',
      cause: null,
      stored: false,
      present: false,
      timer: null,
      since: 0,
      startProgress: 0,
    };
    const held = [...this.tasks.values()].some((other) => other.piece === piece && other.status !== 'ended');
    this.tasks.set(key, task);
    this.noteChange();
    this.platform.ordered(task, how);
    if (held) return this.exit(task, 'in_use');
    if (job === undefined || task.number >= job.pieces) return this.exit(task, 'unknown');
    if (!this.hasRoom(job, task)) return this.exit(task, 'full');
    const fetchMs = this.fetchMs(job);
    task.timer = setTimeout(() => this.whenAwake(() => this.fetched(task)), fetchMs);
    return undefined;
  }

  fetchMs(job) {
    const readyAt = this.images.get(job.bundle);
    if (readyAt !== undefined) return Math.max(1, readyAt - now());
    const ms = (job.imageGb / this.type.pullGbPerS) * 1000;
    this.images.set(job.bundle, now() + ms);
    return ms;
  }

  hasRoom(job, excluded) {
    let { vcpus, accelerators, memGb } = this.type;
    for (const task of this.tasks.values()) {
      if (task === excluded || task.status === 'ended' || task.job === undefined) continue;
      vcpus -= task.job.vcpus;
      accelerators -= task.job.accelerators;
      memGb -= task.job.memGb;
    }
    return (
      job.vcpus <= vcpus + EPSILON &&
      job.accelerators <= accelerators + EPSILON &&
      job.memGb <= memGb + EPSILON
    );
  }

  fetched(task) {
    if (task.status !== 'fetching' || !this.alive) return;
    task.present = true;
    this.platform.started(task);
    const { job } = task;
    if (this.platform.finished.has(task.piece)) return this.exit(task, 'done');
    if (job.shape === 'ensemble') {
      task.status = 'gathering';
      this.noteChange();
      task.timer = setTimeout(
        () => this.whenAwake(() => this.exit(task, 'alone')),
        this.platform.workers.gangWaitS * 1000,
      );
      return this.platform.gangGathers(task);
    }
    return this.begin(task);
  }

  begin(task) {
    clearTimeout(task.timer);
    task.status = 'running';
    task.since = now();
    task.startProgress = this.platform.progress.get(task.piece) ?? 0;
    this.noteChange();
    const failsAfterMs = this.platform.failsAfterMs(task);
    if (failsAfterMs !== null) {
      task.timer = setTimeout(() => this.whenAwake(() => this.exit(task, 'error')), failsAfterMs);
      return;
    }
    if (task.job.shape === 'daemon' || task.job.shape === 'ensemble') return;
    const runMs = Math.max(1, this.platform.runMs(task) - task.startProgress);
    task.timer = setTimeout(() => this.whenAwake(() => this.exit(task, 'done')), runMs);
  }

  stop(task, windDownS) {
    if (task.status === 'ended') return;
    const { job } = task;
    const saves = job.saveEveryS > 0 && windDownS >= job.saveTakesS && task.status === 'running';
    if (task.status === 'flushing' && windDownS > 0) return;
    if (!saves || job.shape === 'ensemble') {
      this.exit(task, 'stopped');
      if (job?.shape === 'ensemble') this.platform.gangLost(task);
      return;
    }
    task.status = 'flushing';
    this.noteChange();
    clearTimeout(task.timer);
    task.timer = setTimeout(() => {
      this.platform.progress.set(task.piece, task.startProgress + (now() - task.since));
      task.stored = true;
      this.exit(task, 'stopped');
    }, job.saveTakesS * 1000);
  }

  exit(task, cause) {
    if (task.status === 'ended' || !this.alive) return;
    if (cause === 'done') this.platform.completed(task);
    this.leave(task, cause);
    task.status = 'ended';
    task.cause = cause;
    this.noteChange();
  }

  leave(task, why) {
    clearTimeout(task.timer);
    if (!task.present) return;
    task.present = false;
    this.platform.left(task, why);
  }
}

/** The cloud, all machines, and the rules that can be seen on machines. */
export class Platform {
  /**
   * `types`: machine types as in `/flavors`. `counts`: how many machines of each type the cloud gives. `workers`: `reportS`, `leaseS`, `gangWaitS`, `gangPeerS`, `cancelS`.
   * `teams`: limits by team. `log`: called with each line of the record.
   */
  constructor({ types, counts, workers, teams, listLagS, bootMs, log }) {
    Object.assign(this, { types, counts, workers, teams, listLagS, bootMs, log });
    this.nodes = [];
    this.jobs = new Map();
    this.runTimes = new Map();
    this.machines = new Map();
    this.hires = new Map();
    this.finished = new Set();
    this.progress = new Map();
    this.gangs = new Map();
    this.whereOn = new Map();
    this.cancelledAt = new Map();
    this.violations = [];
    this.leasesEnded = 0;
    this.starts = 0;
    this.nextMachine = 0;
    this.down = false;
    this.verbose = true;
    this.orderDelayMs = () => 0;
    /** Returns after how many milliseconds a task that begins to run fails, or null. */
    this.failsAfterMs = () => null;
    this.onReport = () => undefined;
    this.onAnswer = () => undefined;
    this.server = null;
    this.began = now();
  }

  event(what, fields) {
    this.log(what, fields);
  }

  violate(rule, fields) {
    this.violations.push({ rule, ...fields });
    this.log(`BROKEN ${rule}`, fields);
  }

  async listen() {
    this.server = await serveJson((request, respond) => this.handle(request, respond));
    return this.server.address;
  }

  close() {
    this.server?.close();
    for (const machine of this.machines.values()) {
      clearTimeout(machine.timer);
      machine.worker?.end();
    }
    this.machines.clear();
  }

  async addMachine(kind, room, borrowed, bootMs) {
    const id = `vm-${String(++this.nextMachine).padStart(6, '0')}`;
    const machine = {
      id,
      kind,
      room,
      borrowed,
      status: 'booting',
      heldFrom: now(),
      worker: null,
      timer: null,
    };
    machine.addr = `127.0.0.1:9`;
    this.machines.set(id, machine);
    const up = async () => {
      machine.status = 'running';
      machine.worker = new Worker(this, machine);
      await machine.worker.start();
      machine.addr = machine.worker.server.address;
    };
    if (bootMs === 0) await up();
    else machine.timer = setTimeout(() => void up(), bootMs);
    return id;
  }

  removeMachine(id, why) {
    const machine = this.machines.get(id);
    if (machine === undefined) return;
    clearTimeout(machine.timer);
    machine.worker?.end();
    this.machines.delete(id);
    this.event('machine gone', { machine: id, why });
  }

  handle({ method, url, body }, respond) {
    if (this.down) return respond(503, { error: 'trouble' });
    if (url.pathname === '/flavors') return respond(200, { hostsKinds: this.types });
    if (url.pathname === '/hosts/delete') {
      for (const id of body.hosts) this.removeMachine(id, 'deleted');
      return respond(200, {});
    }
    if (method === 'POST') return this.rent(body, respond);
    const after = url.searchParams.get('after') ?? '';
    const limit = Math.min(500, Number(url.searchParams.get('limit') ?? 500));
    const lagMs = this.listLagS * 1000;
    const shown = [...this.machines.values()].filter(
      (machine) =>
        machine.id > after && (now() - machine.heldFrom > lagMs || machine.heldFrom - this.began < 3000),
    );
    return respond(200, {
      hosts: shown.slice(0, limit).map(({ id, addr, kind, room, borrowed, status, heldFrom }) => ({
        id,
        addr,
        hostKind: kind,
        room,
        borrowed,
        status,
        heldS: (now() - heldFrom) / 1000,
      })),
      more: shown.length > limit,
    });
  }

  rent({ hire, hostKind, room, borrowed, howMany }, respond) {
    const known = this.hires.get(hire);
    if (known !== undefined) return respond(200, { hosts: known });
    const type = this.types.find(({ label }) => label === hostKind);
    if (type === undefined || !type.rooms.includes(room)) return respond(400, { error: 'malformed' });
    const present = [...this.machines.values()].filter((machine) => machine.kind === hostKind).length;
    const count = Math.min(howMany, 50, this.counts.get(hostKind) - present);
    if (count <= 0) return respond(503, { error: 'no capacity' });
    const hosts = [];
    for (let i = 0; i < count; i++) {
      const factor = 0.6 + Math.random() * 0.9;
      void this.addMachine(hostKind, room, borrowed, Math.max(1, this.bootMs * factor));
      hosts.push(`vm-${String(this.nextMachine).padStart(6, '0')}`);
    }
    this.hires.set(hire, hosts);
    this.event('machines rented', { hire, count });
    return respond(200, { hosts });
  }

  runMs(task) {
    return this.runTimes.get(task.job.id)(task.number);
  }

  // Gangs

  gangOf(task) {
    const key = `${task.job.id}#${task.attempt}`;
    let gang = this.gangs.get(key);
    if (gang === undefined)
      this.gangs.set(key, (gang = { members: new Map(), running: false, over: false, timer: null }));
    return gang;
  }

  gangGathers(task) {
    let gang = this.gangOf(task);
    if (gang.over) {
      // All tasks of the attempt are gone, and it is started once more.
      this.gangs.delete(`${task.job.id}#${task.attempt}`);
      gang = this.gangOf(task);
    }
    gang.members.set(task.number, task);
    const waiting = [...gang.members.values()].filter((member) => member.status === 'gathering');
    if (waiting.length < task.job.pieces) return;
    gang.running = true;
    for (const member of waiting) member.worker.begin(member);
    const done = this.progress.get(task.job.id) ?? 0;
    gang.timer = setTimeout(
      () => {
        if (gang.over) return;
        gang.over = true;
        for (const member of gang.members.values()) member.worker.exit(member, 'done');
      },
      Math.max(1, this.runMs(task) - done),
    );
  }

  /** A member of a gang has disappeared or was stopped: the others exit within `gang_peer_s` if the gang was running. */
  gangLost(task) {
    const gang = this.gangOf(task);
    gang.members.delete(task.number);
    if (!gang.running || gang.over) return;
    gang.over = true;
    clearTimeout(gang.timer);
    setTimeout(
      () => {
        for (const member of gang.members.values())
          member.worker.whenAwake(() => member.worker.exit(member, 'peers'));
      },
      this.workers.gangPeerS * 1000 * Math.random(),
    );
  }

  // Rules

  ordered(task, how) {
    if (this.verbose)
      this.event('ordered', { piece: task.piece, try: task.attempt, machine: task.machine.id, how });
  }

  started(task) {
    this.starts++;
    const { piece, job, machine } = task;
    if (this.verbose) this.event('started', { piece, try: task.attempt, machine: machine.id });
    const other = this.whereOn.get(piece);
    if (other !== undefined && other.machine !== machine)
      this.violate('ran_twice', { piece, on: other.machine.id, and: machine.id });
    this.whereOn.set(piece, task);
    const cancelledAt = this.cancelledAt.get(job.id);
    if (cancelledAt !== undefined && now() - cancelledAt > this.workers.cancelS * 1000)
      this.violate('ran_cancelled', { piece, startedAfterS: (now() - cancelledAt) / 1000 });
    this.checkPlace(task);
    this.checkQuota(job.owner);
  }

  checkPlace({ piece, job, machine }) {
    const others = [...this.whereOn.values()].filter((task) => task.job === job && task.piece !== piece);
    const wrong =
      (job.hostsKinds !== null && !job.hostsKinds.includes(machine.kind)) ||
      (job.room !== null && job.room !== machine.room) ||
      (machine.borrowed && !job.borrowed) ||
      (job.samePlace && others.some((task) => task.machine.room !== machine.room)) ||
      (job.scatter &&
        others.filter((task) => task.machine.room === machine.room).length + 1 > Math.ceil(job.pieces / 2));
    if (wrong)
      this.violate('wrong_place', {
        piece,
        machine: machine.id,
        room: machine.room,
        others: others.map((task) => `${task.piece}@${task.machine.id}/${task.machine.room}`).slice(0, 6),
      });
  }

  checkQuota(owner) {
    const limit = this.teams.get(owner);
    if (limit === undefined) return;
    let cpus = 0;
    let gpus = 0;
    for (const { job } of this.whereOn.values())
      if (job.owner === owner) {
        cpus += job.vcpus;
        gpus += job.accelerators;
      }
    if ((limit.cpus > 0 && cpus > limit.cpus + EPSILON) || (limit.gpus > 0 && gpus > limit.gpus + EPSILON))
      this.violate('quota', { owner, cpus, gpus });
  }

  left(task, why) {
    if (this.verbose)
      this.event('left', { piece: task.piece, try: task.attempt, machine: task.machine.id, why });
    if (this.whereOn.get(task.piece) === task) this.whereOn.delete(task.piece);
  }

  completed(task) {
    this.finished.add(task.piece);
  }

  isDone(job) {
    for (let i = 0; i < job.pieces; i++) if (!this.finished.has(`${job.id}/${i}`)) return false;
    return true;
  }

  /** Checks that tasks of cancelled jobs are gone; must be called about once a second. */
  checkCancelled() {
    for (const task of this.whereOn.values()) {
      const at = this.cancelledAt.get(task.job.id);
      if (at === undefined || now() - at <= this.workers.cancelS * 1000 || task.reportedCancelled) continue;
      task.reportedCancelled = true;
      this.violate('ran_cancelled', {
        piece: task.piece,
        machine: task.machine.id,
        afterS: (now() - at) / 1000,
      });
    }
  }
}
