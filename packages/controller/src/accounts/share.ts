/**
 * Shares: how long groups of a team's jobs waited, what fair share of the cluster they were entitled to, and what they had
 * of it. All figures are integers: milliseconds, or millionths of the capacity of all machines (of the resource of which the
 * group takes the largest fraction) times milliseconds. A month of the whole capacity is 2.7e15, which a number still
 * holds exactly.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { CycleInput, CycleResult, Resources } from '../scheduler/model.js';
import { add, fits, resourcesOf } from '../scheduler/model.js';

/**
 * Why a group that waited had less than it was entitled to: the team's limit (`limit`), too few free resources (`room`),
 * free resources for single members of a gang but not for all at once (`gang`), a recent loss of capacity (`lost`), or
 * capacity that was lent (`lent`, which no cycle assigns at present).
 */
export const SHORTFALL_REASONS = ['limit', 'room', 'gang', 'lost', 'lent'] as const;
export type ShortfallReason = (typeof SHORTFALL_REASONS)[number];

/**
 * Team, class, milliseconds waited, what the group was entitled to and what it had while it waited, and the owed share by
 * reason (in the order of `SHORTFALL_REASONS`).
 */
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
/** Sums by group; the key is `[team, class]` as JSON. */
export type Shares = ReadonlyMap<string, ShareSum>;

const sumOf = ([, , waited, entitled, had, ...owed]: ShareRow): ShareSum => ({
  waited: BigInt(waited),
  entitled: BigInt(entitled),
  had: BigInt(had),
  owed: SHORTFALL_REASONS.map((_, i) => BigInt(owed[i] ?? 0)),
});
export const addShare = (a: ShareSum, b: ShareSum): ShareSum => ({
  waited: a.waited + b.waited,
  entitled: a.entitled + b.entitled,
  had: a.had + b.had,
  owed: a.owed.map((value, i) => value + b.owed[i]!),
});

/** Returns the sums of rows by group. */
export const joinShares = (rows: Iterable<ShareRow>): Shares => {
  const out = new Map<string, ShareSum>();
  for (const row of rows) {
    const key = JSON.stringify([row[0], row[1]]);
    const old = out.get(key);
    out.set(key, old === undefined ? sumOf(row) : addShare(old, sumOf(row)));
  }
  return out;
};

/** Returns at most `maxRows` rows, or one per team: the classes that waited least are merged into the class `*` of their team. */
export const compactShares = (shares: Shares, maxRows: number): ShareRow[] => {
  const out = new Map(shares);
  const order = [...shares].sort(([, a], [, b]) => (a.waited < b.waited ? -1 : 1));
  for (const [key, sum] of order) {
    if (out.size <= maxRows) break;
    const [team, jobClass] = JSON.parse(key) as [string, string];
    if (jobClass === '*') continue;
    const mergedKey = JSON.stringify([team, '*']);
    const old = out.get(mergedKey);
    out.delete(key);
    out.set(mergedKey, old === undefined ? sum : addShare(old, sum));
  }
  return [...out]
    .sort(([keyA], [keyB]) => (keyA < keyB ? -1 : 1))
    .map(([key, sum]) => {
      const [team, jobClass] = JSON.parse(key) as [string, string];
      const owed = sum.owed.map(Number);
      while (owed.length > 0 && owed[owed.length - 1] === 0) owed.pop();
      return [team, jobClass, Number(sum.waited), Number(sum.entitled), Number(sum.had), ...owed];
    });
};

const PPM = 1e6;
/** Returns the largest fraction that `amounts` takes of any resource of `capacity`. */
const dominantShare = (amounts: Resources, capacity: Resources): number => {
  let largest = 0;
  for (let i = 0; i < 3; i++) if (capacity[i]! > 0) largest = Math.max(largest, amounts[i]! / capacity[i]!);
  return largest;
};

/** The share of one group of jobs that waits after a scheduling cycle. */
export interface GroupShare {
  readonly team: string;
  readonly jobClass: string;
  /** `entitled`, `had` and `owed` are fractions of the capacity of all machines, from 0 to 1. */
  readonly entitled: number;
  readonly had: number;
  readonly owed: number;
  readonly why: ShortfallReason;
}

/**
 * Returns the shares of the groups that still wait after a scheduling cycle. A team is entitled to the fraction that its
 * weight has among the teams that hold or request resources, or to its guarantee if that is more, up to its limit. What the
 * team has less than that is divided among its waiting groups in proportion to what they request.
 */
