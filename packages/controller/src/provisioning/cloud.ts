/** Client of the cloud's HTTP interface. The protocol's field names occur only in this file. */
import { Data, Effect, Schema } from 'effect';
import {
  HttpClient,
  keepAliveAgent,
  type NoResponse,
  type ReceivedResponse,
} from '@lilacvalve/runtime/http-client';
import { seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';
import { Budget, Priority } from '../state-store/budget.js';
import type { ListedMachine, MachineType } from './model.js';

/** The cloud responded with a status other than 200, or the request was not sent because the caller may not act (status 0). */
export class CloudRefused extends Data.TaggedError('CloudRefused')<{
  readonly status: number;
  readonly reason: string;
}> {}
/** The cloud has no capacity for the offer at present. */
export class OutOfCapacity extends Data.TaggedError('OutOfCapacity')<{ readonly reason: string }> {}
/** The body of the cloud's response does not match the interface. */
export class MalformedCloudResponse extends Data.TaggedError('MalformedCloudResponse')<{
  readonly reason: string;
}> {}
/** Why a request to the cloud failed. */
export type CloudFailure = CloudRefused | OutOfCapacity | MalformedCloudResponse | NoResponse;

/** A request to rent machines. The cloud carries out repeated requests with the same name only once. */
export interface RentalRequest {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

/** The operations of the cloud that the controller uses. */
export interface CloudPort {
  types(): Effect.Effect<readonly MachineType[], CloudFailure>;
  list(): Effect.Effect<readonly ListedMachine[], CloudFailure>;
  /** Rents machines. Succeeds with their ids, perhaps fewer than requested, or with null if there is no capacity. */
  rent(request: RentalRequest, maySend: MaySend): Effect.Effect<readonly string[] | null, CloudFailure>;
  /** Deletes the machines; once this succeeds, they no longer exist and no task runs on them. */
  remove(ids: readonly string[], maySend: MaySend): Effect.Effect<void, CloudFailure>;
}
/** Maximum length of a failure's reason. */
const REASON_BYTES = 200;

/** Whether the caller may still act. Called after the request has waited for the rate limit, right before it is sent. */
export type MaySend = () => boolean;
const ALWAYS: MaySend = () => true;

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

/** Decodes the list of machine types; throws if the value is not one. */
export const readTypes = (value: unknown): MachineType[] =>
  decodeTypes(value).hostsKinds.map((kind) => ({
    name: kind.label,
    cpus: kind.vcpus,
    gpus: kind.accelerators,
    memGb: kind.memGb,
    cacheGb: kind.cacheGb,
    fetchGbPerS: kind.pullGbPerS,
    price: kind.hourly,
    spotPrice: kind.spotPrice,
    boot: seconds(kind.startupS),
    zones: kind.rooms,
  }));

interface WireMachine {
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
const isString = (value: unknown): value is string => typeof value === 'string';
/**
 * Decodes a page of the machine list; throws `MalformedCloudResponse` if the value is not one. The fields are checked by hand
 * because the list contains every machine and is read all the time, and a schema decoder takes ten times as long.
 */
export const readList = (value: unknown): { readonly machines: ListedMachine[]; readonly more: boolean } => {
  const { hosts, more } = value as { hosts: unknown; more?: unknown };
  if (!Array.isArray(hosts) || (more !== undefined && more !== null && typeof more !== 'boolean'))
    throw new MalformedCloudResponse({
      reason: 'machine list: "hosts" is not an array or "more" is not a boolean',
    });
  const machines = (hosts as WireMachine[]).map((host): ListedMachine => {
    const { id, hostKind: type, room: zone, heldS } = host;
    const addr = host.addr ?? '';
    const spot = host.borrowed ?? false;
    const status = isString(host.status) ? STATUSES[host.status] : undefined;
    if (!isString(id) || !isString(addr) || !isString(type) || !isString(zone) || typeof spot !== 'boolean')
      throw new MalformedCloudResponse({ reason: `machine ${String(id)}: a field has the wrong type` });
    if (status === undefined || typeof heldS !== 'number' || !Number.isFinite(heldS))
      throw new MalformedCloudResponse({ reason: `machine ${id}: unknown status or age is not a number` });
    return { id, addr, type, zone, spot, status, age: seconds(heldS) };
  });
  return { machines, more: more === true };
};
const decodeRented = Schema.decodeUnknownSync(Schema.Struct({ hosts: Schema.Array(Schema.String) }));

/** Decodes a response body. A malformed body becomes a typed failure, so that it does not end a supervised task. */
const decodeResponse = <A>(
  reply: ReceivedResponse,
  decode: (value: unknown) => A,
): Effect.Effect<A, MalformedCloudResponse> =>
  Effect.try({
    try: () => decode(JSON.parse(reply.body.toString())),
    catch: (reason) =>
      reason instanceof MalformedCloudResponse
        ? reason
        : new MalformedCloudResponse({
            reason: `response can't be decoded: ${String(reason).slice(0, REASON_BYTES)}`,
          }),
  });

/** Text in the body of a 503 response when the cloud has no capacity for the offer. */
const NO_CAPACITY = 'no capacity';

/** Converts a response with a status other than 200 to a failure. */
const failureOf = ({ status, body }: ReceivedResponse): CloudRefused | OutOfCapacity => {
  const reason = body.toString('utf8', 0, REASON_BYTES);
  return status === 503 && reason.includes(NO_CAPACITY)
    ? new OutOfCapacity({ reason })
    : new CloudRefused({ status, reason });
};

/** Calls the cloud's HTTP interface within the request rate that the settings allow. */
export class CloudClient implements CloudPort {
  private readonly client: HttpClient;
  private readonly budget: Budget;

  constructor(settings: Settings) {
    this.client = new HttpClient(settings.cloudAddress, keepAliveAgent(6));
    // The leader makes nearly all calls; the other controllers only read the machine types occasionally.
    this.budget = new Budget(settings.cloud.rps * 0.8, Math.max(1, settings.cloud.rps));
  }

  types(): Effect.Effect<readonly MachineType[], CloudFailure> {
    return this.call('GET', '/flavors', null, Priority.Read).pipe(
      Effect.flatMap((reply) => decodeResponse(reply, readTypes)),
    );
  }

  list(): Effect.Effect<readonly ListedMachine[], CloudFailure> {
    const page = (
      after: string | null,
      machines: ListedMachine[],
    ): Effect.Effect<ListedMachine[], CloudFailure> =>
      this.call(
        'GET',
        `/hosts?${after === null ? '' : `after=${after}&`}limit=500`,
        null,
        Priority.Read,
      ).pipe(
        Effect.flatMap((reply) => decodeResponse(reply, readList)),
        Effect.flatMap((listPage) => {
          machines.push(...listPage.machines);
          const last = listPage.machines[listPage.machines.length - 1];
          return listPage.more && last ? page(last.id, machines) : Effect.succeed(machines);
        }),
      );
    return page(null, []);
  }

  rent(request: RentalRequest, maySend: MaySend): Effect.Effect<readonly string[] | null, CloudFailure> {
    const body = JSON.stringify({
      hire: request.name,
      hostKind: request.type,
      room: request.zone,
      borrowed: request.spot,
      howMany: request.count,
    });
    return this.call('POST', '/hosts', body, Priority.Commit, maySend).pipe(
      Effect.flatMap((reply) =>
        decodeResponse(reply, (value) => decodeRented(value).hosts as readonly string[] | null),
      ),
      Effect.catchTag('OutOfCapacity', () => Effect.succeed(null)),
    );
  }

  remove(ids: readonly string[], maySend: MaySend): Effect.Effect<void, CloudFailure> {
    return this.call('POST', '/hosts/delete', JSON.stringify({ hosts: ids }), Priority.Commit, maySend).pipe(
      Effect.asVoid,
    );
  }

  private call(
    method: string,
    path: string,
    body: string | null,
    priority: Priority,
    maySend: MaySend = ALWAYS,
  ): Effect.Effect<ReceivedResponse, CloudFailure> {
    return this.budget.take(priority, 1).pipe(
      Effect.zipRight(
        Effect.suspend((): Effect.Effect<ReceivedResponse, CloudFailure> =>
          maySend()
            ? this.client.request(method, path, body, 4000)
            : new CloudRefused({ status: 0, reason: 'not sent: the controller may no longer act' }),
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
