/**
 * One scheduling cycle, a pure function: evict the fair-share-preemptible tasks into their teams' queues,
 * refill progressively, and return what differs (docs/design.md cites the paper).
 *
 * Eviction is a device of the computation: a task that gets its own machine back is not touched.
 */
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import {
  add,
  type CycleInput,
  type CycleResult,
  fits,
  type Holder,
  type NodeView,
  type QueuedJob,
  type Room,
  room,
  type Start,
  type Stop,
  type Unplaced,
} from './model.js';

interface NodeState {
  readonly view: NodeView;
  readonly free: Room;
  readonly leaving: Room;
  /** Evicted tasks that may still be displaced. */
  readonly evicted: Set<Evicted>;
}
/** An evicted gang, or one evicted task of an array or service. */
interface Evicted {
  readonly team: TeamState;
  readonly job: Job;
  readonly members: readonly Holder[];
  readonly loss: number;
  out: boolean;
}
interface TeamState {
  readonly settings: TeamSettings;
  readonly weight: number;
  /** Held by tasks that stay or were refilled. */
  readonly used: Room;
  /** Everything that may still be running, for the limit. */
  readonly held: Room;
  readonly queue: Item[];
  next: number;
}
type Item =
  | { readonly kind: 'evicted'; readonly unit: Evicted; readonly urgency: number; readonly rank: number }
  | {
      readonly kind: 'queued';
      readonly queued: QueuedJob;
      readonly urgency: number;
      readonly rank: number;
      /** Index of the next task, for arrays and services. */
      at: number;
    };

const NO_TEAM: TeamSettings = { name: '', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } };

