import { activeKey, RECORD } from '@lilacvalve/controller/jobs/keys';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** New machines are up within two seconds; rentals are answered late or never, some carried out late; writes lag. */
export const fastBoots = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  let until = 0;
  /** When the answer to its rental is there, and whether the rental was carried out late. */
  const rented = new Map<string, { readonly answerAt: number; readonly late: boolean }>();
  const listed = new Set<string>();
  const seen = new Set<string>();

  /** The state service has a start on it. */
  const durable = (machine: string): boolean => {
    for (const [key, { value }] of w.state.keys)
      if ((key.startsWith(RECORD) || key.startsWith(activeKey(''))) && value.includes(machine)) return true;
    return false;
  };
  /** The leader ends between the first report of a machine and the durable start there; the next one starts something. */
  const endAt = (machine: string, delay: number): void =>
    m.after(delay, () => {
      const leader = w.leader();
      if (leader === undefined || !w.heardFrom(machine) || durable(machine)) return;
      const before = w.term();
      w.crash(leader, l.between(1e6, 6e6));
      w.disturbed(5e6);
      const look = (times: number): void => {
        const now = w.term();
        const used = (w.workers.get(machine)?.held().length ?? 0) > 0;
        if (used && now !== null && before !== null && now > before)
          return m.record('leader ended between the report and the durable start');
        if (times > 0) m.after(500_000, () => look(times - 1));
      };
      look(80);
    });

  return {
    begin: () => {
      w.strike('fastBoots');
      const lasts = l.between(20e6, 40e6);
      until = w.cloud.fastUntil = w.time.now + lasts;
      w.disturbed(lasts + 16e6);
      if (l.chance(0.6)) w.state.slowUntil = w.time.now + lasts * l.between(0.2, 0.7);
      for (let i = 0; i < 8; i++)
        m.after(l.between(0, lasts * 0.8), () => {
          const runs = l.between(10e6, 40e6);
          const job = { ...PLAIN_JOB, tasks: 1 + l.int(4), cpus: 4 + l.int(4), runUs: runs };
          w.submit({ job, urgency: 'high', due: null }, () => w.anyNode());
        });
    },
    rentalWay: () => {
      if (w.time.now >= until || l.chance(0.3)) return null;
      const kind = l.next();
      // Only the answer is lost; it comes late; the request itself does.
      if (kind < 0.35) return { late: 0, answer: null };
      if (kind < 0.75) return { late: 0, answer: l.between(500_000, 3.7e6) };
      return { late: l.between(4e6, 14e6), answer: null };
    },
    rented: (machine, { late, answer }) =>
      void rented.set(machine, {
        answerAt: answer === null ? Number.POSITIVE_INFINITY : w.time.now + answer,
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
      if (w.time.now < how.answerAt) m.record('reported before the answer to its rental');
      if (!listed.has(id)) m.record('reported before any list');
      if (how.late) m.record('machine of a late rental');
      if (w.time.now < until && l.chance(0.4)) endAt(id, l.between(20_000, 1.5e6));
    },
  };
};
