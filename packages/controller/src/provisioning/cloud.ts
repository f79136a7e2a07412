/** Client of the cloud's interface. The protocol's names stand only here. */
import { Data, Effect, Schema } from 'effect';
import { HttpClient, keptOpen, type NoAnswer, type Reply } from '@lilacvalve/runtime/http-client';
import { seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';
import { Budget, Priority } from '../state-store/budget.js';
import type { ListedMachine, MachineType } from './model.js';

/** The cloud answered with another status than 200, or the caller was not entitled to send (status 0). */
export class CloudRefused extends Data.TaggedError('CloudRefused')<{
  readonly status: number;
  readonly reason: string;
}> {}
/** The cloud has no machine of the offer now. */
export class OutOfCapacity extends Data.TaggedError('OutOfCapacity')<{ readonly reason: string }> {}
/** The cloud's answer is not what its interface promises. */
export class CloudAnswerMalformed extends Data.TaggedError('CloudAnswerMalformed')<{
  readonly reason: string;
}> {}
/** Why the cloud did not do what was asked. */
export type CloudFailure = CloudRefused | OutOfCapacity | CloudAnswerMalformed | NoAnswer;

/** One rental. Repeated under the same name, it is carried out only once. */
export interface RentalRequest {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** The cloud, as the controller uses it. */
export interface CloudPort {
  types(): Effect.Effect<readonly MachineType[], CloudFailure>;
  list(): Effect.Effect<readonly ListedMachine[], CloudFailure>;
  /** The ids of the machines rented, perhaps fewer than asked for; null: no capacity. */
  rent(
    request: RentalRequest,
    isEntitled: StillEntitled,
  ): Effect.Effect<readonly string[] | null, CloudFailure>;
  /** Deletes the machines; once this succeeds, they and everything on them are gone. */
  remove(ids: readonly string[], isEntitled: StillEntitled): Effect.Effect<void, CloudFailure>;
}
/** A failure's reason is cut to this length. */
const REASON_BYTES = 200;

/** Whether the caller may still act; asked when the call has waited for its share of the rate and is about to be sent. */
export type StillEntitled = () => boolean;
const ALWAYS: StillEntitled = () => true;

const Types = Schema.Struct({
  hostsKinds: Schema.Array(
    Schema.Struct({
      label: Schema.String,
      vcpus: Schema.Number,
      accelerators: Schema.optionalWith(Schema.Number, { default: () => 0, nullable: true }),
      memGb: Schema.Number,
      cacheGb: Schema.optionalWith(Schema.Number, { default: () => 0, nullable: true }),
      pullGbPerS: Schema.optionalWith(Schema.Number, { default: () => 1, nullable: true }),
      hourly: Schema.Number,
      spotPrice: Schema.optionalWith(Schema.Number, { default: () => 0, nullable: true }),
      startupS: Schema.Number,
      rooms: Schema.Array(Schema.String),
    }),
  ),
});
const decodeTypes = Schema.decodeUnknownSync(Types);

/** Throws on anything that is not a list of machine types. */
export const readTypes = (value: unknown): MachineType[] =>
  decodeTypes(value).hostsKinds.map((k) => ({
    name: k.label,
    cpus: k.vcpus,
    gpus: k.accelerators,
    memGb: k.memGb,
    cacheGb: k.cacheGb,
    fetchGbPerS: k.pullGbPerS,
    price: k.hourly,
    spotPrice: k.spotPrice,
    boot: seconds(k.startupS),
    zones: k.rooms,
  }));

interface WireHost {
  readonly id: unknown;
  readonly addr?: unknown;
  readonly hostKind: unknown;
  readonly room: unknown;
  readonly borrowed?: unknown;
  readonly status: unknown;
  readonly heldS: unknown;
}
const STATUSES: Record<string, ListedMachine['status']> = {
  booting: 'booting',
  running: 'running',
  failed: 'failed',
};
const text = (v: unknown): v is string => typeof v === 'string';
/**
 * A page of the list; throws `CloudAnswerMalformed` on anything else. Checked by hand: it names every machine, again and again, and a schema's
 * decoder takes ten times as long.
 */
export const readList = (value: unknown): { readonly machines: ListedMachine[]; readonly more: boolean } => {
  const { hosts, more } = value as { hosts: unknown; more?: unknown };
  if (!Array.isArray(hosts) || (more !== undefined && more !== null && typeof more !== 'boolean'))
    throw new CloudAnswerMalformed({ reason: 'not a list' });
  const machines = (hosts as WireHost[]).map((host): ListedMachine => {
    const { id, hostKind: type, room: zone, heldS } = host;
    const addr = host.addr ?? '';
    const spot = host.borrowed ?? false;
    const status = text(host.status) ? STATUSES[host.status] : undefined;
    if (!text(id) || !text(addr) || !text(type) || !text(zone) || typeof spot !== 'boolean')
      throw new CloudAnswerMalformed({ reason: `not a machine: ${String(id)}` });
    if (status === undefined || typeof heldS !== 'number' || !Number.isFinite(heldS))
      throw new CloudAnswerMalformed({ reason: `${id}: status or age` });
    return { id, addr, type, zone, spot, status, age: seconds(heldS) };
  });
  return { machines, more: more === true };
};
const decodeRented = Schema.decodeUnknownSync(Schema.Struct({ hosts: Schema.Array(Schema.String) }));

/** An answer that can't be decoded is a failure like any other: no supervised task ends of it. */
const read = <A>(reply: Reply, decode: (value: unknown) => A): Effect.Effect<A, CloudAnswerMalformed> =>
  Effect.try({
    try: () => decode(JSON.parse(reply.body.toString())),
    catch: (reason) =>
      reason instanceof CloudAnswerMalformed
        ? reason
        : new CloudAnswerMalformed({ reason: `unreadable: ${String(reason).slice(0, REASON_BYTES)}` }),
  });

/** How the cloud says, with status 503, that it has no machine of the offer. */
const NO_CAPACITY = 'no capacity';

const failureOf = ({ status, body }: Reply): CloudRefused | OutOfCapacity => {
  const reason = body.toString('utf8', 0, REASON_BYTES);
  return status === 503 && reason.includes(NO_CAPACITY)
    ? new OutOfCapacity({ reason })
    : new CloudRefused({ status, reason });
};

/** The cloud's HTTP interface, within the rate that the settings allow. */
export class CloudClient implements CloudPort {
  private readonly client: HttpClient;
  private readonly budget: Budget;

  constructor(settings: Settings) {
    this.client = new HttpClient(settings.cloudAddress, keptOpen(6));
    // Nearly all calls are the leader's; the others read the machine types now and then.
    this.budget = new Budget(settings.cloud.rps * 0.8, Math.max(1, settings.cloud.rps));
  }

  types(): Effect.Effect<readonly MachineType[], CloudFailure> {
    return this.call('GET', '/flavors', null, Priority.Read).pipe(Effect.flatMap((r) => read(r, readTypes)));
  }

  list(): Effect.Effect<readonly ListedMachine[], CloudFailure> {
    const page = (
      after: string | null,
      sofar: ListedMachine[],
    ): Effect.Effect<ListedMachine[], CloudFailure> =>
      this.call(
        'GET',
        `/hosts?${after === null ? '' : `after=${after}&`}limit=500`,
        null,
        Priority.Read,
      ).pipe(
        Effect.flatMap((r) => read(r, readList)),
        Effect.flatMap((answer) => {
          sofar.push(...answer.machines);
          const last = answer.machines[answer.machines.length - 1];
          return answer.more && last ? page(last.id, sofar) : Effect.succeed(sofar);
        }),
      );
    return page(null, []);
  }

  rent(
    request: RentalRequest,
    isEntitled: StillEntitled,
  ): Effect.Effect<readonly string[] | null, CloudFailure> {
    const body = JSON.stringify({
      hire: request.name,
      hostKind: request.type,
      room: request.zone,
      borrowed: request.spot,
      howMany: request.count,
    });
    return this.call('POST', '/hosts', body, Priority.Commit, isEntitled).pipe(
      Effect.flatMap((r) => read(r, (v) => decodeRented(v).hosts as readonly string[] | null)),
      Effect.catchTag('OutOfCapacity', () => Effect.succeed(null)),
    );
  }

  remove(ids: readonly string[], isEntitled: StillEntitled): Effect.Effect<void, CloudFailure> {
    return this.call(
      'POST',
      '/hosts/delete',
      JSON.stringify({ hosts: ids }),
      Priority.Commit,
      isEntitled,
    ).pipe(Effect.asVoid);
  }

  private call(
    method: string,
    path: string,
    body: string | null,
    priority: Priority,
    isEntitled: StillEntitled = ALWAYS,
  ): Effect.Effect<Reply, CloudFailure> {
    return this.budget.take(priority, 1).pipe(
      Effect.zipRight(
        Effect.suspend((): Effect.Effect<Reply, CloudFailure> =>
          isEntitled()
            ? this.client.request(method, path, body, 4000)
            : new CloudRefused({ status: 0, reason: 'no longer entitled' }),
        ),
      ),
      Effect.flatMap((reply) =>
        reply.status === 200
          ? Effect.succeed(reply)
          : Effect.sync(() => {
              if (reply.status === 429) this.budget.drain();
            }).pipe(Effect.zipRight(Effect.fail(failureOf(reply)))),
      ),
    );
  }
}