export const sharesOf = (
  input: Pick<CycleInput, 'teams' | 'weights' | 'machines' | 'placedTasks'>,
  result: Pick<CycleResult, 'unplaced' | 'starts' | 'free'>,
  /** The recent peak of the total capacity. */
  recentPeak: Resources,
): GroupShare[] => {
  if (result.unplaced.length === 0) return [];
  const capacity: Resources = [0, 0, 0];
  for (const machine of input.machines) add(capacity, machine.total);
  const groups = new Map<
    string,
    { team: string; jobClass: string; had: Resources; want: Resources; jobs: Job[] }
  >();
  const teams = new Map<string, { had: Resources; want: Resources }>();
  const sumsFor = (job: Job) => {
    const { team, jobClass } = job.spec;
    const key = JSON.stringify([team, jobClass]);
    let group = groups.get(key);
    if (!group) groups.set(key, (group = { team, jobClass, had: [0, 0, 0], want: [0, 0, 0], jobs: [] }));
    let teamSums = teams.get(team);
    if (!teamSums) teams.set(team, (teamSums = { had: [0, 0, 0], want: [0, 0, 0] }));
    return { group, teamSums };
  };
  const addHeld = (job: Job, taskCount: number): void => {
    const { group, teamSums } = sumsFor(job);
    add(group.had, resourcesOf(job.spec), taskCount);
    add(teamSums.had, resourcesOf(job.spec), taskCount);
  };
  const heldTasks = new Map<Job, number>();
  for (const placed of input.placedTasks) heldTasks.set(placed.job, (heldTasks.get(placed.job) ?? 0) + 1);
  for (const start of result.starts)
    for (const tasks of start.tasksByMachine.values())
      heldTasks.set(start.job, (heldTasks.get(start.job) ?? 0) + tasks.length);
  for (const [job, taskCount] of heldTasks) addHeld(job, taskCount);
  for (const { job, count } of result.unplaced) {
    if (count <= 0) continue;
    const { group, teamSums } = sumsFor(job);
    add(group.want, resourcesOf(job.spec), count);
    add(teamSums.want, resourcesOf(job.spec), count);
    group.jobs.push(job);
  }
  const weight = (team: string): number => input.weights.get(team) ?? 1;
  const weights = [...teams.keys()].reduce((sum, team) => sum + weight(team), 0);
  const out: GroupShare[] = [];
  for (const group of groups.values()) {
    if (group.jobs.length === 0) continue;
    const teamSums = teams.get(group.team)!;
    const settings = input.teams.find((team) => team.name === group.team);
    const guarantee = settings?.guarantee ?? { cpus: 0, gpus: 0 };
    const limit = settings?.limit ?? { cpus: 0, gpus: 0 };
    const guaranteed = dominantShare([guarantee.cpus, guarantee.gpus, 0], capacity);
    const max = Math.min(
      1,
      limit.cpus > 0 && capacity[0] > 0 ? limit.cpus / capacity[0] : 1,
      limit.gpus > 0 && capacity[1] > 0 ? Math.max(limit.gpus / capacity[1], 0) : 1,
    );
    const had = dominantShare(group.had, capacity);
    const wants = dominantShare(group.want, capacity);
    const teamWants = dominantShare(teamSums.want, capacity);
    const entitled = Math.min(max, Math.max(weight(group.team) / weights, guaranteed));
    const missing = Math.max(0, Math.min(entitled - dominantShare(teamSums.had, capacity), teamWants));
    const owed = teamWants > 0 ? Math.min(wants, (missing * wants) / teamWants) : 0;
    out.push({ team: group.team, jobClass: group.jobClass, entitled: had + owed, had, owed, why: reasonOf(group.jobs, teamSums.had, limit, result.free, capacity, recentPeak) }); // prettier-ignore
  }
  return out;
};

const reasonOf = (
  jobs: readonly Job[],
  teamHad: Resources,
  limit: { readonly cpus: number; readonly gpus: number },
  free: ReadonlyMap<string, Resources>,
  capacity: Resources,
  recentPeak: Resources,
): ShortfallReason => {
  const exceedsLimit = (job: Job): boolean =>
    (limit.cpus > 0 && teamHad[0] + job.spec.cpus > limit.cpus) ||
    (limit.gpus > 0 && job.spec.gpus > 0 && teamHad[1] + job.spec.gpus > limit.gpus);
  if (jobs.every(exceedsLimit)) return 'limit';
  // Some machine has enough free resources for one member of the gang, but there are not enough for all at once.
  const gang = jobs.find((job) => job.spec.shape === 'gang' && job.spec.tasks > 1);
  if (gang !== undefined && jobs.every((job) => job.spec.shape === 'gang')) {
    const need = resourcesOf(gang.spec);
    for (const resources of free.values()) if (fits(need, resources)) return 'gang';
  }
  return capacity.some((amount, i) => amount < 0.9 * recentPeak[i]!) ? 'lost' : 'room';
};

/** A group is reported if the owed share is more than this fraction of what it was entitled to. */
export const SHORTFALL_RATIO = 0.25;
/** Maximum fraction by which the balance raises a team's weight. */
export const MAX_ADJUSTMENT = 0.25;
/** A team's weight gets the maximum adjustment if this fraction of the capacity was owed to it, on the decaying average. */
const FULL_ADJUSTMENT_AT = 0.1;

