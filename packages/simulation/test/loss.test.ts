/**
 * The state service loses data, in every way the experiments know, while controllers, machines and links fail: rules
 * after each step, every job that a surviving controller knew at its end, every team served. The experiments' own
 * command plays hundreds of seeds; here a few of each.
 */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { activeJobKey } from '@lilacvalve/controller/jobs/keys';
import { type Experiment, readExperiment } from '../src/experiment.js';
import { type DayResult, faultsOf, playDay } from '../src/play.js';
import { table } from '../src/report.js';
import { shrink, smaller } from '../src/shrink.js';
import { World } from '../src/world/world.js';

const DIR = 'packages/simulation/experiments';
const read = (name: string): Experiment => {
  const x = readExperiment(readFileSync(`${DIR}/${name}.toml`, 'utf8'));
  assert.ok(x._tag === 'Right', String(x._tag === 'Left' && x.left));
  return x.right;
};
/** Those in which something is lost; large ones take minutes a day. */
const files = readdirSync(DIR)
  .filter((f) => f.endsWith('.toml'))
  .map((f) => f.slice(0, -5))
  .filter((f) => (read(f).troubles.losses ?? []).length > 0 && read(f).size.nodes.length === 3)
  .sort();

const played: DayResult[] = [];
/**
 * Days that once had a fault: a node told `done` from memory after the loss, and ended before anybody could ask it; a
 * withdrawal that arrived twice brought a job back that was over.
 */
const FOUND: Record<string, number[]> = { 'window-35': [106], 'window-35-flip': [1006], 'back-lost': [46] };

for (const name of files) {
  for (const seed of [3, 4, ...(FOUND[name] ?? [])]) {
    test(`rules hold: ${name} (seed ${seed})`, () => {
      const day = playDay(read(name), seed);
      played.push(day);
      assert.deepEqual(faultsOf(day), []);
      assert.ok(day.losses > 0, 'the loss struck');
      if (day.unwitnessed === 0) assert.equal(day.unfinished, 0);
    });
  }
}

test('the losses were noticed, rebuilt from, and work began again', () => {
  const rebuilt = played.filter((d) => d.recovery.started !== null);
  assert.ok(rebuilt.length >= files.length, `${rebuilt.length} of ${played.length} days`);
  assert.ok(
    played.some((d) => d.unwitnessed > 0),
    'on some day nobody lived through it',
  );
  assert.ok(table(played).some((l) => l.startsWith('all known durable')));
});

test('the same experiment and seed give the same outcome', () => {
  const once = JSON.stringify(playDay(read('empty-still'), 7));
  assert.equal(JSON.stringify(playDay(read('empty-still'), 7)), once);
  assert.notEqual(JSON.stringify(playDay(read('empty-still'), 8)), once);
});

test('an experiment that is wrong is refused with its field', () => {
  for (const [text, field] of [
    ['jobs = 3', 'name'],
    ['name = "x"\njobs = 0', 'jobs'],
    ['name = "x"\ntroubles = ["earthquake"]', 'troubles'],
    ['name = "x"\nlosses = 1', 'losses'],
    ['name = "x"\n[[loss]]\nat_s = [1, 2]\nkind = "some"', 'loss'],
    ['name = ', 'not TOML'],
  ] as const) {
    const x = readExperiment(text);
    assert.ok(x._tag === 'Left' && x.left.startsWith(field), `${field}: ${JSON.stringify(x)}`);
  }
});

test('a failing day is shrunk to what it takes', () => {
  const x = read('twice');
  const tried: string[] = [];
  const needs = (e: Experiment): boolean =>
    (e.troubles.losses ?? []).some((l) => l.loss.kind === 'window') && e.jobs >= 7;
  const least = shrink(x, needs, (w) => tried.push(w));
  assert.equal(least.troubles.losses!.length, 1);
  assert.equal(least.jobs, 7);
  assert.ok(tried.length >= 3 && smaller(least).every((s) => !needs(s.experiment)));
});

