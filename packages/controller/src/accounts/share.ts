/**
 * Who waited, and what they had of what they were entitled to. All figures are integers: milliseconds, or
 * millionths of the room of all machines (by the resource that a group takes most of) times milliseconds; a month of all
 * room is 2.7e15 and exact.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { CycleInput, CycleResult, Resources } from '../scheduler/model.js';
import { add, fits, resourcesOf } from '../scheduler/model.js';

/** Why a group that waited had less than it was entitled to. */
export const WHYS = ['limit', 'room', 'gang', 'lost', 'lent'] as const;
export type WhyLess = (typeof WHYS)[number];

/** Team, class, how long it waited, what it was entitled to then, what it had, and by why what it was owed. */
export type ShareRow = readonly [
  team: string,
  jobClass: string,
  waited: number,
  entitled: number,
  had: number,
  ...owed: number[],
];
export interface ShareSum {
  readonly waited: bigint;
  readonly entitled: bigint;
  readonly had: bigint;
  readonly owed: readonly bigint[];
}
/** By `[team, class]` as JSON. */
export type Shares = ReadonlyMap<string, ShareSum>;

const sumOf = ([, , waited, entitled, had, ...owed]: ShareRow): ShareSum => ({
  waited: BigInt(waited),
  entitled: BigInt(entitled),
  had: BigInt(had),
  owed: WHYS.map((_, i) => BigInt(owed[i] ?? 0)),
});
export const addShare = (a: ShareSum, b: ShareSum): ShareSum => ({
  waited: a.waited + b.waited,
  entitled: a.entitled + b.entitled,
  had: a.had + b.had,
  owed: a.owed.map((x, i) => x + b.owed[i]!),
});

export const joinShares = (rows: Iterable<ShareRow>): Shares => {
  const out = new Map<string, ShareSum>();
  for (const r of rows) {
    const key = JSON.stringify([r[0], r[1]]);
    const old = out.get(key);
    out.set(key, old === undefined ? sumOf(r) : addShare(old, sumOf(r)));
  }
  return out;
};

/** Rows, at most `most` (or one a team): the classes that waited least are joined as class `*`. */
export const compactShares = (shares: Shares, most: number): ShareRow[] => {
  const out = new Map(shares);
  const order = [...shares].sort(([, a], [, b]) => (a.waited < b.waited ? -1 : 1));
  for (const [key, s] of order) {
    if (out.size <= most) break;
    const [team, jobClass] = JSON.parse(key) as [string, string];
    if (jobClass === '*') continue;
    const joined = JSON.stringify([team, '*']);
    const old = out.get(joined);
    out.delete(key);
    out.set(joined, old === undefined ? s : addShare(old, s));
  }
  return [...out]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, s]) => {
      const [team, jobClass] = JSON.parse(key) as [string, string];
      const owed = s.owed.map(Number);
      while (owed.length > 0 && owed[owed.length - 1] === 0) owed.pop();
      return [team, jobClass, Number(s.waited), Number(s.entitled), Number(s.had), ...owed];
    });
};

const PPM = 1e6;
const largest = (r: Resources, of: Resources): number => {
  let most = 0;
  for (let i = 0; i < 3; i++) if (of[i]! > 0) most = Math.max(most, r[i]! / of[i]!);
  return most;
};

export interface GroupShare {
  readonly team: string;
  readonly jobClass: string;
  /** Parts of all room, from 0 to 1. */
  readonly entitled: number;
  readonly had: number;
  readonly owed: number;
  readonly why: WhyLess;
}

/**
 * One cycle's outcome as shares, of the groups that wait after it. A team is entitled to its weight among the teams that
 * have or want anything, or to its guarantee if that is more, up to its limit; its waiting groups divide among them what
 * the team has less than that, by what they want.
 */
