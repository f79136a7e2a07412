import { MAX_CLOCK_DRIFT } from '@lilacvalve/runtime/micros';
import { activeJobKey } from '@lilacvalve/controller/jobs/keys';
import type { TeamSettings } from '@lilacvalve/controller/settings/settings';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** Every team of these days is at its limit as soon as a few jobs of it are there. */
export const TIGHT_TEAMS: readonly TeamSettings[] = [
  { name: 'red', guarantee: { cpus: 4, gpus: 0 }, limit: { cpus: 10, gpus: 0 } },
  { name: 'blue', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 10, gpus: 0 } },
  { name: 'guest', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 4, gpus: 0 } },
];
/** What a team's jobs ask for, of its limit: enough waits to take whatever room comes back. */
const ASKED_FOR = 1.8;
const CPUS = 2;
const SHORTEST = 30e6;
const LOOK_EVERY = 100_000;
const AFTER = 3e6;

/**
 * The bound (docs/meetings.md): how late the limit may still count a task that is gone. From a newer report that was
 * answered, or the cloud's delete; from the end of the machine's lease, where the leader has heard it; from a lease after
 * the leader began, where it has not: then older leaders' word must have run out too.
 */
const BY_WORD = 2e6;
const BY_LEASE = 3.5e6;
const BY_LEASE_ANEW = 7e6;
/** From there to the next start of the team, where a machine that the leader hears has room. */
const USED = 3e6;

interface Victim {
  readonly key: string;
  readonly job: JobTruth;
  readonly machine: Worker;
  readonly how: 'cut off' | 'hung';
  readonly term: number | null;
  /** When its machine sent the last report that was not held up. */
  readonly sent: number;
  goneAt: number | null;
  /** Since when the leader can know that. */
  word: { readonly term: number; readonly at: number } | null;
  met: boolean;
}
type Counted = ReadonlyMap<string, number>;

