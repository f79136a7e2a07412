/**
 * The users' interface, on every node, straight against the state store. Accepted, cancelled and done are
 * said only after a committed conditional write. Final states may come from memory; any other answer
 * needs a view at least as new as the request.
 */
import { Effect, Either, Random } from 'effect';
import { type Answer, type Incoming, json, retryLater } from '@lilacvalve/runtime/http-server';
import { debug } from '@lilacvalve/runtime/log';
import { countMetric } from '../metrics.js';
import type { Micros } from '@lilacvalve/runtime/micros';
import { tieOf } from '../calendar/tie.js';
import type { MachineType } from '../provisioning/model.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { JobState } from '../jobs/job-state.js';
import {
  decodeFinal,
  decodeOver,
  encodeFinal,
  encodeJob,
  JOB_ID,
  readSubmission,
  STATUS_WORDS,
  type OrphanedJob,
} from '../jobs/codec.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { activeKey, afterOver, asKnown, finalKey, OVER, orphanedJobKey } from '../jobs/keys.js';
import { type FinalState, isComplete, type Job, type JobSpec } from '../jobs/model.js';
import type { Work } from '../overload/model.js';
import type { JobEvidence, EvidenceStore } from '../recovery/evidence-store.js';
import type { Settings } from '../settings/settings.js';
import { Priority } from '../state-store/budget.js';
import { Refused, type StateFailure, type Write } from '../state-store/client.js';
import { REPORTS } from '../workers/codec.js';
import type { StatePort } from '../state-store/port.js';

export interface ApiDeps {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  /** Whether a job that this node does not know may be new: not while what others remember is being gathered. */
  readonly mayBeNew: (id: string) => boolean;
  /** Tells the other controllers what a user is about to be told; see recovery/evidence-store.ts. */
  readonly witness: EvidenceStore;
  /** What this node has in memory is durable: not after a loss, until its view is part of the rebuilt store. */
  readonly durable: () => boolean;
  /** This node leads: the ends it has recorded may be known to nobody else yet. */
  readonly leads: () => boolean;
  /** This node's view has been held against a peer's since it was read. */
  readonly verified: () => boolean;
  readonly types: () => readonly MachineType[] | null;
  readonly ready: () => boolean;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
}

/** Users wait 5 s for a submission; past this we say when to come back. */
const GIVE_UP = 2_500_000;

const finalAnswer = (id: string, f: FinalState): Answer =>
  json(200, {
    id,
    status: STATUS_WORDS[f.status],
    done: f.status === 'done' ? f.tasks : undefined,
    running: 0,
  });

const activeAnswer = (job: Job): Answer => {
  const id = job.spec.id;
  if (job.withdrawn)
    return json(200, { id, status: STATUS_WORDS.cancelled, done: job.done.size, running: job.placed.size });
  // Its last end stands in a committed record; moving it to its final key is only tidying up.
  if (isComplete(job)) return finalAnswer(id, { status: 'done', tasks: job.spec.tasks });
  return json(200, {
    id,
    status: job.placed.size > 0 ? STATUS_WORDS.running : STATUS_WORDS.queued,
    done: job.done.size,
    running: job.placed.size,
  });
};

/**
 * Why a job can never run here; null if it can. Without the machine types (null) only what does not hang on them is
 * said, and null does not mean that it can.
 */
export const impossible = (
  s: JobSpec,
  settings: Settings,
  types: readonly MachineType[] | null,
): string | null => {
  const team = settings.teams.find((t) => t.name === s.team);
  if (!team) return 'unknown team';
  const count = s.shape === 'array' ? 1 : s.tasks;
  const l = team.limit;
  if ((l.cpus > 0 && s.cpus * count > l.cpus + 1e-9) || (l.gpus > 0 && s.gpus * count > l.gpus + 1e-9)) {
    return 'needs more than the limit of its team';
  }
  // All tasks of a gang at once, and no zone may have more than half of them: accepted, it would wait for ever. An array
  // or a service runs with those that may be there.
  const apart = s.shape === 'gang' && s.spread && s.tasks > 1;
  if (apart && (s.oneZone || s.zone !== null)) return 'a gang of one zone may not be in one zone';
  if (types === null) return null;
  /** Zones that offer a type on which a task fits: a type that no zone offers can't be rented. */
  const zones = new Set(
    types
      .filter(
        (t) =>
          (s.types === null || s.types.includes(t.name)) &&
          s.cpus <= t.cpus + 1e-9 &&
          s.gpus <= t.gpus + 1e-9 &&
          s.memGb <= t.memGb + 1e-9,
      )
      .flatMap((t) => (s.zone === null ? t.zones : t.zones.filter((z) => z === s.zone))),
  );
  if (zones.size === 0) return 'a task fits no allowed machine type';
  if (apart && zones.size === 1) return 'only one zone offers what fits, and a gang may not be in one zone';
  return null;
};