test('days are judged by their rules, their jobs and their teams', () => {
  const good = playDay(read('empty-still'), 9);
  assert.deepEqual(faultsOf(good), []);
  assert.deepEqual(faultsOf({ ...good, broken: ['ran_twice: x'] }), ['ran_twice: x']);
  assert.equal(faultsOf({ ...good, unfinished: 2 }).length, 1);
  assert.match(faultsOf({ ...good, served: { red: 0.49, blue: 0.5 } })[0]!, /team red: 0.49/);
  // Where no memory was left, what rests on memory can't be asked, and all the rest can.
  const alone = { ...good, unwitnessed: 1, broken: ['not_done: a', 'ran_twice: b'] };
  assert.deepEqual(faultsOf(alone), ['ran_twice: b']);
});

test('all controllers start anew a moment before the store comes back as it was 13 s before', () => {
  for (const seed of [1, 2, 3]) {
    const world = new World(seed, {});
    world.time.after(60e6, () => world.nodes.forEach((n) => world.crash(n, 200_000)));
    // They have read the store, and not all its final states at leisure yet.
    world.time.after(61.6e6, () => world.state.lose({ kind: 'window', since: 13e6, leases: 'renewed' }));
    world.play(30, 120e6, 300e6);
    assert.deepEqual(world.rules.broken, [], `seed ${seed}`);
    assert.deepEqual(world.unfinished(), []);
    world.stop();
  }
});

/** A task that has ended by a record alone: its job's key, which was folded before, has it on its machine still. */
test('who read the store after records were lost does not bring back what they ended', () => {
  let met = 0;
  for (const seed of [2, 4]) {
    const world = new World(seed, {});
    const submit = (tasks: number, cpus: number, runUs: number): string =>
      world.submit({
        arrival: {
          job: {
            team: 'blue',
            shape: 'array',
            tasks,
            cpus,
            gpus: 0,
            types: ['c8'],
            zone: null,
            oneZone: false,
            spread: false,
            spot: false,
            broken: false,
            runUs,
          },
          urgency: 'high',
          due: null,
        },
      })!;
    const placed = (node: string, id: string): number =>
      world
        .up()
        .find((u) => u.name === node)
        ?.node.jobState.jobs.get(id)?.placed.size ?? -1;
    world.time.run(5e6);
    const long = submit(4, 6, 300e6);
    // Until the long job's key has where its tasks run.
    for (let i = 0; i < 60; i++) world.time.after(10e6 + i * 1e6, () => submit(1, 0.5, 2e6));
    const key = (): string => world.state.keys.get(activeJobKey(long))?.value ?? '';
    while (!key().includes('"p":') && world.time.now < 90e6) world.time.run(world.time.now + 100_000);
    assert.match(key(), /"p":/);
    // Nothing else is rented: what its machines held is over by records, and waits.
    world.cloud.out = true;
    for (const id of [...world.workers.keys()]) world.cloud.lose(id);
    const leader = world.leader()!;
    const [other, late] = world.nodes.filter((n) => n !== leader) as [string, string];
    while (placed(leader, long) > 0 && world.time.now < 150e6) world.time.run(world.time.now + 100_000);
    assert.equal(placed(leader, long), 0);
    world.time.run(world.time.now + 1e6);
    if (key().includes('"p":')) {
      world.dataLoss.at.push(world.time.now);
      world.state.lose({ kind: 'keys', prefix: 's/r/', part: 1 });
      // It starts anew, and nobody tells it what there was.
      world.crash(late, 200_000);
      for (const n of [leader, other]) world.cut(late, n, 'reset', 2e6);
      for (let i = 0; i < 100 && placed(late, long) <= 0; i++) world.time.run(world.time.now + 20_000);
      if (placed(late, long) === 4 && placed(other, long) === 0) met++;
      const before = world.up().find((u) => u.name === other)!.node.lossDetector.incarnation!.id;
      while (!world.dataLoss.rebuilt(before) && world.time.now < 250e6)
        world.time.run(world.time.now + 100_000);
      world.time.run(world.time.now + 1e6);
      for (const n of world.nodes) assert.equal(placed(n, long), 0, `seed ${seed}: ${n}`);
      assert.deepEqual(world.accountsWrong(), []);
    }
    world.stop();
  }
  assert.ok(met > 0, 'nobody read the store in between');
});
