import { MAX_CLOCK_DRIFT } from '@lilacvalve/runtime/micros';
import { activeJobKey } from '@lilacvalve/controller/jobs/keys';
import type { TeamSettings } from '@lilacvalve/controller/settings/settings';
import type { JobTruth } from '../job-truth.js';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** Teams whose limits are reached by a few jobs. */
export const TIGHT_TEAMS: readonly TeamSettings[] = [
  { name: 'red', guarantee: { cpus: 4, gpus: 0 }, limit: { cpus: 10, gpus: 0 } },
  { name: 'blue', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 10, gpus: 0 } },
  { name: 'guest', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 4, gpus: 0 } },
];
/** CPUs that a team's jobs request per CPU of its limit: more than one, so that tasks wait for any freed capacity. */
const DEMAND_PER_LIMIT = 1.8;
const CPUS_PER_TASK = 2;
const MIN_RUN_US = 30e6;
const CHECK_INTERVAL_US = 100_000;
const RECOVERY_US = 3e6;

/*
 * Maximum time for which a team's limit may still count a task that no longer holds its resources (docs/meetings.md), in
 * microseconds. The time runs from the response to a newer heartbeat or the deletion of the machine; from the expiry of
 * the machine's lease, if the leader has received a heartbeat of it; or from the expiry of a full lease after the leader's
 * term began, if it has not, since leases that earlier leaders granted must have expired too.
 */
const MAX_DELAY_BY_EVIDENCE_US = 2e6;
const MAX_DELAY_BY_LEASE_US = 3.5e6;
const MAX_DELAY_BY_LEASE_UNHEARD_US = 7e6;
/** Maximum time until the team's next start, if a machine that reports to the leader has free capacity, in microseconds. */
const MAX_REUSE_US = 3e6;

/** A task of a cancelled job on a machine that is cut off or hangs. */
interface Victim {
  readonly key: string;
  readonly job: JobTruth;
  readonly machine: Worker;
  readonly how: 'cut off' | 'hung';
  readonly term: number | null;
  /** When the machine sent its last heartbeat before the fault, in microseconds. */
  readonly lastHeartbeatAt: number;
  /** When the task was first seen not to hold its resources any more, in microseconds; null: it still holds them. */
  exitObservedAt: number | null;
  /** The term and time from which the leader can know by a heartbeat or a deletion that the task has exited. */
  evidence: { readonly term: number; readonly at: number } | null;
  /** Whether the cancellation at the limit under a new leader has been counted for this task. */
  recorded: boolean;
}
/** The tasks that the leader counts against a team's limit, with their attempts. */
type CountedAttempts = ReadonlyMap<string, number>;

/**
 * Keeps teams at their limits, cuts off or hangs machines, cancels jobs on them and changes the leader. Checks that the
 * limit counts a task for as long as it may run and not much longer, and that freed capacity is used again.
 */