export const userHandlers = (d: ApiDeps) => {
  const unavailable = (e: StateFailure): Effect.Effect<Answer> =>
    debug('store unavailable', { reason: e._tag === 'Refused' ? `${e.status}` : e.reason }).pipe(
      Effect.as(retryLater('state unavailable')),
    );

  /** What the store says can be believed, and it has been read. */
  const open = (): boolean =>
    d.watcher.loaded && !d.lossDetector.suspected && d.lossDetector.incarnation !== null;
  const unsure = new Refused({ status: 503, reason: 'not certain of this job yet' });

  /** A rebuilt final state that this node does not hold in memory. */
  const rebuilt = (id: string): Effect.Effect<FinalState | null, StateFailure> =>
    Effect.gen(function* () {
      if (d.jobState.finals.complete) return null;
      for (const part of d.jobState.overParts) {
        const page = yield* d.store.page(`${OVER}${part}/`, afterOver(part, id), 1);
        for (const e of page.entries) for (const [over, f] of decodeOver(e.value)) if (over === id) return f;
      }
      return null;
    });

  /**
   * The job is complete by a record of this node's own, and what was committed just before that one is not read yet. A
   * withdrawal among it would have come first: called `done` here, the job would be `aborted` for everybody else.
   */
  const endAhead = (id: string): boolean => {
    const job = d.jobState.jobs.get(id);
    if (job === undefined || job.withdrawn || !isComplete(job)) return false;
    return (d.jobState.tail.get(d.jobState.lastSeq)?.stamp ?? 0) > d.watcher.completeTo();
  };

  /** The job as of now: over, active, named by workers only, or never accepted. */
  type Found = { readonly final: FinalState } | { readonly job: Job } | { readonly ward: OrphanedJob } | null;
  const lookUp = (id: string): Effect.Effect<Found, StateFailure> =>
    Effect.gen(function* () {
      // Told from memory alone, it would be lost with this node.
      const over = d.jobState.finals.get(id);
      if (over && d.durable()) return { final: over };
      yield* d.watcher.refresh;
      if (endAhead(id)) yield* d.watcher.refresh;
      const known = d.jobState.finals.get(id);
      if (known && !d.durable()) return yield* Effect.fail(unsure);
      if (known) return { final: known };
      const job = d.jobState.jobs.get(id);
      if (!d.verified() || (job && !d.jobState.current(id))) return yield* Effect.fail(unsure);
      if (job) return { job };
      const { entry } = yield* d.store.get(finalKey(id));
      const final = entry === null ? yield* rebuilt(id) : decodeFinal(entry.value);
      if (final !== null) {
        d.jobState.finals.remember(id, final);
        return { final };
      }
      const ward = d.jobState.orphanedJobs.get(id);
      if (ward) return { ward };
      // Never accepted, as far as the store says: that is said only once nobody could know better.
      if (!d.jobState.recovered || d.jobState.damaged.has(activeKey(id))) return yield* Effect.fail(unsure);
      return null;
    });
  const say = (id: string, f: Found): Answer =>
    f === null
      ? json(404, { error: 'no such job' })
      : 'final' in f
        ? finalAnswer(id, f.final)
        : 'ward' in f
          ? json(200, { id, status: STATUS_WORDS.running, running: f.ward.tasks })
          : activeAnswer(f.job);

  /** Tells the others first. */
  const telling = (
    id: string,
    revision: number,
    value: JobEvidence['value'],
    answer: Answer,
  ): Effect.Effect<Answer> => {
    const i = d.lossDetector.incarnation;
    return i === null
      ? Effect.succeed(answer)
      : Effect.as(
          d.witness.replicate({ id, revision, generation: i.generation, incarnation: i.id, value }),
          answer,
        );
  };
  /** A leader knows of an end before the others do; whoever else knows of it has read it, and so the leader knows too. */
  const sayFound = (id: string, f: Found): Effect.Effect<Answer> => {
    const at = d.jobState.ended.get(id);
    const answer = say(id, f);
    if (at === undefined || !d.leads() || f === null || 'ward' in f) return Effect.succeed(answer);
    const final: FinalState | null =
      'final' in f
        ? f.final
        : !f.job.withdrawn && isComplete(f.job)
          ? { status: 'done', tasks: f.job.spec.tasks }
          : null;
    return final === null ? Effect.succeed(answer) : telling(id, at, { final }, answer);
  };

  /**
   * What a change's user is told of the job that was found instead: by a change whose own answer was lost, perhaps, of which
   * nobody was told. Costs nothing once the others have read it. Only while no record has touched it: a view that lost those
   * must not go on from them.
   */
  const sayChanged = (id: string, f: Found): Effect.Effect<Answer> =>
    f === null || !('job' in f) || f.job.stamp === 0 || f.job.touched > 0
      ? sayFound(id, f)
      : telling(id, f.job.stamp, { stored: encodeJob(f.job, f.job.touched) }, say(id, f));

  const submit = (request: Incoming): Effect.Effect<Answer> =>
    Effect.gen(function* () {
      if (request.body === null) return json(400, { error: 'body over 64 KiB' });
      let body: unknown;
      try {
        body = JSON.parse(request.body.toString('utf8'));
      } catch {
        return json(400, { error: 'not JSON' });
      }
      if (typeof body !== 'object' || body === null || Array.isArray(body))
        return json(400, { error: 'not an object' });
      const began = d.clock();
      const id = (body as { id?: unknown }).id;
      if (typeof id !== 'string' || !JOB_ID.test(id))
        return json(400, { error: 'id: not in the stated form' });
      // A job that is known gets its state, whatever its body says now.
      if (!open()) return retryLater(d.lossDetector.suspected ? unsure.reason : 'starting');
      if (d.jobState.finals.has(id) || d.jobState.jobs.has(id))
        return yield* sayChanged(id, yield* lookUp(id));
      const read = readSubmission(body, d.dayTime());
      const types = d.types();
      const never = Either.isLeft(read) ? null : impossible(read.right, d.settings, types);
      if (Either.isLeft(read) || never !== null) {
        const found = yield* lookUp(id);
        if (found !== null) return yield* sayChanged(id, found);
        return Either.isLeft(read) ? json(400, { error: read.left }) : json(422, { error: never });
      }
      if (types === null) return retryLater('machine types unknown');
      if (!d.mayBeNew(id) || d.jobState.damaged.has(activeKey(id))) return retryLater(unsure.reason);
      if (!d.jobState.finals.complete && d.jobState.overParts.size > 0 && (yield* rebuilt(id)) !== null)
        return yield* sayChanged(id, yield* lookUp(id));
      const job: Job = {
        spec: { ...read.right, tie: tieOf(d.jobState.calendars.current, read.right) },
        withdrawn: false,
        attempt: 0,
        done: new Set(),
        placed: new Map(),
        failedOn: new Set(),
        loans: new Map(),
        taken: 0,
        stamp: 0,
        folded: 0,
        touched: 0,
      };
      const value = encodeJob(job, 0);
      if (Buffer.byteLength(JSON.stringify(value)) > d.settings.state.valueBytes) {
        // All other fields are short, or name a team or a zone that there is.
        return json(400, { error: 'hostsKinds: too long' });
      }
      for (;;) {
        const r = yield* Effect.either(
          d.store.transact(
            [
              { key: activeKey(id), stamp: 0 },
              { key: finalKey(id), stamp: 0 },
            ],
            [{ set: activeKey(id), value }, ...adopting(id)],
            Priority.Commit,
            1200,
          ),
        );
        if (r._tag === 'Right') {
          if (r.right.ok)
            return yield* telling(
              id,
              r.right.revision,
              { stored: value },
              json(201, { id, status: STATUS_WORDS.queued }),
            );
          return yield* sayChanged(id, yield* lookUp(id));
        }
        // Refused or unanswered: the conditions make another try safe either way.
        if (d.clock() - began > GIVE_UP || (r.left._tag === 'Refused' && r.left.status === 503))
          return yield* unavailable(r.left);
        yield* Effect.sleep(100 + 150 * (yield* Random.next));
      }
    }).pipe(Effect.catchAll(unavailable));

  /** What workers run of it already becomes the submitted job's. */
  const adopting = (id: string): Write[] =>
    d.jobState.orphanedJobs.has(id) ? [{ delete: orphanedJobKey(id) }] : [];

  const poll = (id: string): Effect.Effect<Answer> =>
    open() || (d.jobState.finals.has(id) && d.durable())
      ? lookUp(id).pipe(
          Effect.flatMap((f) => sayFound(id, f)),
          Effect.catchAll(unavailable),
        )
      : Effect.succeed(retryLater(d.lossDetector.suspected ? unsure.reason : 'starting'));

  const withdraw = (id: string): Effect.Effect<Answer> =>
    Effect.gen(function* () {
      if (!open()) return retryLater(d.lossDetector.suspected ? unsure.reason : 'starting');
      const began = d.clock();
      for (;;) {
        const found = yield* lookUp(id);
        if (found === null || 'final' in found) return yield* sayChanged(id, found);
        if ('job' in found && (found.job.withdrawn || isComplete(found.job)))
          return yield* sayChanged(id, found);
        const r = yield* Effect.either(
          'ward' in found
            ? d.store.transact(
                [
                  { key: activeKey(id), stamp: 0 },
                  { key: finalKey(id), stamp: 0 },
                ],
                [
                  { set: finalKey(id), value: encodeFinal({ status: 'cancelled', tasks: found.ward.tasks }) },
                  ...adopting(id),
                ],
                Priority.Commit,
                1200,
              )
            : d.store.transact(
                asKnown(id, found.job.stamp),
                // What the key includes stays what it included: later records still apply on top.
                [
                  {
                    set: activeKey(id),
                    value: encodeJob({ ...found.job, withdrawn: true }, found.job.touched),
                  },
                ],
                Priority.Commit,
                1200,
              ),
        );
        // A record may have completed the job in between: whichever was committed first holds (jobs/job-state.ts).
        if (r._tag === 'Right' && r.right.ok) {
          const now = yield* lookUp(id);
          if (now === null || !('job' in now) || !now.job.withdrawn) return yield* sayChanged(id, now);
          const stored = encodeJob(now.job, now.job.touched);
          return yield* telling(id, r.right.revision, { stored }, say(id, now));
        }
        if (d.clock() - began > GIVE_UP) return retryLater('busy');
        if (r._tag === 'Left' && r.left._tag === 'Refused' && r.left.status === 503)
          return yield* unavailable(r.left);
        yield* Effect.sleep(60 + 80 * (yield* Random.next));
      }
    }).pipe(Effect.catchAll(unavailable));

  return { submit, poll, withdraw };
};

