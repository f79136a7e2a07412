import { decodeJob, decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { activeJobKey, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** Tasks of one job complete far apart, and the leader changes between the completions. */
export const staggeredCompletions = (kit: ScenarioKit): Scenario => {
  /** By job: the term during which its first task completed. */
  const termOfFirstCompletion = new Map<string, number | null>();
  const staggeredJobs = new Set<string>();
  /** By gang and machine: the term in which the machine first reported the completion. */
  const reportTerms = new Map<string, Map<string, number>>();
  /** Whether the state service holds the completion of the task or the final state or cancellation of its job. */
  const isCompletionDurable = (id: string, task: number): boolean => {
    const { keys } = kit.world.state;
    const stored = keys.get(activeJobKey(id));
    if (stored === undefined) return true;
    const job = decodeJob(id, JSON.parse(stored.value), stored.revision);
    if (job.cancelled || job.completed.has(task)) return true;
    for (const [key, { value, revision }] of keys)
      if (key.startsWith(LOG_ENTRIES) && value.includes(id)) {
        const logEntry = decodeLogEntry(Number(key.slice(LOG_ENTRIES.length)), JSON.parse(value), revision);
        if (logEntry.jobs.get(id)?.completed?.includes(task)) return true;
      }
    return false;
  };
  return {
    begin: () => {
      const { world } = kit;
      const { random } = world;
      world.recordInjection('staggeredCompletions');
      for (let i = 0; i < 4; i++) {
        const runTimes = [
          random.between(2e6, 6e6),
          random.between(20e6, 50e6),
          random.between(30e6, 70e6),
        ].slice(0, 2 + random.int(2));
        const gang = i === 3 || random.chance(0.25);
        const job = {
          ...PLAIN_JOB,
          ...(gang
            ? { shape: 'ensemble', tasks: runTimes.length }
            : { tasks: runTimes.length, runs: runTimes }),
          cpus: gang ? 4 : 1,
          runUs: gang ? random.between(5e6, 20e6) : runTimes[0]!,
        };
        const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        if (id !== undefined) staggeredJobs.add(id);
      }
    },
    completed: (task) => {
      const id = task.slice(0, task.indexOf('/'));
      if (!staggeredJobs.has(id)) return;
      const { world } = kit;
      const term = world.term();
      const firstTerm = termOfFirstCompletion.get(id);
      if (firstTerm === undefined) {
        termOfFirstCompletion.set(id, term);
        const leader = world.leader();
        if (leader !== undefined && world.random.chance(0.6))
          kit.after(world.random.between(0, 2.5e6), () => kit.changeLeader(leader));
        world.markDisruption(8e6);
        // A gang completes as a whole: some of its machines hang and report the completion to a later leader.
        if (world.jobs.get(id)?.shape === 'ensemble')
          for (const worker of world.workers.values())
            if (
              !worker.hanging &&
              world.random.chance(0.5) &&
              [...worker.tasks.keys()].some((taskKey) => taskKey.startsWith(`${id}/`))
            ) {
              worker.hanging = true;
              kit.after(world.random.between(1e6, 8e6), () => (worker.hanging = false));
            }
      } else if (firstTerm !== null && term !== null && term > firstTerm)
        kit.record('tasks of a job completed under two leaders');
    },
    heartbeatSent: (worker) => {
      const term = kit.world.term();
      if (term === null || staggeredJobs.size === 0) return;
      for (const task of worker.tasks.values()) {
        const id = task.key.slice(0, task.key.indexOf('/'));
        if (task.cause !== 'done' || !staggeredJobs.has(id) || kit.world.jobs.get(id)?.shape !== 'ensemble')
          continue;
        const termsByMachine = reportTerms.get(id) ?? new Map<string, number>();
        reportTerms.set(id, termsByMachine);
        if (termsByMachine.has(worker.place.id)) continue;
        termsByMachine.set(worker.place.id, term);
        if (Math.min(...termsByMachine.values()) < term)
          kit.record('gang completion reported to two leaders');
      }
    },
    reaped: (task, done) => {
      const slash = task.indexOf('/');
      const id = task.slice(0, slash);
      if (!staggeredJobs.has(id)) return;
      const { rules } = kit.world;
      if (termOfFirstCompletion.has(id) && rules.state(id) === 'accepted')
        kit.record('task reaped between two completions of its job');
      if (done && !isCompletionDurable(id, Number(task.slice(slash + 1))))
        rules.violations.push(`reaped_early: ${task} at ${kit.world.time.now}`);
    },
  };
};
