/**
 * Users submit unfinished jobs again, some with another body, cancel finished and unknown jobs, and submit jobs that fit no
 * machine or lack a field.
 */
import { activeJobKey, finalStateKey } from '@lilacvalve/controller/jobs/keys';
import type { ScenarioKit, Scenario } from './scenario-kit.js';

type Fields = Readonly<Record<string, unknown>>;
/**
 * Changes to a submission that make it impossible to run (422) or malformed according to the protocol (400), with the
 * field that the error text must name.
 */
export const INVALID_CHANGES: readonly (readonly [status: 400 | 422, change: Fields, field?: string])[] = [
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

/** The broken rule shown by the response to an invalid submission of an unknown job; null: none. */
export const responseViolation = (
  status: number,
  error: unknown,
  expected: 400 | 422,
  field?: string,
): string | null => {
  // A controller that cannot decide yet may answer so.
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
  const reportViolation = (violation: string): void =>
    void rules.violations.push(`${violation} at ${world.time.now}`);
  const pick = (ids: readonly string[]): string | undefined => ids[random.int(Math.max(1, ids.length))];
  const unknownJobId = (): string => `job-8${String(random.int(1e8)).padStart(10, '0')}`;
  const confirmedSubmissions = (): [string, string][] =>
    [...world.submissions].filter(([id]) => rules.isAcceptanceConfirmed(id));

  /** Submits a known job again: the response must be its state, whatever the body holds. */
  const resubmit = (): void => {
    const id = pick(
      confirmedSubmissions().flatMap(([job]) => (rules.state(job) === 'accepted' ? [job] : [])),
    );
    if (id === undefined) return;
    const [, change] = INVALID_CHANGES[random.int(INVALID_CHANGES.length)]!;
    const invalid = random.chance(0.6);
    const body = { ...(JSON.parse(world.submissions.get(id)!) as Fields), ...(invalid ? change : {}) };
    world.call(world.anyController(), 'POST', '/work', JSON.stringify(body), (response, observation) => {
      if (response === null) return;
      rules.checkSubmission(id, response.status, world.time.now, observation);
      if (response.status === 200)
        kit.record(
          invalid ? 'known job submitted again with an invalid body' : 'unfinished job submitted again',
        );
    });
  };
  const cancelFinished = (): void => {
    const id = pick(confirmedSubmissions().flatMap(([job]) => (rules.state(job) === 'done' ? [job] : [])));
    if (id === undefined) return;
    world.call(world.anyController(), 'POST', `/work/${id}/withdraw`, null, (response, observation) => {
      if (response === null) return;
      const { status } = JSON.parse(response.body.toString()) as { status?: string };
      rules.checkStatus(id, response.status, status, world.time.now, undefined, observation);
      if (response.status === 200) kit.record('finished job cancelled');
    });
  };
  const cancelUnknown = (): void => {
    const id = unknownJobId();
    world.call(world.anyController(), 'POST', `/work/${id}/withdraw`, null, (response, observation) => {
      if (response === null) return;
      rules.checkStatus(id, response.status, undefined, world.time.now, undefined, observation);
      if (response.status === 404) kit.record('unknown job cancelled');
    });
  };
  const submitInvalid = (): void => {
    const template = pick(confirmedSubmissions().map(([, body]) => body));
    if (template === undefined) return;
    const id = unknownJobId();
    const [expected, change, field] = INVALID_CHANGES[random.int(INVALID_CHANGES.length)]!;
    const body = JSON.stringify({ ...(JSON.parse(template) as Fields), ...change, id });
    world.call(world.anyController(), 'POST', '/work', body, (response) => {
      if (response === null) return;
      const violation = responseViolation(
        response.status,
        (JSON.parse(response.body.toString()) as Fields).error,
        expected,
        field,
      );
      if (violation !== null) reportViolation(`${violation}: ${body}`);
      else if (response.status === expected) kit.record(`refused with ${expected}`);
    });
    // Nothing of the job may be stored, whatever the response was.
    kit.after(20e6, () => {
      for (const key of [activeJobKey(id), finalStateKey(id)])
        if (world.state.keys.has(key)) reportViolation(`odd_kept: ${key}`);
    });
  };
  return {
    begin: () => {
      world.recordInjection('invalidRequests');
      const durationUs = random.between(10e6, 30e6);
      for (let delay = 0; delay < durationUs; delay += random.between(0.1e6, 0.8e6)) {
        const sendRequest = [resubmit, cancelFinished, cancelUnknown, submitInvalid][random.int(4)]!;
        kit.after(delay, sendRequest);
      }
    },
  };
};
