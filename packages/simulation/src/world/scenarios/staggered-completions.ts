import { decodeJob, decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { activeJobKey, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** Jobs of two or three tasks end far apart; the leader changes between the ends. */
export const staggeredCompletions = (kit: ScenarioKit): Scenario => {
  /** Of jobs whose ends lie far apart: the term under which the first ended. */
  const firstEnd = new Map<string, number | null>();
  const far = new Set<string>();
  /** Of gangs among them: under which term each machine first told of its end. */
  const told = new Map<string, Map<string, number>>();
  /** The state service has it that the task completed, or that its job is over. */
  const durable = (id: string, task: number): boolean => {
    const { keys } = kit.world.state;
    const kept = keys.get(activeJobKey(id));
    if (kept === undefined) return true;
    const job = decodeJob(id, JSON.parse(kept.value), kept.revision);
    if (job.cancelled || job.completed.has(task)) return true;
    for (const [key, { value, revision: stamp }] of keys)
      if (key.startsWith(LOG_ENTRIES) && value.includes(id)) {
        const record = decodeLogEntry(Number(key.slice(LOG_ENTRIES.length)), JSON.parse(value), stamp);
        if (record.jobs.get(id)?.completed?.includes(task)) return true;
      }
    return false;
  };
  return {
    begin: () => {
      const { world } = kit;
      const { random } = world;
      world.strike('staggeredCompletions');
      for (let i = 0; i < 4; i++) {
        const runs = [random.between(2e6, 6e6), random.between(20e6, 50e6), random.between(30e6, 70e6)].slice(
          0,
          2 + random.int(2),
        );
        const gang = i === 3 || random.chance(0.25);
        const job = {
          ...PLAIN_JOB,
          ...(gang ? { shape: 'ensemble', tasks: runs.length } : { tasks: runs.length, runs }),
          cpus: gang ? 4 : 1,
          runUs: gang ? random.between(5e6, 20e6) : runs[0]!,
        };
        const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        if (id !== undefined) far.add(id);
      }
    },
    completed: (task) => {
      const id = task.slice(0, task.indexOf('/'));
      if (!far.has(id)) return;
      const { world } = kit;
      const term = world.term();
      const first = firstEnd.get(id);
      if (first === undefined) {
        firstEnd.set(id, term);
        const leader = world.leader();
        if (leader !== undefined && world.random.chance(0.6))
          kit.after(world.random.between(0, 2.5e6), () => kit.changeLeader(leader));
        world.disturbed(8e6);
        // A gang ends as a whole: some of its machines stand still, and tell of it to whoever leads then.
        if (world.jobs.get(id)?.shape === 'ensemble')
          for (const x of world.workers.values())
            if (
              !x.hanging &&
              world.random.chance(0.5) &&
              [...x.tasks.keys()].some((k) => k.startsWith(`${id}/`))
            ) {
              x.hanging = true;
              kit.after(world.random.between(1e6, 8e6), () => (x.hanging = false));
            }
      } else if (first !== null && term !== null && term > first) kit.record('ends under two leaders');
    },
    heartbeatSent: (by) => {
      const term = kit.world.term();
      if (term === null || far.size === 0) return;
      for (const t of by.tasks.values()) {
        const id = t.key.slice(0, t.key.indexOf('/'));
        if (t.cause !== 'done' || !far.has(id) || kit.world.jobs.get(id)?.shape !== 'ensemble') continue;
        const of = told.get(id) ?? new Map<string, number>();
        told.set(id, of);
        if (of.has(by.place.id)) continue;
        of.set(by.place.id, term);
        if (Math.min(...of.values()) < term) kit.record('a gang told done to two leaders');
      }
    },
    reaped: (task, done) => {
      const at = task.indexOf('/');
      const id = task.slice(0, at);
      if (!far.has(id)) return;
      const { rules } = kit.world;
      if (firstEnd.has(id) && rules.state(id) === 'accepted') kit.record('reap between ends');
      if (done && !durable(id, Number(task.slice(at + 1))))
        rules.broken.push(`reaped_early: ${task} at ${kit.world.time.now}`);
    },
  };
};
