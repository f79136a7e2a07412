/**
 * Services on GPUs in the lab: what comes in a day of them, what must hold of loans, and how soon replicas serve. Loans
 * are read from what is committed, not from what a controller says.
 */
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { isComplete, type Job } from '@lilacvalve/controller/jobs/model';
import { loansOf } from '@lilacvalve/controller/lending/loans';
import type { TeamSettings } from '@lilacvalve/controller/settings/settings';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Arrival } from './load-burst.js';
import type { JobTruth } from './job-truth.js';

/** Moments after which the leader may die. */
export type Step = 'stopped' | 'saved' | 'recorded' | 'started' | 'weights';
export const STEPS: readonly Step[] = ['stopped', 'saved', 'recorded', 'started', 'weights'];

/** Weights by image, GB: at 1 GB/s, give or take a third, some take more than a minute. */
const WEIGHTS = [20, 30, 45, 60];

export const LENDING_TEAMS: readonly TeamSettings[] = [
  { name: 'red', guarantee: { cpus: 10, gpus: 10 }, limit: { cpus: 0, gpus: 0 } },
  { name: 'blue', guarantee: { cpus: 4, gpus: 4 }, limit: { cpus: 0, gpus: 0 } },
  { name: 'guest', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
];

export interface Coming {
  readonly at: number;
  readonly cancelAfter: number | null;
  readonly arrival: Arrival;
}

const GPU = {
  gpus: 1,
  cpus: 1,
  types: ['g4'],
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  broken: false,
};

/** `scale`: 1 for a small day. Services come in bursts, and some come and go every 20 s. */
export const coming = (l: RandomSource, troubled: number, scale: number): Coming[] => {
  const out: Coming[] = [];
  const team = (): string => (l.chance(0.5) ? 'red' : 'blue');
  for (let i = 0; i < 10 * scale; i++) {
    const w = l.int(WEIGHTS.length);
    const short = l.chance(0.3);
    out.push({
      at: l.chance(0.5) ? l.between(30e6, 45e6) : l.between(0, troubled),
      cancelAfter: short ? 20e6 : l.between(90e6, 300e6),
      arrival: {
        job: {
          ...GPU,
          team: team(),
          shape: 'daemon',
          tasks: 1 + l.int(4),
          spread: l.chance(0.5),
          image: `w-${w}`,
          imageGb: WEIGHTS[w]!,
          saveEvery: 0,
        },
        urgency: 'high',
        due: null,
      },
    });
  }
  for (let i = 0; i < 6 * scale; i++)
    out.push({
      at: l.between(0, troubled * 0.6),
      cancelAfter: l.chance(0.25) ? l.between(30e6, 120e6) : null,
      arrival: {
        job: {
          ...GPU,
          team: l.chance(0.3) ? 'guest' : team(),
          shape: 'ensemble',
          tasks: 2 + l.int(7),
          image: `t-${l.int(3)}`,
          imageGb: 8,
          runUs: l.between(30e6, 90e6),
          saveEvery: 40e6,
          saveTakes: 3e6,
        },
        urgency: 'normal',
        due: null,
      },
    });
  for (let i = 0; i < 8 * scale; i++)
    out.push({
      at: l.between(0, troubled * 0.6),
      cancelAfter: l.chance(0.25) ? l.between(30e6, 120e6) : null,
      arrival: {
        job: {
          ...GPU,
          team: l.chance(0.5) ? 'guest' : team(),
          shape: 'array',
          tasks: 4 + l.int(9),
          spot: l.chance(0.5),
          runUs: l.between(10e6, 60e6),
          saveEvery: 0,
        },
        urgency: 'low',
        due: null,
      },
    });
  return out;
};

/** A loan whose end has come may stay open for so long while somebody leads: a few turns, a lease, a fetch of the list. */
const CLOSED_WITHIN = 60e6;

type Amount = [number, number];

/** What is committed, followed key by key, and what must hold of the loans in it. */
export class Loans {
  readonly view = new JobState();
  made = 0;
  /** Since when a loan has been past its end, with somebody leading. */
  private readonly late = new Map<string, number>();

  constructor(
    private readonly teams: readonly TeamSettings[],
    private readonly fault: (what: string) => void,
    private readonly step: (s: Step) => void,
  ) {}

  /** A key as just committed; undefined: deleted. */
  committed(key: string, value: unknown, stamp: number): void {
    if (key.startsWith(LOG_ENTRIES) && value !== undefined)
      this.record(Number(key.slice(LOG_ENTRIES.length)), value, stamp);
    this.view.apply({ key, value, revision: stamp });
  }

  private record(seq: number, value: unknown, stamp: number): void {
    const { jobs } = decodeLogEntry(seq, value, stamp);
    const held = new Map<string, Amount>();
    const put = (job: Job, n: number): void => {
      let a = held.get(job.spec.team);
      if (!a) held.set(job.spec.team, (a = [0, 0]));
      a[0] += n * job.spec.cpus;
      a[1] += n * job.spec.gpus;
    };
    for (const job of this.view.jobs.values()) {
      const c = jobs.get(job.spec.id);
      const ended = [...(c?.completed ?? []), ...(c?.exited ?? [])].filter((t) => job.placed.has(t));
      put(job, job.placed.size - new Set(ended).size);
    }
    const before = new Map([...held].map(([t, a]) => [t, [...a] as Amount]));
    const taken: { taker: Job; lender: Job }[] = [];
    for (const [id, c] of jobs) {
      const job = this.view.jobs.get(id);
      if (!job) continue;
      for (const on of c.start?.on.values() ?? []) put(job, on.length);
      for (const p of c.lend ?? []) {
        const lender = this.view.jobs.get(p.lender);
        if (!lender) continue;
        put(lender, -p.tasks);
        taken.push({ taker: job, lender });
      }
    }
    if (taken.length > 0) {
      this.made += taken.length;
      this.step('recorded');
    }
    const promised = (team: string): Amount => {
      const g = this.teams.find((t) => t.name === team)?.guarantee;
      return [g?.cpus ?? 0, g?.gpus ?? 0];
    };
    for (const { taker, lender } of taken) {
      const [t, l] = [taker.spec, lender.spec];
      if (t.team === l.team) continue;
      const has = promised(t.team);
      const now = before.get(t.team) ?? [0, 0];
      const own = now[0] + t.cpus <= has[0] + 1e-6 && now[1] + t.gpus <= has[1] + 1e-6;
      const needs = promised(l.team);
      const keeps = held.get(l.team) ?? [0, 0];
      const size = [l.cpus, l.gpus];
      if (!own && [0, 1].some((i) => size[i]! > 0 && keeps[i]! < needs[i]! - 1e-6))
        this.fault(`guarantee: ${l.team} keeps ${keeps.join('/')} after ${t.id} took from ${l.id}`);
      if (l.urgency >= t.urgency && !(own && now.every((x, i) => x <= has[i]!)))
        this.fault(`guarantee: ${t.id} took from ${l.id}, which is as urgent`);
    }
  }

  /** Once a second. `views`: of the controllers that are up; `leads`: one of them acts. */
  check(now: number, views: readonly JobState[], leads: boolean): void {
    const at = new Map<number, string>();
    for (const v of views) {
      // A leader has its own record before the watch brings it: it is then ahead of its revision.
      if (v.revision < 0 || [...v.logTail.values()].some((r) => r.revision > v.revision)) continue;
      const mine = JSON.stringify(loansOf(v.jobs.values()));
      const other = at.get(v.revision);
      if (other !== undefined && other !== mine) this.fault(`loans differ at revision ${v.revision}`);
      at.set(v.revision, mine);
    }
    const over = new Set<string>();
    for (const l of loansOf(this.view.jobs.values())) {
      const lender = this.view.jobs.get(l.lender);
      if (lender && !lender.cancelled && !isComplete(lender)) continue;
      const key = `${l.taker} from ${l.lender}`;
      over.add(key);
      const since = this.late.get(key);
      if (since === undefined) this.late.set(key, now);
      else if (now - since > CLOSED_WITHIN) this.fault(`loan_open: ${key} at ${now}`);
    }
    for (const key of this.late.keys()) if (!over.has(key) || !leads) this.late.delete(key);
  }

  /** At the day's end: no loan is open whose lender lacks nothing. */
  end(): void {
    for (const l of loansOf(this.view.jobs.values())) {
      const lender = this.view.jobs.get(l.lender);
      const lacks = lender ? lender.spec.tasks - lender.completed.size - lender.placed.size : 0;
      if (!lender || lender.cancelled || lacks === 0) this.fault(`loan_open: ${l.taker} from ${l.lender}`);
    }
  }
}

/** How services fared, counted once a second. */
export class Serving {
  wanted = 0;
  up = 0;
  all = 0;
  soon = 0;
  private readonly since = new Map<string, number>();
  private readonly counted = new Set<string>();

  /** `on`: replicas of it that run now. */
  second(now: number, job: JobTruth, on: number): void {
    if (!this.since.has(job.id)) {
      this.since.set(job.id, now);
      this.all++;
    }
    this.wanted += job.tasks;
    this.up += Math.min(job.tasks, on);
    if (on < job.tasks || this.counted.has(job.id)) return;
    this.counted.add(job.id);
    if (now - this.since.get(job.id)! <= 60e6) this.soon++;
  }
}
