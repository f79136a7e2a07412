/**
 * How the service comes back when everything restarts at once: the seeded world's day of it, over many seeds, in virtual
 * time. Run by `npm run recovery -- [days]`; times count from when the state service answers again, the first moment at
 * which anything durable could be done.
 */
import { World } from './world/world.js';

const days = Number(process.argv[2] ?? 20);
type Mark =
  'leads' | 'ready on a majority' | 'leases renewed (9 of 10)' | 'first submission accepted' | 'first start';
const MARKS: readonly Mark[] = [
  'leads',
  'ready on a majority',
  'first submission accepted',
  'first start',
  'leases renewed (9 of 10)',
];
const took = new Map<Mark, number[]>(MARKS.map((m) => [m, []]));
let broken = 0;
let unfinished = 0;

for (let seed = 1; seed <= days; seed++) {
  const world = new World(1000 + seed, { everythingRestarts: true });
  const marks = new Map<Mark, number>();
  let out = false;
  let back: number | null = null;
  let before = { accepted: 0, started: 0, term: 0 };
  const mark = (m: Mark, is: boolean): void => {
    if (is && !marks.has(m)) marks.set(m, world.time.now - back!);
  };
  const step = world.time.onStep;
  world.time.onStep = () => {
    step();
    if (world.state.out) out = true;
    if (!out || world.state.out) return;
    const token = Math.max(0, ...[...world.workers.values()].map((w) => w.token));
    if (back === null) {
      back = world.time.now;
      before = { accepted: world.users.accepted, started: world.rules.started, term: token };
    }
    if (marks.size === MARKS.length) return;
    mark('leads', world.leader() !== undefined);
    const ready = world.nodes.filter((label) => world.controllers.ready(label)).length;
    mark('ready on a majority', ready > world.nodes.length / 2);
    mark('first submission accepted', world.users.accepted > before.accepted);
    mark('first start', world.rules.started > before.started);
    const up = [...world.workers.values()];
    const renewed = up.filter((w) => w.token > before.term).length;
    mark('leases renewed (9 of 10)', up.length > 0 && renewed >= up.length * 0.9);
  };
  world.play(30, 120e6, 300e6);
  broken += world.rules.broken.length;
  unfinished += world.unfinished().length;
  for (const [m, t] of marks) took.get(m)!.push(t / 1e6);
  world.stop();
}
for (const m of MARKS) {
  const t = took.get(m)!.sort((a, b) => a - b);
  const at = (q: number): string => t[Math.min(t.length - 1, Math.floor(q * t.length))]?.toFixed(1) ?? '-';
  process.stdout.write(
    `${m}: middle ${at(0.5)} s, 9 in 10 ${at(0.9)} s, longest ${at(1)} s (${t.length} days)\n`,
  );
}
process.stdout.write(`rules broken: ${broken}; jobs not at their end: ${unfinished}\n`);
process.exit(broken + unfinished > 0 ? 1 : 0);
