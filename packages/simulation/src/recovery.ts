/**
 * Measures how fast the service recovers when all controllers and the state service restart at once, over many seeded days in
 * virtual time. Run by `npm run recovery -- [days]`. Durations count from the end of the state service's outage, the first time
 * at which anything can become durable.
 */
import { World } from './world/world.js';

const days = Number(process.argv[2] ?? 20);
type Milestone =
  'leads' | 'ready on a majority' | 'leases renewed (9 of 10)' | 'first submission accepted' | 'first start';
const MILESTONES: readonly Milestone[] = [
  'leads',
  'ready on a majority',
  'first submission accepted',
  'first start',
  'leases renewed (9 of 10)',
];
const durations = new Map<Milestone, number[]>(MILESTONES.map((milestone) => [milestone, []]));
let violations = 0;
let unfinished = 0;

for (let seed = 1; seed <= days; seed++) {
  const world = new World(1000 + seed, { everythingRestarts: true });
  const reachedAfter = new Map<Milestone, number>();
  let outageBegan = false;
  let serviceBackAt: number | null = null;
  let atReturn = { accepted: 0, started: 0, term: 0 };
  const reach = (milestone: Milestone, reached: boolean): void => {
    if (reached && !reachedAfter.has(milestone)) reachedAfter.set(milestone, world.time.now - serviceBackAt!);
  };
  const checkStep = world.time.onStep;
  world.time.onStep = () => {
    checkStep();
    if (world.state.isDown) outageBegan = true;
    if (!outageBegan || world.state.isDown) return;
    const highestToken = Math.max(0, ...[...world.workers.values()].map((worker) => worker.token));
    if (serviceBackAt === null) {
      serviceBackAt = world.time.now;
      atReturn = { accepted: world.users.accepted, started: world.rules.started, term: highestToken };
    }
    if (reachedAfter.size === MILESTONES.length) return;
    reach('leads', world.leader() !== undefined);
    const ready = world.nodes.filter((label) => world.controllers.ready(label)).length;
    reach('ready on a majority', ready > world.nodes.length / 2);
    reach('first submission accepted', world.users.accepted > atReturn.accepted);
    reach('first start', world.rules.started > atReturn.started);
    const liveWorkers = [...world.workers.values()];
    const renewed = liveWorkers.filter((worker) => worker.token > atReturn.term).length;
    reach('leases renewed (9 of 10)', liveWorkers.length > 0 && renewed >= liveWorkers.length * 0.9);
  };
  world.play(30, 120e6, 300e6);
  violations += world.rules.violations.length;
  unfinished += world.unfinished().length;
  for (const [milestone, seconds] of reachedAfter) durations.get(milestone)!.push(seconds / 1e6);
  world.stop();
}
for (const milestone of MILESTONES) {
  const seconds = durations.get(milestone)!.sort((a, b) => a - b);
  const quantile = (fraction: number): string =>
    seconds[Math.min(seconds.length - 1, Math.floor(fraction * seconds.length))]?.toFixed(1) ?? '-';
  process.stdout.write(
    `${milestone}: median ${quantile(0.5)} s, 90th percentile ${quantile(0.9)} s, maximum ${quantile(1)} s (${seconds.length} days)\n`,
  );
}
process.stdout.write(`violations: ${violations}; unfinished jobs: ${unfinished}\n`);
process.exit(violations + unfinished > 0 ? 1 : 0);
