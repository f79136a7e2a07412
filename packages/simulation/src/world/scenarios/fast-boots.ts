import { activeJobKey, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** New machines are up within two seconds; rentals are answered late or never, some carried out late; writes lag. */
export const fastBoots = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let until = 0;
  /** When the answer to its rental is there, and whether the rental was carried out late. */
  const rented = new Map<string, { readonly answerAt: number; readonly late: boolean }>();
  const listed = new Set<string>();
  const seen = new Set<string>();

  /** The state service has a start on it. */
  const durable = (machine: string): boolean => {
    for (const [key, { value }] of world.state.keys)
      if ((key.startsWith(LOG_ENTRIES) || key.startsWith(activeJobKey(''))) && value.includes(machine))
        return true;
    return false;
  };
  /** The leader ends between the first report of a machine and the durable start there; the next one starts something. */
  const endAt = (machine: string, delay: number): void =>
    kit.after(delay, () => {
      const leader = world.leader();
      if (leader === undefined || !world.heardFrom(machine) || durable(machine)) return;
      const before = world.term();
      world.crash(leader, random.between(1e6, 6e6));
      world.disturbed(5e6);
      const look = (times: number): void => {
        const now = world.term();
        const used = (world.workers.get(machine)?.held().length ?? 0) > 0;
        if (used && now !== null && before !== null && now > before)
          return kit.record('leader ended between the report and the durable start');
        if (times > 0) kit.after(500_000, () => look(times - 1));
      };
      look(80);
    });

  return {
    begin: () => {
      world.strike('fastBoots');
      const lasts = random.between(20e6, 40e6);
      until = world.cloud.fastUntil = world.time.now + lasts;
      world.disturbed(lasts + 16e6);
      if (random.chance(0.6)) world.state.slowUntil = world.time.now + lasts * random.between(0.2, 0.7);
      for (let i = 0; i < 8; i++)
        kit.after(random.between(0, lasts * 0.8), () => {
          const runs = random.between(10e6, 40e6);
          const job = { ...PLAIN_JOB, tasks: 1 + random.int(4), cpus: 4 + random.int(4), runUs: runs };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        });
    },
    rentalWay: () => {
      if (world.time.now >= until || random.chance(0.3)) return null;
      const kind = random.next();
      // Only the answer is lost; it comes late; the request itself does.
      if (kind < 0.35) return { late: 0, answer: null };
      if (kind < 0.75) return { late: 0, answer: random.between(500_000, 3.7e6) };
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
    heartbeatSent: (by) => {
      const { id } = by.place;
      const how = rented.get(id);
      if (how === undefined || seen.has(id)) return;
      seen.add(id);
      if (world.time.now < how.answerAt) kit.record('reported before the answer to its rental');
      if (!listed.has(id)) kit.record('reported before any list');
      if (how.late) kit.record('machine of a late rental');
      if (world.time.now < until && random.chance(0.4)) endAt(id, random.between(20_000, 1.5e6));
    },
  };
};