export const sharesOf = (
  input: Pick<CycleInput, 'teams' | 'weights' | 'nodes' | 'placedTasks'>,
  result: Pick<CycleResult, 'unplaced' | 'starts' | 'free'>,
  /** The most room that there was lately. */
  lately: Resources,
): GroupShare[] => {
  if (result.unplaced.length === 0) return [];
  const all: Resources = [0, 0, 0];
  for (const n of input.nodes) add(all, n.total);
  const groups = new Map<
    string,
    { team: string; jobClass: string; had: Resources; want: Resources; jobs: Job[] }
  >();
  const teams = new Map<string, { had: Resources; want: Resources }>();
  const at = (job: Job) => {
    const { team, jobClass } = job.spec;
    const key = JSON.stringify([team, jobClass]);
    let g = groups.get(key);
    if (!g) groups.set(key, (g = { team, jobClass, had: [0, 0, 0], want: [0, 0, 0], jobs: [] }));
    let t = teams.get(team);
    if (!t) teams.set(team, (t = { had: [0, 0, 0], want: [0, 0, 0] }));
    return { g, t };
  };
  const have = (job: Job, times: number): void => {
    const { g, t } = at(job);
    add(g.had, resourcesOf(job.spec), times);
    add(t.had, resourcesOf(job.spec), times);
  };
  const held = new Map<Job, number>();
  for (const h of input.placedTasks) held.set(h.job, (held.get(h.job) ?? 0) + 1);
  for (const s of result.starts)
    for (const tasks of s.on.values()) held.set(s.job, (held.get(s.job) ?? 0) + tasks.length);
  for (const [job, n] of held) have(job, n);
  for (const { job, count } of result.unplaced) {
    if (count <= 0) continue;
    const { g, t } = at(job);
    add(g.want, resourcesOf(job.spec), count);
    add(t.want, resourcesOf(job.spec), count);
    g.jobs.push(job);
  }
  const weight = (team: string): number => input.weights.get(team) ?? 1;
  const weights = [...teams.keys()].reduce((n, t) => n + weight(t), 0);
  const out: GroupShare[] = [];
  for (const g of groups.values()) {
    if (g.jobs.length === 0) continue;
    const t = teams.get(g.team)!;
    const settings = input.teams.find((x) => x.name === g.team);
    const guarantee = settings?.guarantee ?? { cpus: 0, gpus: 0 };
    const limit = settings?.limit ?? { cpus: 0, gpus: 0 };
    const least = largest([guarantee.cpus, guarantee.gpus, 0], all);
    const most = Math.min(
      1,
      limit.cpus > 0 && all[0] > 0 ? limit.cpus / all[0] : 1,
      limit.gpus > 0 && all[1] > 0 ? Math.max(limit.gpus / all[1], 0) : 1,
    );
    const had = largest(g.had, all);
    const wants = largest(g.want, all);
    const teamWants = largest(t.want, all);
    const entitled = Math.min(most, Math.max(weight(g.team) / weights, least));
    const missing = Math.max(0, Math.min(entitled - largest(t.had, all), teamWants));
    const owed = teamWants > 0 ? Math.min(wants, (missing * wants) / teamWants) : 0;
    out.push({ team: g.team, jobClass: g.jobClass, entitled: had + owed, had, owed, why: whyOf(g.jobs, t.had, limit, result.free, all, lately) }); // prettier-ignore
  }
  return out;
};

const whyOf = (
  jobs: readonly Job[],
  teamHad: Resources,
  limit: { readonly cpus: number; readonly gpus: number },
  free: ReadonlyMap<string, Resources>,
  all: Resources,
  lately: Resources,
): WhyLess => {
  const beyond = (j: Job): boolean =>
    (limit.cpus > 0 && teamHad[0] + j.spec.cpus > limit.cpus) ||
    (limit.gpus > 0 && j.spec.gpus > 0 && teamHad[1] + j.spec.gpus > limit.gpus);
  if (jobs.every(beyond)) return 'limit';
  // Its members would fit one by one, but not together.
  const one = jobs.find((j) => j.spec.shape === 'gang' && j.spec.tasks > 1);
  if (one !== undefined && jobs.every((j) => j.spec.shape === 'gang')) {
    const need = resourcesOf(one.spec);
    for (const f of free.values()) if (fits(need, f)) return 'gang';
  }
  return all.some((x, i) => x < 0.9 * lately[i]!) ? 'lost' : 'room';
};

/** A group is spoken of when it was owed more than this part of what it was entitled to, over a whole minute. */
export const SHORT = 0.25;

/** The balance raises a team's weight by at most this part. */
export const LEAN = 0.25;
/** A team that was owed so much of all room, on the average of the half-life, has the whole of it. */
const FULL = 0.1;

/**
 * What teams were owed lately, decayed by half every `halfLife`: parts of all room. Leans on the order between teams, within
 * `LEAN`. A leadership term begins without any.
 */