export const atLimit = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const limits = new Map(TIGHT_TEAMS.map((task) => [task.name, task.limit.cpus]));
  /** By zone or machine: when its disconnection or hang ends. Heartbeats arrive again soon after. */
  const unreachableUntil = new Map<string, number>();
  const lastHeartbeatAt = new Map<string, number>();
  let injections = 0;
  let leaderTerm = { term: null as number | null, since: 0 };

  const isActiveJobOf = (job: JobTruth, team: string): boolean =>
    job.team === team && !world.rules.isCancelRequested(job.id) && world.rules.state(job.id) !== 'done';
  /** Submits jobs until every team requests more than its limit. */
  const fillLimits = (): void => {
    const { random } = world;
    for (const [team, limit] of limits) {
      let missingCpus = DEMAND_PER_LIMIT * limit;
      for (const job of world.jobs.values())
        if (isActiveJobOf(job, team)) missingCpus -= job.cpus * (job.tasks - job.finished.size);
      while (missingCpus > 0) {
        const tasks = 1 + random.int(2);
        const job = {
          ...PLAIN_JOB,
          team,
          tasks,
          cpus: CPUS_PER_TASK,
          runUs: random.between(MIN_RUN_US, 2 * MIN_RUN_US),
        };
        world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        missingCpus -= tasks * CPUS_PER_TASK;
      }
    }
  };
  /** Whether a task of the team, which any machine type and zone could run, waits to be placed. */
  const hasWaitingTask = (team: string, counted: CountedAttempts): boolean => {
    for (const job of world.jobs.values()) {
      if (
        !isActiveJobOf(job, team) ||
        job.cpus !== CPUS_PER_TASK ||
        job.runUs < MIN_RUN_US ||
        job.shape !== 'array' ||
        job.gpus > 0
      )
        continue;
      if (world.rules.state(job.id) !== 'accepted' || job.types !== null || job.zone !== null || job.oneZone)
        continue;
      for (let i = 0; i < job.tasks; i++)
        if (!job.finished.has(i) && !counted.has(`${job.id}/${i}`) && !world.rules.isPlaced(`${job.id}/${i}`))
          return true;
    }
    return false;
  };
  /** Whether one more task would exceed the team's limit. */
  const isAtLimit = (team: string, counted: CountedAttempts): boolean => {
    let cpus = CPUS_PER_TASK;
    for (const key of counted.keys()) cpus += world.jobs.get(key.slice(0, key.indexOf('/')))!.cpus;
    return cpus > limits.get(team)!;
  };
  /** Whether a machine that reports to the leader has enough free CPUs for one more task. */
  const hasFreeMachine = (): boolean => {
    for (const worker of world.workers.values()) {
      if (!worker.alive || worker.hanging || worker.place.spot || !world.hasReported(worker.place.id))
        continue;
      if (
        [worker.place.id, worker.place.zone].some(
          (k) => world.time.now < (unreachableUntil.get(k) ?? 0) + RECOVERY_US,
        )
      )
        continue;
      if (worker.token !== leaderTerm.term) continue;
      let free = 8 - CPUS_PER_TASK;
      for (const key of world.placedOn(worker.place.id))
        free -= world.jobs.get(key.slice(0, key.indexOf('/')))!.cpus;
      if (free >= 0 && worker.place.type === 'c8') return true;
    }
    return false;
  };

  /** After capacity within a team's limit was freed, checks that another task of the team is placed in time. */
  const awaitReuse = (team: string, from: CountedAttempts, since: number): void => {
    const { term } = leaderTerm;
    const check = (): void => {
      const counted = world.countedAgainstLimit(team);
      if (counted === null || world.term() !== term) return;
      if ([...counted].some(([key, attempt]) => from.get(key) !== attempt)) {
        kit.record('freed capacity was used again');
        kit.recordDuration('freed capacity was used again', world.time.now - since);
      } else if (!hasWaitingTask(team, counted) || isAtLimit(team, counted) || !hasFreeMachine()) return;
      else if (world.time.now > since + MAX_REUSE_US)
        world.rules.violations.push(`limit_unused: ${team} since ${since}, at ${world.time.now}`);
      else kit.after(CHECK_INTERVAL_US, check);
    };
    check();
  };

  /** The time from which it is certain that the task has exited, the reason, and how soon the limit must reflect it. */
  const recognitionDeadline = (
    victim: Victim,
  ): { readonly from: number; readonly how: string; readonly withinUs: number } => {
    if (victim.evidence !== null)
      return {
        from: victim.evidence.at,
        how: 'by heartbeat or deletion',
        withinUs: MAX_DELAY_BY_EVIDENCE_US,
      };
    const lease = world.lease * (1 + 2 * MAX_CLOCK_DRIFT);
    const { machine } = victim;
    const lastAnsweredAt = Math.max(victim.lastHeartbeatAt, machine.confirmedAt);
    if (machine.token === leaderTerm.term && world.hasReported(machine.place.id))
      return { from: lastAnsweredAt + lease, how: 'by lease expiry', withinUs: MAX_DELAY_BY_LEASE_US };
    const from = Math.max(lastAnsweredAt, leaderTerm.since) + lease;
    return { from, how: 'by lease expiry, without a heartbeat', withinUs: MAX_DELAY_BY_LEASE_UNHEARD_US };
  };

  /** Checks one task against the limit of its team; returns whether to go on watching it. */
  const checkVictim = (victim: Victim): 'finished' | 'watching' => {
    const { now } = world.time;
    const { key, machine, job } = victim;
    const counted = world.countedAgainstLimit(job.team);
    const holds = world.rules.isPlaced(key);
    // After its key is deleted, the next leader cannot count the task against the limit.
    if (holds && world.rules.state(job.id) === 'aborted' && !world.state.keys.has(activeJobKey(job.id)))
      world.rules.violations.push(`closed_while_on: ${key} at ${now}`);
    if (counted === null) return 'watching';
    const isCounted = counted.has(key);
    if (holds) {
      if (!isCounted) world.rules.violations.push(`limit_room_early: ${key} at ${now}`);
      const underNewLeader =
        victim.term !== null && (leaderTerm.term ?? 0) > victim.term && !world.hasReported(machine.place.id);
      if (
        !victim.recorded &&
        underNewLeader &&
        world.rules.state(job.id) === 'aborted' &&
        isAtLimit(job.team, counted)
      ) {
        victim.recorded = hasWaitingTask(job.team, counted);
        if (victim.recorded)
          kit.record(
            `cancelled at the team limit on a machine that is ${victim.how} and never reported to the new leader`,
          );
      }
      return isCounted ? 'watching' : 'finished';
    }
    victim.exitObservedAt ??= now;
    if (victim.evidence !== null && victim.evidence.term !== leaderTerm.term) victim.evidence = null;
    const hasLeaderResponse =
      machine.token === leaderTerm.term &&
      machine.confirmedAt >= Math.max(victim.exitObservedAt, leaderTerm.since);
    if (
      victim.evidence === null &&
      leaderTerm.term !== null &&
      (hasLeaderResponse || world.isDeleted(machine.place.id))
    )
      victim.evidence = { term: leaderTerm.term, at: Math.max(now, leaderTerm.since) };
    const { from, how, withinUs } = recognitionDeadline(victim);
    if (isCounted) {
      if (now <= from + withinUs) return 'watching';
      world.rules.violations.push(`limit_room_late: ${key} ${how}, ${Math.round(now - from)} us, at ${now}`);
      return 'finished';
    }
    // Before the lease expires, only a heartbeat can have shown the exit; its response is still in flight.
    const known = now < from ? 'by heartbeat or deletion' : how;
    kit.record(`freed capacity was recognized ${known}`);
    kit.recordDuration(`freed capacity was recognized ${known}`, now - from);
    if (!isAtLimit(job.team, counted) && hasWaitingTask(job.team, counted) && hasFreeMachine())
      awaitReuse(job.team, counted, now);
    return 'finished';
  };

  const watch = (victims: Set<Victim>): void => {
    const term = world.term();
    if (term !== leaderTerm.term) leaderTerm = { term, since: world.time.now };
    for (const victim of victims) if (checkVictim(victim) === 'finished') victims.delete(victim);
    if (victims.size > 0) kit.after(CHECK_INTERVAL_US, () => watch(victims));
  };

  const inject = (): void => {
    const { random } = world;
    const old = world.leader();
    if (old === undefined) return;
    fillLimits();
    const how = injections++ % 2 === 0 ? 'cut off' : 'hung';
    const zone = world.zones[random.int(world.zones.length)]!;
    const machines = [...world.workers.values()].filter(
      (worker) =>
        worker.alive &&
        !worker.hanging &&
        worker.running() &&
        (how === 'hung' ? random.chance(0.6) : worker.place.zone === zone),
    );
    if (machines.length === 0) return;
    world.recordInjection('atLimit');
    const durationUs =
      world.lease * (random.chance(0.3) ? random.between(0.3, 0.95) : random.between(1.05, 2.2));
    world.markDisruption(durationUs);
    if (how === 'cut off') {
      const state = random.chance(0.5) ? 'held' : 'reset';
      for (const controller of world.nodes) world.cut(`zone:${zone}`, controller, state, durationUs);
      unreachableUntil.set(zone, world.time.now + durationUs);
    } else
      for (const worker of machines) {
        worker.hang(durationUs, () => undefined);
        unreachableUntil.set(worker.place.id, world.time.now + durationUs);
      }
    const term = world.term();
    const victims = new Set<Victim>();
    const jobs = new Set<JobTruth>();
    for (const machine of machines)
      for (const task of machine.tasks.values()) {
        const job = world.jobs.get(task.key.slice(0, task.key.indexOf('/')))!;
        if (task.status !== 'running' || job.shape !== 'array' || world.rules.isCancelRequested(job.id))
          continue;
        if (world.rules.state(job.id) !== 'accepted' || (!jobs.has(job) && !random.chance(0.7))) continue;
        jobs.add(job);
        victims.add({
          key: task.key,
          job,
          machine,
          how,
          term,
          lastHeartbeatAt: lastHeartbeatAt.get(machine.place.id) ?? 0,
          exitObservedAt: null,
          evidence: null,
          recorded: false,
        });
      }
    for (const { id } of jobs) kit.after(random.between(0, 3e6), () => kit.cancel(id));
    if (random.chance(0.85)) kit.after(random.between(0, 4e6), () => kit.changeLeader(world.leader() ?? old));
    watch(victims);
  };
  return {
    heartbeatSent: (worker) => void lastHeartbeatAt.set(worker.place.id, world.time.now),
    begin: () => {
      fillLimits();
      world.markDisruption(25e6);
      kit.after(world.random.between(16e6, 24e6), inject);
    },
  };
};
