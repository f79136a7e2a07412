/**
 * Users submit jobs again that are not over yet, also with another content, cancel jobs that are done or that nobody
 * knows, and submit jobs that fit no machine or lack a field.
 */
import { activeJobKey, finalStateKey } from '@lilacvalve/controller/jobs/keys';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

type Fields = Readonly<Record<string, unknown>>;
/** Changes that no deployment can run, or that the page calls malformed, and the field to be named then. */
export const ODD: readonly (readonly [status: 400 | 422, change: Fields, field?: string])[] = [
  [422, { vcpus: 99, owner: 'blue' }],
  [422, { accelerators: 5, hostsKinds: null }],
  [422, { hostsKinds: ['c8'], accelerators: 1 }],
  [422, { hostsKinds: [] }],
  [422, { room: 'nowhere' }],
  [422, { owner: 'nobody' }],
  [422, { shape: 'ensemble', pieces: 2, scatter: true, samePlace: true }],
  [400, { pieces: undefined }, 'pieces'],
  [400, { owner: null }, 'owner'],
  [400, { pieces: 1.5 }, 'pieces'],
  [400, { pieces: 100_001 }, 'pieces'],
  [400, { vcpus: -1 }, 'vcpus'],
  [400, { shape: 'swarm' }, 'shape'],
  [400, { samePlace: 'yes' }, 'samePlace'],
  [400, { bundle: undefined }, 'bundle'],
];

/** What is wrong with the answer to an odd submission of a job that nobody knows; null: nothing. */
export const wrongly = (
  status: number,
  error: unknown,
  expected: 400 | 422,
  field?: string,
): string | null => {
  // It may not be able to say so yet.
  if (status === 503 || status === 429) return null;
  if (status !== expected) return `odd_accepted: ${status} instead of ${expected}`;
  return field !== undefined && !new RegExp(`^${field}[.:]`).test(String(error))
    ? `odd_unnamed: ${String(error)} does not name ${field}`
    : null;
};

export const invalidRequests = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  const { rules } = world;
  const broke = (what: string): void => void rules.broken.push(`${what} at ${world.time.now}`);
  const pick = (ids: readonly string[]): string | undefined => ids[random.int(Math.max(1, ids.length))];
  const strange = (): string => `job-8${String(random.int(1e8)).padStart(10, '0')}`;
  const bodies = (): [string, string][] => [...world.submissions].filter(([id]) => rules.isTold(id));

  /** A known job gets its state, whatever the body says by now. */
  const again = (): void => {
    const id = pick(bodies().flatMap(([job]) => (rules.state(job) === 'accepted' ? [job] : [])));
    if (id === undefined) return;
    const [, change] = ODD[random.int(ODD.length)]!;
    const odd = random.chance(0.6);
    const body = { ...(JSON.parse(world.submissions.get(id)!) as Fields), ...(odd ? change : {}) };
    world.call(world.anyNode(), 'POST', '/work', JSON.stringify(body), (a, got) => {
      if (a === null) return;
      rules.submitted(id, a.status, world.time.now, got);
      if (a.status === 200) kit.record(odd ? 'known job with an odd body' : 'unfinished job submitted again');
    });
  };
  const cancelDone = (): void => {
    const id = pick(bodies().flatMap(([job]) => (rules.state(job) === 'done' ? [job] : [])));
    if (id === undefined) return;
    world.call(world.anyNode(), 'POST', `/work/${id}/withdraw`, null, (a, got) => {
      if (a === null) return;
      const { status } = JSON.parse(a.body.toString()) as { status?: string };
      rules.answered(id, a.status, status, world.time.now, undefined, got);
      if (a.status === 200) kit.record('done job cancelled');
    });
  };
  const cancelStrange = (): void => {
    const id = strange();
    world.call(world.anyNode(), 'POST', `/work/${id}/withdraw`, null, (a, got) => {
      if (a === null) return;
      rules.answered(id, a.status, undefined, world.time.now, undefined, got);
      if (a.status === 404) kit.record('unknown job cancelled');
    });
  };
  const submitOdd = (): void => {
    const like = pick(bodies().map(([, body]) => body));
    if (like === undefined) return;
    const id = strange();
    const [expected, change, field] = ODD[random.int(ODD.length)]!;
    const body = JSON.stringify({ ...(JSON.parse(like) as Fields), ...change, id });
    world.call(world.anyNode(), 'POST', '/work', body, (a) => {
      if (a === null) return;
      const wrong = wrongly(a.status, (JSON.parse(a.body.toString()) as Fields).error, expected, field);
      if (wrong !== null) broke(`${wrong}: ${body}`);
      else if (a.status === expected) kit.record(`refused with ${expected}`);
    });
    // Whatever came of the answer, nothing of it is kept.
    kit.after(20e6, () => {
      for (const key of [activeJobKey(id), finalStateKey(id)])
        if (world.state.keys.has(key)) broke(`odd_kept: ${key}`);
    });
  };
  return {
    begin: () => {
      world.strike('invalidRequests');
      const lasts = random.between(10e6, 30e6);
      for (let at = 0; at < lasts; at += random.between(0.1e6, 0.8e6)) {
        const what = [again, cancelDone, cancelStrange, submitOdd][random.int(4)]!;
        kit.after(at, what);
      }
    },
  };
};
