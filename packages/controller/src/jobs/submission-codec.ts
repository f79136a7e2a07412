/** The users' wire form of submissions, and of a job's status. The protocol's names occur here and in `api` only. */
import { Either, ParseResult, Schema } from 'effect';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { type JobSpec, type Shape, URGENCY } from './model.js';

const Amount = Schema.Finite.pipe(Schema.nonNegative());
/**
 * Longer durations are shortened to this one, some decades, so that microseconds stay safe integers. The protocol has no
 * limit, so a longer duration is not an error.
 */
const MAX_DURATION_S = 1e9;
const duration = (durationS: number): Micros => seconds(Math.min(durationS, MAX_DURATION_S));
const ShortText = Schema.String.pipe(Schema.minLength(1), Schema.maxLength(200));
/** An optional field that may also be null; decodes to null in both cases. */
const NoneOr = <A, I>(schema: Schema.Schema<A, I>) =>
  Schema.optionalWith(Schema.NullOr(schema), { default: () => null });

export const JOB_ID = /^job-[0-9]{1,32}$/;

const Submission = Schema.Struct({
  id: Schema.String.pipe(Schema.pattern(JOB_ID)),
  jobClass: ShortText,
  owner: Schema.String,
  shape: Schema.Literal('array', 'ensemble', 'daemon'),
  urgency: Schema.Literal('production', 'high', 'normal', 'low'),
  pieces: Schema.Int.pipe(Schema.between(1, 100_000)),
  vcpus: Amount,
  accelerators: Amount,
  memGb: Amount,
  bundle: ShortText,
  imageGb: Amount,
  hostsKinds: NoneOr(Schema.Array(Schema.String)),
  room: NoneOr(Schema.String),
  samePlace: Schema.Boolean,
  scatter: Schema.Boolean,
  borrowed: Schema.Boolean,
  expectS: Amount,
  saveEveryS: Amount,
  saveTakesS: Amount,
  dueS: NoneOr(Amount),
});
const decodeSubmission = Schema.decodeUnknownEither(Submission, {
  onExcessProperty: 'ignore',
  errors: 'first',
});

const SHAPES: Record<string, Shape> = { array: 'array', ensemble: 'gang', daemon: 'service' };

/** Maximum length of the reason why a field is malformed: the reason quotes the field's value, which may be long. */
const MAX_REASON_LENGTH = 300;

/** Decodes the body of a submission received at `submitted`; fails with the reason why the body is malformed. */
export const readSubmission = (body: unknown, submitted: Micros): Either.Either<JobSpec, string> =>
  decodeSubmission(body).pipe(
    Either.mapBoth({
      onLeft: (parseError) => {
        const issue = ParseResult.ArrayFormatter.formatErrorSync(parseError)[0];
        const reason = (issue?.message ?? 'invalid').slice(0, MAX_REASON_LENGTH);
        return `${issue?.path.map(String).join('.') || 'body'}: ${reason}`;
      },
      onRight: (submission) => ({
        id: submission.id,
        jobClass: submission.jobClass,
        team: submission.owner,
        shape: SHAPES[submission.shape]!,
        urgency: URGENCY[submission.urgency],
        tasks: submission.pieces,
        cpus: submission.vcpus,
        gpus: submission.accelerators,
        memGb: submission.memGb,
        image: submission.bundle,
        // Limited like a duration: the time to fetch the image is estimated from it in microseconds.
        imageGb: Math.min(submission.imageGb, MAX_DURATION_S),
        types: submission.hostsKinds,
        zone: submission.room,
        oneZone: submission.samePlace,
        spread: submission.scatter,
        spot: submission.borrowed,
        estimate: duration(submission.expectS),
        checkpoint: duration(submission.saveEveryS),
        save: duration(submission.saveTakesS),
        deadline: submission.dueS === null ? null : duration(submission.dueS),
        submitted,
        cutoffBinding: null,
      }),
    }),
  );

/** The wire values of a job's status. */
export const STATUS_WORDS = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'aborted',
} as const;
