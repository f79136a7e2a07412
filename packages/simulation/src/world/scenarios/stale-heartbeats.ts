/**
 * Old heartbeats reach every controller just as a new leader's term begins. No newer heartbeat from one or more zones arrives
 * at first, although direct orders reach their workers. The first heartbeat that the new leader receives of such a machine may
 * therefore be as old as a lease, and a direct order may have raised the worker's token before any heartbeat arrives.
 */
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Worker } from '../worker/worker.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** A heartbeat that was sent, and the state of its worker at that time. */
interface SentHeartbeat {
  readonly worker: Worker;
  readonly at: number;
  readonly body: Buffer;
  readonly incarnation: number;
  readonly token: number;
  readonly recalled: boolean;
  /** Tasks that had not exited, with their attempts. */
  readonly tasks: ReadonlyMap<string, number>;
}
/** The fields of a heartbeat's body that are read here. */
interface HeartbeatBody {
  readonly recallS: number | null;
  readonly pieces: readonly { readonly piece: string; readonly try: number; readonly status: string }[];
}

export const staleHeartbeats = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  /** The latest heartbeats of each worker, oldest first. */
  const sentHeartbeats = new Map<Worker, SentHeartbeat[]>();
  let active = false;
  /** By worker whose heartbeats do not arrive: its fencing token when that began. */
  const tokenBeforeMute = new Map<Worker, number>();

  const deliver = (heartbeat: SentHeartbeat, controller: string): void => {
    const { worker } = heartbeat;
    const term = world.term();
    const leader = world.leader();
    if (worker.alive && leader !== undefined && term !== null) {
      const isFirst = !world.hasReported(worker.place.id);
      const current = new Map(
        [...worker.tasks.values()].flatMap((task) => (task.status === 'ended' ? [] : [[task.key, task]])),
      );
      const lacksRunning = [...current.values()].some(
        (task) => task.status === 'running' && heartbeat.tasks.get(task.key) !== task.attempt,
      );
      const listsExited = [...heartbeat.tasks].some(
        ([key, attempt]) => current.get(key)?.attempt !== attempt,
      );
      if (isFirst) kit.record('old heartbeat first');
      if (isFirst && lacksRunning) kit.record('old heartbeat first, lacks a running task');
      if (isFirst && listsExited) kit.record('old heartbeat first, lists a task that has exited');
      if (isFirst && heartbeat.recalled) kit.record('old heartbeat first, with an old recall notice');
      if (isFirst && heartbeat.incarnation < worker.incarnation)
        kit.record('old heartbeat first, of an earlier incarnation');
      if (!isFirst && worker.token >= term) kit.record('old heartbeat after the first response');
      const previousToken = tokenBeforeMute.get(worker);
      if (previousToken !== undefined && previousToken < term && worker.token === term)
        kit.record(
          heartbeat.token === term
            ? 'heartbeat with the token that an order raised'
            : 'old heartbeat after an order raised the token',
        );
    }
    worker.deliver(controller, heartbeat.body, (response) => {
      if (response?.status === 200 && leader !== undefined && controller !== leader)
        kit.record('old heartbeat relayed');
    });
  };
  const deliverToAll = (heartbeat: SentHeartbeat): void => {
    for (const controller of world.nodes)
      kit.after(random.chance(0.6) ? random.between(0, 1.5e6) : random.between(1.5e6, 8e6), () =>
        deliver(heartbeat, controller),
      );
  };

  const changeLeaderWithOldHeartbeats = (ids: readonly string[]): void => {
    const old = world.leader();
    const termBefore = world.term();
    if (old === undefined || termBefore === null) return void (active = false);
    const durationUs = world.lease * random.between(0.4, 0.95);
    for (const zone of ZONES) {
      if (!random.chance(0.7)) continue;
      for (const controller of world.nodes) world.link(`zone:${zone}`, controller, 'reset', durationUs);
      for (const worker of world.workers.values())
        if (worker.place.zone === zone) tokenBeforeMute.set(worker, worker.token);
    }
    // The new leader finds gangs that have lost a member while old heartbeats lack the other members.
    for (const worker of world.workers.values())
      if (!worker.hanging && random.chance(tokenBeforeMute.has(worker) ? 0.1 : 0.3))
        worker.restart(random.between(50_000, 500_000));
    // These jobs are stopped by a leader that knows their machines from old heartbeats alone.
    for (const id of ids)
      if (random.chance(0.7))
        kit.after(random.between(0, 2.5e6), () =>
          world.cancel(
            id,
            () => world.anyController(),
            () => undefined,
          ),
        );
    kit.after(300_000, () => kit.changeLeader(old));
    const check = (remainingChecks: number): void => {
      const term = world.term();
      if (term === null || term === termBefore) {
        if (remainingChecks > 0) kit.after(20_000, () => check(remainingChecks - 1));
        else active = false;
        return;
      }
      // For some workers the latest heartbeats are left out, so that none lists the most recently started tasks.
      for (const heartbeats of sentHeartbeats.values()) {
        const selected = random.chance(0.5)
          ? heartbeats.slice(0, Math.ceil(heartbeats.length / 2))
          : [...heartbeats];
        for (const heartbeat of selected.sort(() => random.next() - 0.5).slice(0, 1 + random.int(3)))
          deliverToAll(heartbeat);
      }
    };
    check(1000);
    kit.after(durationUs, () => {
      active = false;
      tokenBeforeMute.clear();
      sentHeartbeats.clear();
    });
  };

  return {
    begin() {
      if (active) return;
      world.recordInjection('staleHeartbeats');
      active = true;
      const ids = kit.longJobs(6);
      const beginsAfterUs = random.between(24e6, 30e6);
      // These tasks have completed by then and leave machines free.
      const shortJob = { ...PLAIN_JOB, tasks: 6, cpus: 6, runUs: 4e6 };
      world.submit({ job: shortJob, urgency: 'high', due: null }, () => world.anyController());
      world.markDisruption(beginsAfterUs + 10e6);
      // Some jobs start in the last seconds, so that older heartbeats lack their tasks.
      for (let i = 0; i < 7; i++)
        kit.after(beginsAfterUs - random.between(1e6, 6e6), () => {
          const gang = random.chance(0.5) ? { shape: 'ensemble', tasks: 3, cpus: 3 } : { tasks: 2, cpus: 1 };
          const job = { ...PLAIN_JOB, ...gang, runUs: random.between(4e6, 40e6) };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        });
      // Team `red` is at its limit with these jobs: a task wrongly taken to have exited would free capacity within the limit.
      for (let i = 0; i < 6; i++)
        kit.after(beginsAfterUs - random.between(600_000, 4e6), () => {
          const job = { ...PLAIN_JOB, team: 'red', tasks: 2, cpus: 4, runUs: random.between(30e6, 60e6) };
          const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
          if (id !== undefined) ids.push(id);
        });
      // Some machines receive a recall notice and are lost later.
      kit.after(beginsAfterUs - random.between(1e6, 4e6), () => {
        for (const worker of world.workers.values()) {
          if (!worker.alive || worker.recallAt !== null || !random.chance(0.2)) continue;
          worker.recallAt = world.time.now + random.between(10e6, 30e6);
          kit.after(worker.recallAt - world.time.now, () => world.loseMachine(worker.place.id));
        }
      });
      kit.after(beginsAfterUs, () => changeLeaderWithOldHeartbeats(ids));
    },
    heartbeatSent(worker, _node, body) {
      if (!active) return;
      const fields = JSON.parse(body.toString()) as HeartbeatBody;
      const unfinishedPieces = fields.pieces.filter((piece) => piece.status !== 'ended');
      const heartbeat: SentHeartbeat = {
        worker,
        at: world.time.now,
        body,
        incarnation: worker.incarnation,
        token: worker.token,
        recalled: fields.recallS !== null,
        tasks: new Map(unfinishedPieces.map((piece) => [piece.piece, piece.try])),
      };
      const recent = sentHeartbeats.get(worker) ?? [];
      recent.push(heartbeat);
      if (recent.length > 6) recent.shift();
      sentHeartbeats.set(worker, recent);
      // Only an order can have raised the token, since this heartbeat was lost; it arrives late nevertheless.
      const previousToken = tokenBeforeMute.get(worker);
      if (previousToken !== undefined && worker.token > previousToken && random.chance(0.7))
        deliverToAll(heartbeat);
    },
  };
};