/** Teams at their limits; users cancel jobs whose machines are cut off or hang, and the leader changes. */
export const atLimit = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const limits = new Map(TIGHT_TEAMS.map((t) => [t.name, t.limit.cpus]));
  /** Until when zones are cut off, and machines hang; their reports come soon after. */
  const away = new Map<string, number>();
  const sent = new Map<string, number>();
  let strikes = 0;
  let leaderTerm = { term: null as number | null, since: 0 };

  const mine = (j: JobTruth, team: string): boolean =>
    j.team === team && !world.rules.cancelAsked(j.id) && world.rules.state(j.id) !== 'done';
  /** So that every team asks for more than its limit. */
  const fill = (): void => {
    const { random } = world;
    for (const [team, limit] of limits) {
      let more = ASKED_FOR * limit;
      for (const j of world.jobs.values()) if (mine(j, team)) more -= j.cpus * (j.tasks - j.finished.size);
      while (more > 0) {
        const tasks = 1 + random.int(2);
        const job = { ...PLAIN_JOB, team, tasks, cpus: CPUS, runUs: random.between(SHORTEST, 2 * SHORTEST) };
        world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        more -= tasks * CPUS;
      }
    }
  };
  /** One more task of the team waits. */
  const waits = (team: string, counted: Counted): boolean => {
    for (const j of world.jobs.values()) {
      if (!mine(j, team) || j.cpus !== CPUS || j.runUs < SHORTEST || j.shape !== 'array' || j.gpus > 0)
        continue;
      if (world.rules.state(j.id) !== 'accepted' || j.types !== null || j.zone !== null || j.oneZone)
        continue;
      for (let i = 0; i < j.tasks; i++)
        if (!j.finished.has(i) && !counted.has(`${j.id}/${i}`) && !world.rules.holds(`${j.id}/${i}`))
          return true;
    }
    return false;
  };
  const full = (team: string, counted: Counted): boolean => {
    let cpus = CPUS;
    for (const key of counted.keys()) cpus += world.jobs.get(key.slice(0, key.indexOf('/')))!.cpus;
    return cpus > limits.get(team)!;
  };
  /** A machine that the leader hears has room for one more. */
  const room = (): boolean => {
    for (const x of world.workers.values()) {
      if (!x.alive || x.hanging || x.place.spot || !world.heardFrom(x.place.id)) continue;
      if ([x.place.id, x.place.zone].some((k) => world.time.now < (away.get(k) ?? 0) + AFTER)) continue;
      if (x.token !== leaderTerm.term) continue;
      let free = 8 - CPUS;
      for (const key of world.placedOn(x.place.id))
        free -= world.jobs.get(key.slice(0, key.indexOf('/')))!.cpus;
      if (free >= 0 && x.place.type === 'c8') return true;
    }
    return false;
  };

  /** Room of a team's limit has come back: until another task of it is placed. */
  const reuse = (team: string, from: Counted, since: number): void => {
    const { term } = leaderTerm;
    const look = (): void => {
      const counted = world.countedAgainstLimit(team);
      if (counted === null || world.term() !== term) return;
      if ([...counted].some(([key, attempt]) => from.get(key) !== attempt)) {
        kit.record('the room was used again');
        kit.recordDuration('the room was used again', world.time.now - since);
      } else if (!waits(team, counted) || full(team, counted) || !room()) return;
      else if (world.time.now > since + USED)
        world.rules.broken.push(`limit_unused: ${team} since ${since}, at ${world.time.now}`);
      else kit.after(LOOK_EVERY, look);
    };
    look();
  };

  /** From when on it is sure, how, and how soon it must be known then. */
  const due = (v: Victim): { readonly from: number; readonly how: string; readonly within: number } => {
    if (v.word !== null) return { from: v.word.at, how: 'by word', within: BY_WORD };
    const lease = world.lease * (1 + 2 * MAX_CLOCK_DRIFT);
    const { machine } = v;
    const last = Math.max(v.sent, machine.answeredFrom);
    if (machine.token === leaderTerm.term && world.heardFrom(machine.place.id))
      return { from: last + lease, how: 'by its lease', within: BY_LEASE };
    const from = Math.max(last, leaderTerm.since) + lease;
    return { from, how: 'by its lease, never heard', within: BY_LEASE_ANEW };
  };

  const look = (v: Victim): 'over' | 'on' => {
    const { now } = world.time;
    const { key, machine, job } = v;
    const counted = world.countedAgainstLimit(job.team);
    const on = world.rules.holds(key);
    // Whoever leads next could not count it.
    if (on && world.rules.state(job.id) === 'aborted' && !world.state.keys.has(activeJobKey(job.id)))
      world.rules.broken.push(`closed_while_on: ${key} at ${now}`);
    if (counted === null) return 'on';
    const has = counted.has(key);
    if (on) {
      if (!has) world.rules.broken.push(`limit_room_early: ${key} at ${now}`);
      const anew = v.term !== null && (leaderTerm.term ?? 0) > v.term && !world.heardFrom(machine.place.id);
      if (!v.met && anew && world.rules.state(job.id) === 'aborted' && full(job.team, counted)) {
        v.met = waits(job.team, counted);
        if (v.met)
          kit.record(
            `at the limit, cancelled on a machine that is ${v.how} and that a new leader never heard`,
          );
      }
      return has ? 'on' : 'over';
    }
    v.goneAt ??= now;
    if (v.word !== null && v.word.term !== leaderTerm.term) v.word = null;
    const told =
      machine.token === leaderTerm.term && machine.answeredFrom >= Math.max(v.goneAt, leaderTerm.since);
    if (v.word === null && leaderTerm.term !== null && (told || world.isDeleted(machine.place.id)))
      v.word = { term: leaderTerm.term, at: Math.max(now, leaderTerm.since) };
    const { from, how, within } = due(v);
    if (has) {
      if (now <= from + within) return 'on';
      world.rules.broken.push(`limit_room_late: ${key} ${how}, ${Math.round(now - from)} us, at ${now}`);
      return 'over';
    }
    // Before its lease is over only a report can have said so, whose answer is on its way still.
    const known = now < from ? 'by word' : how;
    kit.record(`the room came back ${known}`);
    kit.recordDuration(`the room came back ${known}`, now - from);
    if (!full(job.team, counted) && waits(job.team, counted) && room()) reuse(job.team, counted, now);
    return 'over';
  };

  const watch = (victims: Set<Victim>): void => {
    const term = world.term();
    if (term !== leaderTerm.term) leaderTerm = { term, since: world.time.now };
    for (const v of victims) if (look(v) === 'over') victims.delete(v);
    if (victims.size > 0) kit.after(LOOK_EVERY, () => watch(victims));
  };

  const strike = (): void => {
    const { random } = world;
    const old = world.leader();
    if (old === undefined) return;
    fill();
    const how = strikes++ % 2 === 0 ? 'cut off' : 'hung';
    const zone = world.zones[random.int(world.zones.length)]!;
    const machines = [...world.workers.values()].filter(
      (x) =>
        x.alive && !x.hanging && x.running() && (how === 'hung' ? random.chance(0.6) : x.place.zone === zone),
    );
    if (machines.length === 0) return;
    world.strike('atLimit');
    const lasts = world.lease * (random.chance(0.3) ? random.between(0.3, 0.95) : random.between(1.05, 2.2));
    world.disturbed(lasts);
    if (how === 'cut off') {
      const state = random.chance(0.5) ? 'held' : 'reset';
      for (const n of world.nodes) world.cut(`zone:${zone}`, n, state, lasts);
      away.set(zone, world.time.now + lasts);
    } else
      for (const x of machines) {
        x.hang(lasts, () => undefined);
        away.set(x.place.id, world.time.now + lasts);
      }
    const term = world.term();
    const victims = new Set<Victim>();
    const jobs = new Set<JobTruth>();
    for (const machine of machines)
      for (const t of machine.tasks.values()) {
        const job = world.jobs.get(t.key.slice(0, t.key.indexOf('/')))!;
        if (t.status !== 'running' || job.shape !== 'array' || world.rules.cancelAsked(job.id)) continue;
        if (world.rules.state(job.id) !== 'accepted' || (!jobs.has(job) && !random.chance(0.7))) continue;
        jobs.add(job);
        victims.add({
          key: t.key,
          job,
          machine,
          how,
          term,
          sent: sent.get(machine.place.id) ?? 0,
          goneAt: null,
          word: null,
          met: false,
        });
      }
    for (const { id } of jobs) kit.after(random.between(0, 3e6), () => kit.cancel(id));
    if (random.chance(0.85)) kit.after(random.between(0, 4e6), () => kit.changeLeader(world.leader() ?? old));
    watch(victims);
  };
  return {
    heartbeatSent: (by) => void sent.set(by.place.id, world.time.now),
    begin: () => {
      fill();
      world.disturbed(25e6);
      kit.after(world.random.between(16e6, 24e6), strike);
    },
  };
};
