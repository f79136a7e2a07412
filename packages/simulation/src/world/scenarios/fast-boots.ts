import { activeJobKey, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/**
 * New machines boot within two seconds, while rental requests are answered late or never, some of them are carried out
 * late, and the state service may be slow.
 */
export const fastBoots = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let until = 0;
  /** By machine: when the response to its rental request arrives, and whether the request was carried out late. */
  const rented = new Map<string, { readonly answerAt: number; readonly late: boolean }>();
  const listed = new Set<string>();
  const reported = new Set<string>();

  /** Whether the state service holds a task start on the machine. */
  const hasDurableStart = (machine: string): boolean => {
    for (const [key, { value }] of world.state.keys)
      if ((key.startsWith(LOG_ENTRIES) || key.startsWith(activeJobKey(''))) && value.includes(machine))
        return true;
    return false;
  };
  /** Crashes the leader between a machine's first heartbeat and the first durable start on it; the next leader uses it. */
  const crashLeaderAfterReport = (machine: string, delay: number): void =>
    kit.after(delay, () => {
      const leader = world.leader();
      if (leader === undefined || !world.hasReported(machine) || hasDurableStart(machine)) return;
      const previousTerm = world.term();
      world.crash(leader, random.between(1e6, 6e6));
      world.markDisruption(5e6);
      const check = (remainingChecks: number): void => {
        const term = world.term();
        const used = (world.workers.get(machine)?.heldTasks().length ?? 0) > 0;
        if (used && term !== null && previousTerm !== null && term > previousTerm)
          return kit.record('leader crashed between the first heartbeat and the durable start');
        if (remainingChecks > 0) kit.after(500_000, () => check(remainingChecks - 1));
      };
      check(80);
    });

  return {
    begin: () => {
      world.recordInjection('fastBoots');
      const durationUs = random.between(20e6, 40e6);
      until = world.cloud.fastUntil = world.time.now + durationUs;
      world.markDisruption(durationUs + 16e6);
      if (random.chance(0.6)) world.state.slowUntil = world.time.now + durationUs * random.between(0.2, 0.7);
      for (let i = 0; i < 8; i++)
        kit.after(random.between(0, durationUs * 0.8), () => {
          const runs = random.between(10e6, 40e6);
          const job = { ...PLAIN_JOB, tasks: 1 + random.int(4), cpus: 4 + random.int(4), runUs: runs };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        });
    },
    rentalTiming: () => {
      if (world.time.now >= until || random.chance(0.3)) return null;
      const draw = random.next();
      // Either only the response is lost, or the response is late, or the request is carried out late.
      if (draw < 0.35) return { late: 0, answer: null };
      if (draw < 0.75) return { late: 0, answer: random.between(500_000, 3.7e6) };
      return { late: random.between(4e6, 14e6), answer: null };
    },
    rented: (machine, { late, answer }) =>
      void rented.set(machine, {
        answerAt: answer === null ? Number.POSITIVE_INFINITY : world.time.now + answer,
        late: late > 0,
      }),
    listed: (machines) => {
      if (rented.size > 0) for (const id of machines) listed.add(id);
    },
    heartbeatSent: (worker) => {
      const { id } = worker.place;
      const rental = rented.get(id);
      if (rental === undefined || reported.has(id)) return;
      reported.add(id);
      if (world.time.now < rental.answerAt) kit.record('heartbeat before the response to the rental');
      if (!listed.has(id)) kit.record('heartbeat before any machine list');
      if (rental.late) kit.record('machine of a delayed rental request');
      if (world.time.now < until && random.chance(0.4))
        crashLeaderAfterReport(id, random.between(20_000, 1.5e6));
    },
  };
};
