/**
 * Old reports reach every controller just as a new leader begins. Of a zone or two no newer one arrives at first, though
 * direct orders do: what the new leader hears of such a machine first may be a lease old, and an order of its own may have
 * raised the worker's token before any report has.
 */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

interface Kept {
  readonly by: Worker;
  readonly at: number;
  readonly body: Buffer;
  readonly incarnation: number;
  readonly token: number;
  readonly recalled: boolean;
  /** Tasks that had not ended, with the attempt. */
  readonly tasks: ReadonlyMap<string, number>;
}
interface Wire {
  readonly recallS: number | null;
  readonly pieces: readonly { readonly piece: string; readonly try: number; readonly status: string }[];
}

export const staleHeartbeats = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  /** The latest reports of each machine. */
  const kept = new Map<Worker, Kept[]>();
  let keeping = false;
  /** Machines whose reports don't arrive, and how high their tokens were when that began. */
  const mute = new Map<Worker, number>();

  const arrive = (k: Kept, node: string): void => {
    const { by } = k;
    const term = world.term();
    const leader = world.leader();
    if (by.alive && leader !== undefined && term !== null) {
      const first = !world.heardFrom(by.place.id);
      const now = new Map([...by.tasks.values()].flatMap((t) => (t.status === 'ended' ? [] : [[t.key, t]])));
      const lacks = [...now.values()].some((t) => t.status === 'running' && k.tasks.get(t.key) !== t.attempt);
      const gone = [...k.tasks].some(([key, attempt]) => now.get(key)?.attempt !== attempt);
      if (first) kit.record('old report first');
      if (first && lacks) kit.record('first, lacks a task that runs');
      if (first && gone) kit.record('first, shows a task that is gone');
      if (first && k.recalled) kit.record('first, with an old notice');
      if (first && k.incarnation < by.incarnation) kit.record('first, of an earlier session');
      if (!first && by.token >= term) kit.record('old report after the first answer');
      const raised = mute.get(by);
      if (raised !== undefined && raised < term && by.token === term)
        kit.record(
          k.token === term ? 'report with the token an order raised' : 'old report beside a raised token',
        );
    }
    by.deliver(node, k.body, (a) => {
      if (a?.status === 200 && leader !== undefined && node !== leader) kit.record('old report relayed');
    });
  };
  const everywhere = (k: Kept): void => {
    for (const n of world.nodes)
      kit.after(random.chance(0.6) ? random.between(0, 1.5e6) : random.between(1.5e6, 8e6), () =>
        arrive(k, n),
      );
  };

  const change = (ids: readonly string[]): void => {
    const old = world.leader();
    const before = world.term();
    if (old === undefined || before === null) return void (keeping = false);
    const lasts = world.lease * random.between(0.4, 0.95);
    for (const zone of ZONES) {
      if (!random.chance(0.7)) continue;
      for (const n of world.nodes) world.link(`zone:${zone}`, n, 'reset', lasts);
      for (const x of world.workers.values()) if (x.place.zone === zone) mute.set(x, x.token);
    }
    // The new leader finds gangs that have lost a member, whose others older reports lack.
    for (const x of world.workers.values())
      if (!x.hanging && random.chance(mute.has(x) ? 0.1 : 0.3)) x.restart(random.between(50_000, 500_000));
    // What is cancelled now is stopped by a leader that knows of its machines from old reports alone.
    for (const id of ids)
      if (random.chance(0.7))
        kit.after(random.between(0, 2.5e6), () =>
          world.cancel(
            id,
            () => world.anyNode(),
            () => undefined,
          ),
        );
    kit.after(300_000, () => kit.changeLeader(old));
    const look = (times: number): void => {
      const now = world.term();
      if (now === null || now === before) {
        if (times > 0) kit.after(20_000, () => look(times - 1));
        else keeping = false;
        return;
      }
      // The latest ones of some are not among them: what began last is not in any.
      for (const all of kept.values()) {
        const old = random.chance(0.5) ? all.slice(0, Math.ceil(all.length / 2)) : [...all];
        for (const k of old.sort(() => random.next() - 0.5).slice(0, 1 + random.int(3))) everywhere(k);
      }
    };
    look(1000);
    kit.after(lasts, () => {
      keeping = false;
      mute.clear();
      kept.clear();
    });
  };

  return {
    begin() {
      if (keeping) return;
      world.strike('staleHeartbeats');
      keeping = true;
      const ids = kit.longJobs(6);
      const begins = random.between(24e6, 30e6);
      // Machines that are free by then.
      const early = { ...PLAIN_JOB, tasks: 6, cpus: 6, runUs: 4e6 };
      world.submit({ job: early, urgency: 'high', due: null }, () => world.anyNode());
      world.disturbed(begins + 10e6);
      // Some begin in the last seconds: older reports lack them.
      for (let i = 0; i < 7; i++)
        kit.after(begins - random.between(1e6, 6e6), () => {
          const gang = random.chance(0.5) ? { shape: 'ensemble', tasks: 3, cpus: 3 } : { tasks: 2, cpus: 1 };
          const job = { ...PLAIN_JOB, ...gang, runUs: random.between(4e6, 40e6) };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
        });
      // A team is at its limit with such: what is taken for gone makes room for more.
      for (let i = 0; i < 6; i++)
        kit.after(begins - random.between(600_000, 4e6), () => {
          const job = { ...PLAIN_JOB, team: 'red', tasks: 2, cpus: 4, runUs: random.between(30e6, 60e6) };
          const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyNode());
          if (id !== undefined) ids.push(id);
        });
      // And some machines are about to be taken.
      kit.after(begins - random.between(1e6, 4e6), () => {
        for (const x of world.workers.values()) {
          if (!x.alive || x.recallAt !== null || !random.chance(0.2)) continue;
          x.recallAt = world.time.now + random.between(10e6, 30e6);
          kit.after(x.recallAt - world.time.now, () => world.loseMachine(x.place.id));
        }
      });
      kit.after(begins, () => change(ids));
    },
    heartbeatSent(by, _node, body) {
      if (!keeping) return;
      const v = JSON.parse(body.toString()) as Wire;
      const going = v.pieces.filter((p) => p.status !== 'ended');
      const k: Kept = {
        by,
        at: world.time.now,
        body,
        incarnation: by.incarnation,
        token: by.token,
        recalled: v.recallS !== null,
        tasks: new Map(going.map((p) => [p.piece, p.try])),
      };
      const list = kept.get(by) ?? [];
      list.push(k);
      if (list.length > 6) list.shift();
      kept.set(by, list);
      // An order has raised its token, and no answer can have: this report has not arrived, and comes all the same, late.
      const before = mute.get(by);
      if (before !== undefined && by.token > before && random.chance(0.7)) everywhere(k);
    },
  };
};
