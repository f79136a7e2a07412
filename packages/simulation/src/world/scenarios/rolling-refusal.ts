import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/**
 * Maximum time after the refusal in which a start of a cancelled job may be executed, in microseconds: the maximum age of the
 * view from which a controller dispatches starts, plus a response in flight.
 */
const MAX_START_DELAY_US = 7e6;

/**
 * The state service refuses the leader, and users cancel jobs through the other controllers. Then the service fails for all
 * controllers, usually for longer than a cancellation may take.
 */
export const rollingRefusal = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  /** Records whether another controller leads while the old leader still responds to heartbeats. */
  const watchForNewLeader = (old: string, deadline: number): void => {
    const leader = world.leader();
    if (leader !== undefined && leader !== old && world.isResponding(old))
      return kit.record('new leader beside a controller with a read lease');
    if (world.time.now < deadline) kit.after(50_000, () => watchForNewLeader(old, deadline));
  };
  /** By job cancelled while only the leader was refused: until when a start from the leader's older view may be executed. */
  const startDeadlines = new Map<string, number>();
  return {
    begin: () => {
      const { random } = world;
      const ids = kit.longJobs(8);
      const startingIds: string[] = [];
      world.markDisruption(25e6);
      const refusalDelay = random.between(18e6, 25e6);
      // Jobs whose starts are durable but not dispatched yet when the leader is refused.
      for (let i = 0; i < 8; i++)
        kit.after(refusalDelay - random.between(0, 1.2e6), () => {
          const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(40e6, 60e6) };
          const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
          if (id !== undefined) startingIds.push(id);
        });
      kit.after(refusalDelay, () => {
        const old = world.leader();
        if (old === undefined || world.state.isDown) return;
        world.recordInjection('rollingRefusal');
        const process = world.process(old);
        const refusedAt = world.time.now;
        const refusedAloneUs = random.between(0.9e6, 2.4e6);
        kit.refuseFor(old, random.between(10e6, 18e6));
        const confirmedIds: string[] = [];
        for (const worker of world.workers.values())
          if (worker.alive && !worker.hanging && random.chance(0.4))
            worker.hang(random.between(4e6, 0.9 * world.lease), () => undefined);
        for (const id of startingIds)
          kit.after(random.between(0, 1.7e6), () =>
            world.cancel(id, kit.anyOther(old), () => {
              if (world.process(old) === process && world.time.now < refusedAt + refusedAloneUs)
                startDeadlines.set(id, refusedAt + MAX_START_DELAY_US);
            }),
          );
        for (const id of ids.filter((id) => world.rules.hasPlacedTask(id) && random.chance(0.8)))
          kit.after(random.between(0, 1.7e6), () =>
            world.cancel(id, kit.anyOther(old), (confirmedBy) => {
              if (confirmedBy === old || world.time.now >= refusedAt + refusedAloneUs) return;
              confirmedIds.push(id);
              if (world.rules.hasPlacedTask(id) && world.process(old) === process && world.isResponding(old))
                kit.record('running job cancelled while only the leader was refused');
            }),
          );
        kit.after(refusedAloneUs, () => {
          if (world.state.isDown) return;
          world.state.outage(true);
          // Some outages are short: the old leader, which has a read lease, is then cut off as the others are served again.
          const isShort = random.chance(0.3);
          const outageUs = isShort
            ? random.between(7e6, 18e6)
            : world.cancelTimeout + random.between(2e6, 25e6);
          world.markDisruption(outageUs);
          kit.after(outageUs, () => world.state.outage(false));
          if (isShort)
            kit.after(outageUs - random.between(0, 500_000), () => {
              const partitionUs = random.between(5e6, 25e6);
              for (const peer of ['state', ...world.nodes.filter((controller) => controller !== old)])
                world.cut(old, peer, 'held', partitionUs);
              watchForNewLeader(old, world.time.now + partitionUs);
            });
          // By then the leader lease has expired, and the old leader responds under its read lease.
          kit.after(5e6, () => {
            const hasReadLease = world.process(old) === process && world.isResponding(old);
            for (const id of confirmedIds)
              if (hasReadLease && world.rules.hasPlacedTask(id))
                kit.record('running job cancelled beside a read lease');
            for (const id of startDeadlines.keys())
              if (
                hasReadLease &&
                startingIds.includes(id) &&
                world.hasPlaced(old, id) &&
                !world.rules.hasPlacedTask(id)
              )
                kit.record('job cancelled beside a read lease whose holder has not sent its start');
          });
        });
      });
    },
    ordered: (task) => {
      const deadline = startDeadlines.get(task.slice(0, task.indexOf('/')));
      if (deadline === undefined) return;
      kit.record('start order executed after the cancellation was confirmed');
      if (world.time.now > deadline)
        world.rules.violations.push(`started_cancelled: ${task} at ${world.time.now}`);
    },
  };
};
