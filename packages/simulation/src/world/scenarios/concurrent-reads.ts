import type { ReportedResponse, RequestKind, SentRequest } from '../history.js';
import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** The state of a job that a user has just learnt from a response. */
type JobUpdate = 'accepted' | 'done' | 'aborted';
/** Maximum time from a response to a follow-up request that counts as immediate, in microseconds. */
const IMMEDIATE_US = 10_000;
/** Names of the counters of follow-up requests. */
export const FOLLOW_UPS = 'follow-up request';
export const UNANSWERED = 'follow-up request without a response';
export const REFUSED = 'follow-up request refused';
/** Requests of all controllers together; the deployments allow 80 to 180 a second. */
export const BUSIEST = 'state service requests in the busiest second';

/**
 * Right after a job was accepted, finished or confirmed as cancelled, users poll all controllers repeatedly within
 * milliseconds and repeat the submission. Some cancel the job immediately. Others poll jobs that were never submitted.
 */
export const concurrentReads = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let until = 0;
  const lastUpdate = new Map<string, JobUpdate>();

  const count = (asked: SentRequest, response: ReportedResponse | null): void => {
    kit.record(FOLLOW_UPS);
    if (response === null) kit.record(UNANSWERED);
    else if (response.status === 503 || response.status === 429) kit.record(REFUSED);
    else if (response.status === 404 && !world.jobs.has(asked.id)) kit.record('404 for an unknown job');
  };
  const ask = (
    delay: number,
    request: RequestKind,
    id: string,
    controller: string,
    onResponse = count,
  ): void => kit.after(delay, () => world.ask(request, id, controller, onResponse));

  /** Sends follow-up requests to all controllers after `responder` has reported a job's new state. */
  const sendFollowUps = (id: string, update: JobUpdate, responder: string): void => {
    const updatedAt = world.time.now;
    const onResponse = (asked: SentRequest, response: ReportedResponse | null): void => {
      count(asked, response);
      if (
        response?.status === 200 &&
        asked.controller !== responder &&
        asked.began - updatedAt <= IMMEDIATE_US
      )
        kit.record(
          `${asked.ask === 'submit' ? 'submitted again' : 'polled'} at another controller right after the job was ${update}`,
        );
    };
    for (const controller of world.nodes)
      for (const maxDelay of [2000, IMMEDIATE_US, 60_000, 500_000])
        ask(random.between(0, maxDelay), 'poll', id, controller, onResponse);
    for (const maxDelay of [IMMEDIATE_US, 100_000])
      ask(random.between(0, maxDelay), 'submit', id, world.anyController(), onResponse);
    ask(
      random.between(0, IMMEDIATE_US),
      'poll',
      `job-8${String(random.int(1e8)).padStart(10, '0')}`,
      world.anyController(),
    );
    if (update === 'accepted' && random.chance(0.25))
      kit.after(random.between(0, IMMEDIATE_US), () => world.cancel(id, () => world.anyController(), () => kit.record('cancelled right after acceptance'))); // prettier-ignore
  };

  return {
    begin: () => {
      world.recordInjection('concurrentReads');
      const durationUs = random.between(15e6, 30e6);
      until = Math.max(until, world.time.now + durationUs);
      const from = Math.floor(world.time.now / 1e6);
      kit.after(durationUs, () => {
        const busiest = Math.max(...world.state.requests.slice(from));
        kit.occurred[BUSIEST] = Math.max(kit.occurred[BUSIEST] ?? 0, busiest);
      });
      for (let i = 0; i < 6; i++)
        kit.after(random.between(0, durationUs * 0.7), () => {
          const job = { ...PLAIN_JOB, tasks: 1 + random.int(2), cpus: 1, runUs: random.between(1e6, 8e6) };
          world.submit({ job, urgency: 'high', due: null }, () => world.anyController());
        });
    },
    answered: (asked, response) => {
      if (response === null || (response.status !== 200 && response.status !== 201)) return;
      const { id, controller } = asked;
      const update: JobUpdate =
        response.state === 'done' || response.state === 'aborted' ? response.state : 'accepted';
      const previous = lastUpdate.get(id);
      if (previous !== undefined && (update === 'accepted' || previous !== 'accepted')) return;
      lastUpdate.set(id, update);
      if (world.time.now < until) sendFollowUps(id, update, controller);
    },
    // The completion of the last task is not reported to users yet: these polls arrive while it is being committed.
    completed: (task) => {
      const id = task.slice(0, task.indexOf('/'));
      if (world.time.now >= until || world.rules.completed.get(id)?.size !== world.jobs.get(id)?.tasks)
        return;
      for (const controller of world.nodes)
        for (let i = 0; i < 6; i++) ask(random.between(0, 900_000), 'poll', id, controller);
    },
  };
};