/** What a request is to the node that has too much to do; null: it is answered whatever there is to do. */
export const workOf = (r: Incoming): Work | null => {
  if (!r.path.startsWith('/work')) return null;
  // A withdrawal is a change like a submission, and stops work that is of no use to anybody.
  return r.method === 'POST' ? 'submission' : 'poll';
};

/** What arrives on the users' and workers' address, reports apart. */
export const route =
  (users: ReturnType<typeof userHandlers>, ready: () => string | null) =>
  (r: Incoming): Effect.Effect<Answer> => {
    const wrong = (allow: string) =>
      Effect.succeed(json(405, { error: 'method not allowed' }, { Allow: allow }));
    countMetric(r.path === '/ready' ? 'probes' : r.path === '/work' ? 'submissions' : 'polls');
    // Reports themselves are taken before they get here.
    if (r.path === REPORTS) return wrong('POST');
    if (r.path === '/ready') {
      if (r.method !== 'GET') return wrong('GET');
      const reason = ready();
      return Effect.succeed(reason === null ? json(200, { ready: true }) : retryLater(reason));
    }
    if (r.path === '/work') return r.method === 'POST' ? users.submit(r) : wrong('POST');
    const m = /^\/work\/([^/]+)(\/withdraw)?$/.exec(r.path);
    if (!m) return Effect.succeed(json(404, { error: 'no such path' }));
    const id = m[1]!;
    const method = m[2] ? 'POST' : 'GET';
    if (r.method !== method) return wrong(method);
    if (!JOB_ID.test(id)) return Effect.succeed(json(404, { error: 'no such job' }));
    return m[2] ? users.withdraw(id) : users.poll(id);
  };