export class Balance {
  private readonly owed = new Map<string, number>();
  private at: Micros | null = null;

  constructor(private readonly halfLife: Micros) {}

  /** Until `at` the groups that waited were owed what `groups` say. */
  pass(groups: readonly GroupShare[], at: Micros): void {
    const us = this.at === null ? 0 : Math.min(10e6, Math.max(0, at - this.at));
    this.at = at;
    const kept = 2 ** (-us / this.halfLife);
    const now = new Map<string, number>();
    for (const g of groups) now.set(g.team, (now.get(g.team) ?? 0) + g.owed);
    for (const team of new Set([...this.owed.keys(), ...now.keys()]))
      this.owed.set(team, (this.owed.get(team) ?? 0) * kept + (now.get(team) ?? 0) * (1 - kept));
  }

  /** Weights with the balance leaning on them: never below what they are, never above `1 + LEAN` times that. */
  lean(weights: ReadonlyMap<string, number>, teams: Iterable<string>): ReadonlyMap<string, number> {
    const out = new Map(weights);
    for (const team of teams)
      out.set(team, (weights.get(team) ?? 1) * (1 + LEAN * Math.min(1, (this.owed.get(team) ?? 0) / FULL)));
    return out;
  }
}

/** Sums of the leader's cycles since the last page. */
export class ShareBook {
  private rows = new Map<string, ShareSum>();
  private last: { readonly at: Micros; readonly groups: readonly GroupShare[] } | null = null;
  /** The most room lately: falls by a tenth a minute. */
  private peak: Resources = [0, 0, 0];

  /** What the room was at its most, a cycle's own included. */
  lately(all: Resources, at: Micros): Resources {
    const passed = this.last === null ? 0 : at - this.last.at;
    const fall = Math.exp((-0.1 * passed) / 60e6);
    this.peak = [0, 1, 2].map((i) => Math.max(all[i]!, this.peak[i]! * fall)) as Resources;
    return this.peak;
  }

  /** A cycle ended so: until the next one this is how it stands, for at most 10 s. */
  note(groups: readonly GroupShare[], at: Micros): void {
    this.advance(at);
    this.last = { at, groups };
  }

  private advance(at: Micros): void {
    if (this.last === null) return;
    const ms = Math.min(10_000, Math.max(0, Math.round((at - this.last.at) / 1000)));
    const ppm = (x: number): number => Math.round(x * PPM) * ms;
    for (const g of this.last.groups) {
      const row: ShareRow = [
        g.team,
        g.jobClass,
        ms,
        ppm(g.entitled),
        ppm(g.had),
        ...WHYS.map((w) => (w === g.why ? ppm(g.owed) : 0)),
      ];
      const key = JSON.stringify([g.team, g.jobClass]);
      const old = this.rows.get(key);
      this.rows.set(key, old === undefined ? sumOf(row) : addShare(old, sumOf(row)));
    }
    this.last = { ...this.last, at };
  }

  /** What has been gathered, and begins anew. */
  take(at: Micros): Shares {
    this.advance(at);
    const out = this.rows;
    this.rows = new Map();
    return out;
  }
}

export interface Shortfall {
  readonly team: string;
  readonly jobClass: string;
  readonly waited: number;
  /** Parts of all room, on the average of the time waited. */
  readonly entitled: number;
  readonly had: number;
  readonly why: WhyLess;
}
/** Groups to speak of: owed more than `SHORT` of what they were entitled to, having waited for at least half a minute. */
export const shortfalls = (shares: Shares): Shortfall[] => {
  const out: Shortfall[] = [];
  for (const [key, s] of shares) {
    const owed = s.owed.reduce((a, b) => a + b, 0n);
    if (s.waited < 30_000n || Number(owed) <= SHORT * Number(s.entitled)) continue;
    const [team, jobClass] = JSON.parse(key) as [string, string];
    const most = s.owed.reduce((best, x, i) => (x > s.owed[best]! ? i : best), 0);
    const part = (x: bigint): number => Math.round((Number(x) / Number(s.waited) / PPM) * 1e4) / 1e4;
    out.push({ team, jobClass, waited: Math.round(Number(s.waited) / 1e3), entitled: part(s.entitled), had: part(s.had), why: WHYS[most]! }); // prettier-ignore
  }
  return out;
};
