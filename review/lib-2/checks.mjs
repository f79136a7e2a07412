// Checks the rules of PROTOCOL "Rules" against what clients, servers and the platform see.
import { performance } from 'node:perf_hooks';

export class Checks {
  constructor({ teams, cancelMs, record }) {
    Object.assign(this, { teams, cancelMs, record });
    this.present = new Map();
    this.jobs = new Map();
    this.broken = [];
    this.started = 0;
    this.completed = new Map();
  }

  fault(rule, detail) {
    this.broken.push({ rule, ...detail });
    this.record('BROKEN', { rule, ...detail });
  }

  /** What is known of a job: `accepted`, `cancelAsked`, `cancelledAt`, `doneAt` (told), `submitted`. */
  job(id) {
    if (!this.jobs.has(id)) this.jobs.set(id, { id, submitted: false, accepted: false, told: null });
    return this.jobs.get(id);
  }

  of(jobId) {
    return [...this.present.values()].flatMap((tasks) => [...tasks]).filter((task) => task.job.id === jobId);
  }

  start(task) {
    this.started++;
    const { piece, job, host } = task;
    const here = this.present.get(piece) ?? new Set();
    for (const other of here)
      if (other.host !== host) this.fault('ran_twice', { piece, host, try: task.attempt, other: other.host, otherTry: other.attempt });
    const known = this.job(job.id);
    if (known.cancelledAt !== undefined && performance.now() - known.cancelledAt > this.cancelMs)
      this.fault('ran_cancelled', { piece, host, why: 'starts', afterS: (performance.now() - known.cancelledAt) / 1000 });
    else if (known.cancelledAt !== undefined) this.record('start after cancel', { piece, afterS: (performance.now() - known.cancelledAt) / 1000 });
    const { worker } = task;
    const others = this.of(job.id);
    if (job.hostsKinds && !job.hostsKinds.includes(worker.host.hostKind)) this.fault('wrong_place', { piece, why: 'type' });
    if (job.room && job.room !== worker.host.room) this.fault('wrong_place', { piece, why: 'zone' });
    if (worker.host.borrowed && !job.borrowed) this.fault('wrong_place', { piece, why: 'spot' });
    if (job.samePlace && others.some((other) => other.worker.host.room !== worker.host.room))
      this.fault('wrong_place', { piece, why: 'samePlace', others: others.map((other) => `${other.piece}@${other.host}`) });
    if (job.scatter && others.filter((other) => other.worker.host.room === worker.host.room).length + 1 > Math.ceil(job.pieces / 2))
      this.fault('wrong_place', { piece, why: 'scatter' });
    here.add(task);
    this.present.set(piece, here);
    const team = this.teams.find(({ name }) => name === job.owner);
    let cpus = 0;
    let gpus = 0;
    for (const tasks of this.present.values())
      for (const other of tasks)
        if (other.job.owner === job.owner) {
          cpus += other.job.vcpus;
          gpus += other.job.accelerators;
        }
    if (team && ((team.cpus_max > 0 && cpus > team.cpus_max + 1e-6) || (team.gpus_max > 0 && gpus > team.gpus_max + 1e-6)))
      this.fault('quota', { piece, team: team.name, cpus, gpus });
  }

  left(task, cause) {
    const here = this.present.get(task.piece);
    here?.delete(task);
    if (here?.size === 0) this.present.delete(task.piece);
    if (cause === 'done') {
      const done = this.completed.get(task.job.id) ?? new Set();
      done.add(task.number);
      this.completed.set(task.job.id, done);
    }
  }

  /** Tasks of cancelled jobs that are still on a machine; called periodically. */
  sweep() {
    for (const tasks of this.present.values())
      for (const task of tasks) {
        const known = this.job(task.job.id);
        if (known.cancelledAt === undefined || task.flagged) continue;
        if (performance.now() - known.cancelledAt <= this.cancelMs) continue;
        task.flagged = true;
        this.fault('ran_cancelled', { piece: task.piece, host: task.host, why: 'still there' });
      }
  }

  /** A user's request for a job was answered; `asked`: when it was sent. */
  answered(kind, job, asked, status, body, node) {
    const known = this.job(job.id);
    const now = performance.now();
    const before = known.toldAt !== undefined && known.toldAt < asked ? known.told : null;
    if (status === 404 && known.acceptedAt !== undefined && known.acceptedAt < asked) this.fault('forgotten', { job: job.id, kind, node, why: '404' });
    if (kind === 'submit' && (status === 400 || status === 422) && known.acceptedAt !== undefined && known.acceptedAt < asked)
      this.fault('forgotten', { job: job.id, kind, status, node });
    if (status === 200 && !known.submitted) this.fault('invented', { job: job.id, body });
    if (status !== 200 && status !== 201) return;
    known.answeredAt = now;
    if (kind === 'submit') known.acceptedAt ??= now;
    const word = body.status;
    if (before === 'done' && word !== 'done') this.fault('went_back', { job: job.id, from: before, to: word, node });
    if (before === 'aborted' && word !== 'aborted') this.fault('went_back', { job: job.id, from: before, to: word, node });
    if (word === 'aborted' && !known.cancelAsked) this.fault('went_back', { job: job.id, to: word, why: 'not cancelled by its user', node });
    if (word === 'done' && (this.completed.get(job.id)?.size ?? 0) < job.pieces)
      this.fault('not_done', { job: job.id, completed: this.completed.get(job.id)?.size ?? 0, of: job.pieces, node });
    if (word === 'aborted') known.cancelledAt ??= now;
    if ((word === 'done' || word === 'aborted') && known.told === null) {
      known.told = word;
      known.toldAt = now;
    }
  }
}