/**
 * Raises the weights of teams that were owed a share recently, by at most `MAX_ADJUSTMENT`, and so influences the order
 * between teams. Keeps a decaying average by team of the owed share, as a fraction of the total capacity; its half-life is
 * `halfLife`. Every leadership term starts with empty averages.
 */
export class Balance {
  private readonly owed = new Map<string, number>();
  private at: Micros | null = null;

  constructor(private readonly halfLife: Micros) {}

  /** Adds the shares of the groups that waited from the last call until `at`, over at most 10 s. */
  record(groups: readonly GroupShare[], at: Micros): void {
    const us = this.at === null ? 0 : Math.min(10e6, Math.max(0, at - this.at));
    this.at = at;
    const kept = 2 ** (-us / this.halfLife);
    const now = new Map<string, number>();
    for (const group of groups) now.set(group.team, (now.get(group.team) ?? 0) + group.owed);
    for (const team of new Set([...this.owed.keys(), ...now.keys()]))
      this.owed.set(team, (this.owed.get(team) ?? 0) * kept + (now.get(team) ?? 0) * (1 - kept));
  }

  /** Returns the weights adjusted by the balance: at least the given weight, and at most `1 + MAX_ADJUSTMENT` times it. */
  adjust(weights: ReadonlyMap<string, number>, teams: Iterable<string>): ReadonlyMap<string, number> {
    const out = new Map(weights);
    for (const team of teams)
      out.set(
        team,
        (weights.get(team) ?? 1) *
          (1 + MAX_ADJUSTMENT * Math.min(1, (this.owed.get(team) ?? 0) / FULL_ADJUSTMENT_AT)),
      );
    return out;
  }
}

/** Sums the shares of the leader's scheduling cycles since the last page. */
export class ShareRecorder {
  private rows = new Map<string, ShareSum>();
  private last: { readonly at: Micros; readonly groups: readonly GroupShare[] } | null = null;
  /** Recent peak of the total capacity; it decays by a tenth per minute. */
  private peak: Resources = [0, 0, 0];

  /** Returns the recent peak of the total capacity. `all`: the total capacity in this cycle. */
  recentCapacity(all: Resources, at: Micros): Resources {
    const passed = this.last === null ? 0 : at - this.last.at;
    const decay = Math.exp((-0.1 * passed) / 60e6);
    this.peak = [0, 1, 2].map((i) => Math.max(all[i]!, this.peak[i]! * decay)) as Resources;
    return this.peak;
  }

  /** Records the result of a cycle. It counts until the next cycle, for at most 10 s. */
  record(groups: readonly GroupShare[], at: Micros): void {
    this.advance(at);
    this.last = { at, groups };
  }

  private advance(at: Micros): void {
    if (this.last === null) return;
    const ms = Math.min(10_000, Math.max(0, Math.round((at - this.last.at) / 1000)));
    const ppmMs = (fraction: number): number => Math.round(fraction * PPM) * ms;
    for (const group of this.last.groups) {
      const row: ShareRow = [
        group.team,
        group.jobClass,
        ms,
        ppmMs(group.entitled),
        ppmMs(group.had),
        ...SHORTFALL_REASONS.map((reason) => (reason === group.why ? ppmMs(group.owed) : 0)),
      ];
      const key = JSON.stringify([group.team, group.jobClass]);
      const old = this.rows.get(key);
      this.rows.set(key, old === undefined ? sumOf(row) : addShare(old, sumOf(row)));
    }
    this.last = { ...this.last, at };
  }

  /** Returns the sums recorded until `at` and resets them. */
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
  /** Seconds. */
  readonly waited: number;
  /** `entitled` and `had` are fractions of the total capacity, averaged over the time waited. */
  readonly entitled: number;
  readonly had: number;
  /** The reason behind the largest part of the owed share. */
  readonly why: ShortfallReason;
}
/** Returns the groups to report: those that waited for at least 30 s and whose owed share exceeds `SHORTFALL_RATIO`. */
export const shortfalls = (shares: Shares): Shortfall[] => {
  const out: Shortfall[] = [];
  for (const [key, sum] of shares) {
    const owed = sum.owed.reduce((a, b) => a + b, 0n);
    if (sum.waited < 30_000n || Number(owed) <= SHORTFALL_RATIO * Number(sum.entitled)) continue;
    const [team, jobClass] = JSON.parse(key) as [string, string];
    const mainReason = sum.owed.reduce((best, value, i) => (value > sum.owed[best]! ? i : best), 0);
    const averageFraction = (value: bigint): number =>
      Math.round((Number(value) / Number(sum.waited) / PPM) * 1e4) / 1e4;
    out.push({ team, jobClass, waited: Math.round(Number(sum.waited) / 1e3), entitled: averageFraction(sum.entitled), had: averageFraction(sum.had), why: SHORTFALL_REASONS[mainReason]! }); // prettier-ignore
  }
  return out;
};
