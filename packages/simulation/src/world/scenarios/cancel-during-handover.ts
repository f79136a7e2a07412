import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

const HANDOVER_KINDS = [
  'by stepping down',
  'by crash',
  'by lease expiry',
  'with responses in flight',
] as const;
type HandoverKind = (typeof HANDOVER_KINDS)[number];

/** A confirmed cancellation: the label of the controller that confirmed it, and the time in microseconds. */
interface Confirmation {
  readonly by: string;
  readonly at: number;
}
/** How long after a handover a confirmation is attributed to it, in microseconds. */
const ATTRIBUTION_US = 2e6;

/** Users cancel running and starting jobs during the seconds in which the leadership is handed over. */
export const cancelDuringHandover = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const cancelled = new Set<string>();
  let injections = 0;

  const handOver = (kind: HandoverKind, old: string): void => {
    const { random } = world;
    if (kind === 'by stepping down') world.stepDown(old, random.between(0, 3e6));
    else if (kind === 'by crash') world.crash(old, random.between(500_000, 8e6));
    else if (kind === 'by lease expiry') {
      // The state service refuses the leader, or the leader freezes and resumes without noticing.
      const durationUs = random.between(4e6, 10e6);
      if (random.chance(0.5)) kit.refuseFor(old, durationUs);
      else world.freeze(old, durationUs);
    } else {
      // Heartbeats, relayed heartbeats and their responses are delayed until another controller leads.
      const durationUs = random.between(1.5e6, 3.6e6);
      for (const zone of world.zones)
        if (random.chance(0.7)) world.cut(old, `zone:${zone}`, 'held', durationUs);
      for (const controller of world.nodes)
        if (controller !== old && random.chance(0.7)) world.cut(old, controller, 'held', durationUs);
      kit.after(random.between(0, 700_000), () =>
        random.chance(0.5)
          ? world.stepDown(old, random.between(0, 3e6))
          : world.crash(old, random.between(3e6, 8e6)),
      );
    }
  };

  /** After another term has begun, counts which controllers confirmed cancellations of jobs whose tasks were running. */
  const recordConfirmations = (
    kind: HandoverKind,
    old: string,
    before: number | null,
    confirmed: readonly Confirmation[],
  ): void => {
    let newTermAt: number | null = null;
    let newLeader = '';
    const recorded = new Set<Confirmation>();
    const check = (remainingChecks: number): void => {
      const { now } = world.time;
      if (newTermAt === null && (world.term() ?? 0) > (before ?? 0)) {
        newTermAt = now;
        newLeader = world.leader()!;
      }
      if (newTermAt !== null)
        for (const confirmation of confirmed) {
          if (confirmation.at > newTermAt + ATTRIBUTION_US || recorded.has(confirmation)) continue;
          recorded.add(confirmation);
          const by =
            confirmation.by === newLeader
              ? 'new leader'
              : confirmation.by === old
                ? 'old leader'
                : 'third controller';
          kit.record(`running job cancelled, leadership handed over ${kind}`);
          kit.record(`running job cancelled, confirmed by the ${by}`);
        }
      if (remainingChecks > 0 && (newTermAt === null || now < newTermAt + 2 * ATTRIBUTION_US))
        kit.after(200_000, () => check(remainingChecks - 1));
    };
    check(100);
  };

  return {
    begin: () => {
      const { random } = world;
      const ids = kit.longJobs(6);
      world.markDisruption(25e6);
      kit.after(random.between(18e6, 25e6), () => {
        const old = world.leader();
        if (old === undefined) return;
        world.recordInjection('cancelDuringHandover');
        const before = world.term();
        const kind = HANDOVER_KINDS[injections++ % HANDOVER_KINDS.length]!;
        const confirmed: Confirmation[] = [];
        const cancel = (id: string): void => {
          // The request goes to the old leader, to any other controller, or to the leader at that time.
          const draw = random.next();
          const other = kit.anyOther(old);
          const via = draw < 0.3 ? () => old : draw < 0.6 ? other : () => world.leader() ?? other();
          world.cancel(id, via, (by) => {
            cancelled.add(id);
            if (world.rules.hasPlacedTask(id)) confirmed.push({ by, at: world.time.now });
          });
        };
        for (const id of ids) if (random.chance(0.8)) kit.after(random.between(0, 5e6), () => cancel(id));
        // Further jobs are cancelled while their starts are durable, dispatched or in flight.
        for (let i = 0; i < 4; i++)
          kit.after(random.between(0, 2e6), () => {
            const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(40e6, 60e6) };
            const id = world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
            if (id !== undefined) kit.after(random.between(500_000, 4e6), () => cancel(id));
          });
        world.markDisruption(6e6);
        kit.after(random.between(500_000, 1.5e6), () => handOver(kind, old));
        recordConfirmations(kind, old, before, confirmed);
      });
    },
    started: (task) => {
      if (cancelled.has(task.slice(0, task.indexOf('/'))))
        kit.record('task started after its cancellation was confirmed');
    },
  };
};