export const schedule = (input: CycleInput): CycleResult => {
  const nodes = new Map<string, NodeState>();
  const total: Room = [0, 0, 0];
  for (const view of input.nodes) {
    nodes.set(view.id, { view, free: [...view.total], leaving: [0, 0, 0], evicted: new Set() });
    add(total, view.total);
  }
  const teams = new Map<string, TeamState>();
  const teamOf = (name: string): TeamState => {
    let t = teams.get(name);
    if (!t) {
      t = {
        settings: input.teams.find((s) => s.name === name) ?? { ...NO_TEAM, name },
        weight: input.weights.get(name) ?? 1,
        used: [0, 0, 0],
        held: [0, 0, 0],
        queue: [],
        next: 0,
      };
      teams.set(name, t);
    }
    return t;
  };

  // Eviction. Everything held takes room; what is evicted may be displaced from it later.
  const gangs = new Map<Job, Holder[]>();
  const zonesHeld = new Map<Job, Map<string, number>>();
  /** Jobs with a task that may be anywhere: zone rules can't be kept for them yet. */
  const lostSight = new Set<Job>();
  const evict = (job: Job, members: readonly Holder[]): void => {
    const team = teamOf(job.spec.team);
    const unit: Evicted = { team, job, members, loss: Math.max(...members.map((m) => m.loss)), out: false };
    for (const m of members) nodes.get(m.machine)?.evicted.add(unit);
    team.queue.push({ kind: 'evicted', unit, urgency: job.spec.urgency, rank: -1 });
  };
  for (const h of input.holders) {
    const need = room(h.job.spec);
    const team = teamOf(h.job.spec.team);
    add(team.held, need);
    const node = nodes.get(h.machine);
    if (node) add(node.free, need, -1);
    if (h.zone === null) lostSight.add(h.job);
    else {
      let zones = zonesHeld.get(h.job);
      if (!zones) zonesHeld.set(h.job, (zones = new Map()));
      zones.set(h.zone, (zones.get(h.zone) ?? 0) + 1);
    }
    if (h.leaving) {
      if (node) add(node.leaving, need);
      add(team.used, need);
    } else if (h.job.spec.shape === 'gang') {
      const members = gangs.get(h.job);
      if (members) members.push(h);
      else gangs.set(h.job, [h]);
    } else {
      evict(h.job, [h]);
    }
  }
  for (const [job, members] of gangs) evict(job, members);

  for (const q of input.queued) {
    if (q.tasks.length === 0) continue;
    teamOf(q.job.spec.team).queue.push({
      kind: 'queued',
      queued: q,
      urgency: q.job.spec.urgency,
      rank: q.rank,
      at: 0,
    });
  }
  for (const t of teams.values()) {
    t.queue.sort(
      (a, b) =>
        b.urgency - a.urgency ||
        a.rank - b.rank ||
        (a.kind === 'evicted' || b.kind === 'evicted'
          ? 0
          : a.queued.job.spec.id < b.queued.job.spec.id
            ? -1
            : 1),
    );
  }

  const starts = new Map<Job, Start>();
  const stops: Stop[] = [];
  const unplaced: Unplaced[] = [];
  /** Shapes of task that found no room in this cycle: what fails once fails again. */
  const hopeless = new Set<string>();

  const sizeOf = (item: Item): Room => {
    const job = item.kind === 'evicted' ? item.unit.job : item.queued.job;
    const count = job.spec.shape === 'gang' ? job.spec.tasks : 1;
    const need = room(job.spec);
    return [need[0] * count, need[1] * count, need[2] * count];
  };
  /** Dominant share over weight, as it would be with `more` placed. */
  const share = (team: TeamState, more: Room): number => {
    let worst = 0;
    for (let i = 0; i < 3; i++) {
      if (total[i]! > 0) worst = Math.max(worst, (team.used[i]! + more[i]!) / total[i]!);
    }
    return worst / team.weight;
  };
  const withinGuarantee = (team: TeamState, more: Room): boolean => {
    const g = team.settings.guarantee;
    return team.used[0] + more[0] <= g.cpus + 1e-6 && team.used[1] + more[1] <= g.gpus + 1e-6;
  };
  const overLimit = (team: TeamState, more: Room): boolean => {
    const l = team.settings.limit;
    return (
      (l.cpus > 0 && team.held[0] + more[0] > l.cpus + 1e-6) ||
      (l.gpus > 0 && team.held[1] + more[1] > l.gpus + 1e-6)
    );
  };

  const displace = (unit: Evicted): void => {
    unit.out = true;
    for (const m of unit.members) {
      const n = nodes.get(m.machine);
      if (n) {
        n.evicted.delete(unit);
        add(n.leaving, room(unit.job.spec));
      }
      stops.push({ job: unit.job, task: m.task, machine: m.machine });
    }
  };

  const NONE: Room = [0, 0, 0];
  const mayDisplace = (job: Job, team: TeamState, need: Room, unit: Evicted): boolean => {
    if (unit.job.spec.urgency < job.spec.urgency) return true;
    // A team's guarantee is given back by whoever runs beyond their own.
    return unit.team !== team && withinGuarantee(team, need) && !withinGuarantee(unit.team, NONE);
  };

  /** Where a gang's members, or one task, go. null: nowhere, even by displacing. */
  interface Choice {
    readonly machines: NodeState[];
    readonly victims: Set<Evicted>;
    /** All on room that is free now. */
    readonly free: boolean;
  }
  const zonesAllowed = (job: Job): string[] => {
    if (lostSight.has(job) && (job.spec.oneZone || job.spec.spread)) return [];
    const zones = new Set<string>();
    for (const n of nodes.values()) zones.add(n.view.zone);
    let list = [...zones].sort();
    if (job.spec.zone !== null) list = list.filter((z) => z === job.spec.zone);
    if (job.spec.oneZone) {
      const held = zonesHeld.get(job);
      if (held && held.size > 0) list = list.filter((z) => held.has(z) && held.size === 1);
    }
    return list;
  };
  const allowed = (job: Job, n: NodeState): boolean =>
    n.view.open &&
    (job.spec.zone === null || job.spec.zone === n.view.zone) &&
    (job.spec.types === null || job.spec.types.includes(n.view.type)) &&
    (!n.view.spot || job.spec.spot) &&
    !input.avoid(job.spec.id, n.view.id);

  /**
   * A task without GPUs leaves a GPU machine what its free GPUs need beside them, unless it is more urgent
   * than every GPU job, or short while none of them waits: room whose GPUs nobody can reach any more is lost to the jobs that need them.
   */
  const strands = (job: Job, n: NodeState, left: Room): boolean => {
    if (job.spec.gpus > 0 || n.view.total[1] === 0) return false;
    // Without any GPU task it is dear and idle: it should become empty and go back, not be kept by CPU tasks.
    const low = job.spec.urgency === 0 && job.spec.types === null;
    if (low && (input.surplus.has(n.view.id) || left[1] >= n.view.total[1] - 1e-6)) return true;
    return input.companions.some(
      (c) =>
        c.urgency >= job.spec.urgency &&
        (c.waiting || job.spec.estimate === 0 || job.spec.estimate > c.patience) &&
        (left[0] < left[1] * c.cpusPerGpu - 1e-6 || left[2] < left[1] * c.memPerGpu - 1e-6),
    );
  };

  /** Tightest fit, with what a task has no use for and a missing image weighing against a machine. */
  const score = (job: Job, n: NodeState, left: Room): number => {
    const t = n.view.total;
    let loose = 0;
    for (let i = 0; i < 3; i++) if (t[i]! > 0) loose += left[i]! / t[i]!;
    return (
      loose / 3 +
      (job.spec.gpus === 0 && t[1] > 0 ? 4 : 0) +
      (n.view.images.has(job.spec.image) ? 0 : 0.4) +
      (input.surplus.has(n.view.id) ? 8 : 0) +
      (job.spec.spot && !n.view.spot ? 1 : 0)
    );
  };

  const victimsOn = (
    job: Job,
    team: TeamState,
    need: Room,
    n: NodeState,
    have: Room,
    taken: Set<Evicted>,
  ): Evicted[] | null => {
    const options = [...n.evicted].filter((u) => !taken.has(u) && mayDisplace(job, team, need, u));
    options.sort(
      (a, b) =>
        a.job.spec.urgency - b.job.spec.urgency ||
        (a.team === b.team ? 0 : share(b.team, NONE) - share(a.team, NONE)) ||
        a.loss - b.loss,
    );
    const got: Room = [...have];
    const out: Evicted[] = [];
    for (const u of options) {
      if (fits(need, got)) break;
      for (const m of u.members) if (m.machine === n.view.id) add(got, room(u.job.spec));
      out.push(u);
    }
    return fits(need, got) ? out : null;
  };

  const choose = (
    job: Job,
    team: TeamState,
    count: number,
    zones: readonly string[],
    level: 0 | 1 | 2,
  ): Choice | null => {
    const need = room(job.spec);
    const used = new Map<NodeState, Room>();
    const byZone = new Map(zonesHeld.get(job) ?? []);
    const zoneCap = job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
    const victims = new Set<Evicted>();
    const machines: NodeState[] = [];
    let free = true;
    for (let i = 0; i < count; i++) {
      let best: { n: NodeState; score: number; victims: Evicted[]; free: boolean } | null = null;
      for (const n of nodes.values()) {
        if (!zones.includes(n.view.zone) || !allowed(job, n)) continue;
        if ((byZone.get(n.view.zone) ?? 0) >= zoneCap) continue;
        const mine = used.get(n) ?? NONE;
        const left: Room = [n.free[0] - mine[0], n.free[1] - mine[1], n.free[2] - mine[2]];
        const after: Room = [left[0] - need[0], left[1] - need[1], left[2] - need[2]];
        if (strands(job, n, after)) continue;
        if (fits(need, left)) {
          const s = score(job, n, after);
          if (best === null || s < best.score) best = { n, score: s, victims: [], free: true };
          continue;
        }
        if (level === 0) continue;
        add(left, n.leaving);
        for (const v of victims)
          for (const m of v.members) if (m.machine === n.view.id) add(left, room(v.job.spec));
        if (fits(need, left)) {
          const s = 100 + score(job, n, left);
          if (best === null || s < best.score) best = { n, score: s, victims: [], free: false };
          continue;
        }
        if (level === 1) continue;
        const v = victimsOn(job, team, need, n, left, victims);
        if (v === null) continue;
        const lowest = v.reduce((a, u) => Math.max(a, u.job.spec.urgency), 0);
        const loss = v.reduce((a, u) => a + (u.loss / 1e6) * u.members.length, 0);
        const s = 10_000 * (1 + lowest) + Math.min(loss, 9000) + score(job, n, left);
        if (best === null || s < best.score) best = { n, score: s, victims: v, free: false };
      }
      if (best === null) return null;
      for (const v of best.victims) victims.add(v);
      const mine = used.get(best.n) ?? [0, 0, 0];
      add(mine, need);
      used.set(best.n, mine);
      byZone.set(best.n.view.zone, (byZone.get(best.n.view.zone) ?? 0) + 1);
      machines.push(best.n);
      free &&= best.free;
    }
    return { machines, victims, free };
  };

  const find = (job: Job, team: TeamState, count: number): Choice | null => {
    const zones = zonesAllowed(job);
    if (zones.length === 0) return null;
    const groups = job.spec.oneZone ? zones.map((z) => [z]) : [zones];
    for (const level of [0, 1, 2] as const) {
      let best: Choice | null = null;
      for (const g of groups) {
        const c = choose(job, team, count, g, level);
        if (c === null || (level === 0 && !c.free)) continue;
        if (best === null || c.victims.size < best.victims.size) best = c;
        if (best.victims.size === 0) break;
      }
      if (best) return best;
    }
    return null;
  };

  const take = (job: Job, team: TeamState, tasks: readonly number[], choice: Choice): void => {
    const need = room(job.spec);
    for (const v of choice.victims) {
      if (v.out) continue;
      // A unit that was already refilled gives back what was counted for it.
      if (returned.has(v)) add(v.team.used, need3(v), -1);
      displace(v);
    }
    let start = starts.get(job);
    if (choice.free && !start) {
      start = { job, attempt: job.attempt + 1, on: new Map() };
      starts.set(job, start);
    }
    let zones = zonesHeld.get(job);
    if (!zones) zonesHeld.set(job, (zones = new Map()));
    tasks.forEach((task, i) => {
      const n = choice.machines[i]!;
      add(n.free, need, -1);
      add(team.used, need);
      add(team.held, need);
      zones.set(n.view.zone, (zones.get(n.view.zone) ?? 0) + 1);
      if (choice.free) {
        const on = start!.on.get(n.view.id);
        if (on) on.push(task);
        else start!.on.set(n.view.id, [task]);
      }
    });
    // Room that is only promised is taken from what is leaving, so that nobody else counts on it.
    if (!choice.free) {
      for (const n of choice.machines) {
        for (let i = 0; i < 3; i++) {
          if (n.free[i]! < 0) {
            n.leaving[i]! += n.free[i]!;
            n.free[i] = 0;
          }
        }
      }
    }
  };
  const need3 = (u: Evicted): Room => {
    const r = room(u.job.spec);
    return [r[0] * u.members.length, r[1] * u.members.length, r[2] * u.members.length];
  };
  const returned = new Set<Evicted>();

  // Refill.
  for (;;) {
    let team: TeamState | null = null;
    let smallest = Number.POSITIVE_INFINITY;
    for (const t of teams.values()) {
      const item = t.queue[t.next];
      if (!item) continue;
      const s = share(t, sizeOf(item));
      if (s < smallest) {
        smallest = s;
        team = t;
      }
    }
    if (team === null) break;
    const item = team.queue[team.next]!;
    if (item.kind === 'evicted') {
      team.next++;
      if (item.unit.out) continue;
      add(team.used, need3(item.unit));
      returned.add(item.unit);
      continue;
    }
    const { job, tasks } = item.queued;
    const gang = job.spec.shape === 'gang';
    const group = gang ? tasks : [tasks[item.at]!];
    const size = sizeOf(item);
    const key = gang
      ? ''
      : [
          job.spec.team,
          job.spec.urgency,
          job.spec.cpus,
          job.spec.gpus,
          job.spec.memGb,
          job.spec.types,
          job.spec.zone,
          job.spec.spot,
          job.spec.oneZone,
          job.spec.spread ? job.spec.id : '',
        ].join('|');
    const limited = overLimit(team, size);
    const choice = limited || (key !== '' && hopeless.has(key)) ? null : find(job, team, group.length);
    if (choice === null) {
      if (key !== '' && !limited) hopeless.add(key);
      team.next++;
      // More machines would not help a team at its limit.
      if (!limited) unplaced.push({ job, count: gang ? tasks.length : tasks.length - item.at });
      continue;
    }
    take(job, team, group, choice);
    if (gang || ++item.at >= tasks.length) team.next++;
  }

  const free = new Map<string, Room>();
  for (const n of nodes.values()) free.set(n.view.id, [...n.free]);
  return { starts: [...starts.values()], stops, unplaced, free };
};
