/** Client of the cloud's interface; its wire names stay here. */
import { Data, Effect, Schema } from 'effect';
import { HttpClient, keptOpen, type NoAnswer, type Reply } from '@lilacvalve/base/http-client';
import { seconds } from '@lilacvalve/base/micros';
import type { Settings } from '../settings/settings.js';
import { Budget, Priority } from '../state-store/budget.js';
import type { ListedMachine, MachineType } from './model.js';

export class CloudRefused extends Data.TaggedError('CloudRefused')<{
  readonly status: number;
  readonly reason: string;
}> {}
export type CloudFailure = CloudRefused | NoAnswer;

export interface Hire {
  readonly name: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly count: number;
}

export interface CloudPort {
  types(): Effect.Effect<readonly MachineType[], CloudFailure>;
  list(): Effect.Effect<readonly ListedMachine[], CloudFailure>;
  /** The machines rented; null: no capacity. */
  hire(h: Hire, still: Still): Effect.Effect<readonly string[] | null, CloudFailure>;
  remove(ids: readonly string[], still: Still): Effect.Effect<void, CloudFailure>;
}
/** Whether the caller may still act; asked when the call has waited for its part of the rate and is about to be sent. */
export type Still = () => boolean;
const ALWAYS: Still = () => true;

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

const Hosts = Schema.Struct({
  hosts: Schema.Array(
    Schema.Struct({
      id: Schema.String,
      addr: Schema.optionalWith(Schema.String, { default: () => '', nullable: true }),
      hostKind: Schema.String,
      room: Schema.String,
      borrowed: Schema.optionalWith(Schema.Boolean, { default: () => false, nullable: true }),
      status: Schema.Literal('booting', 'running', 'failed'),
      heldS: Schema.Number,
    }),
  ),
  more: Schema.optionalWith(Schema.Boolean, { default: () => false, nullable: true }),
});
const decodeList = Schema.decodeUnknownSync(Hosts);
const decodeHired = Schema.decodeUnknownSync(Schema.Struct({ hosts: Schema.Array(Schema.String) }));

/** An answer that can't be read is a failure like any other: no duty ends of it. */
const read = <A>(r: Reply, decode: (value: unknown) => A): Effect.Effect<A, CloudRefused> =>
  Effect.try({
    try: () => decode(JSON.parse(r.body.toString())),
    catch: (e) => new CloudRefused({ status: r.status, reason: `unreadable: ${String(e).slice(0, 200)}` }),
  });

export class Cloud implements CloudPort {
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
        Effect.flatMap((r) => read(r, decodeList)),
        Effect.flatMap((v) => {
          for (const h of v.hosts) {
            sofar.push({
              id: h.id,
              addr: h.addr,
              type: h.hostKind,
              zone: h.room,
              spot: h.borrowed,
              status: h.status,
              age: seconds(h.heldS),
            });
          }
          const last = v.hosts[v.hosts.length - 1];
          return v.more && last ? page(last.id, sofar) : Effect.succeed(sofar);
        }),
      );
    return page(null, []);
  }

  hire(h: Hire, still: Still): Effect.Effect<readonly string[] | null, CloudFailure> {
    const body = JSON.stringify({
      hire: h.name,
      hostKind: h.type,
      room: h.zone,
      borrowed: h.spot,
      howMany: h.count,
    });
    return this.call('POST', '/hosts', body, Priority.Commit, still).pipe(
      Effect.flatMap((r) => read(r, (v) => decodeHired(v).hosts as readonly string[] | null)),
      Effect.catchTag('CloudRefused', (e) =>
        e.status === 503 && e.reason.includes('no capacity') ? Effect.succeed(null) : Effect.fail(e),
      ),
    );
  }

  remove(ids: readonly string[], still: Still): Effect.Effect<void, CloudFailure> {
    return this.call('POST', '/hosts/delete', JSON.stringify({ hosts: ids }), Priority.Commit, still).pipe(
      Effect.asVoid,
    );
  }

  private call(
    method: string,
    path: string,
    body: string | null,
    priority: Priority,
    still: Still = ALWAYS,
  ): Effect.Effect<Reply, CloudFailure> {
    return this.budget.take(priority, 1).pipe(
      Effect.zipRight(
        Effect.suspend((): Effect.Effect<Reply, CloudFailure> =>
          still()
            ? this.client.request(method, path, body, 4000)
            : new CloudRefused({ status: 0, reason: 'no longer entitled' }),
        ),
      ),
      Effect.flatMap((r) =>
        r.status === 200
          ? Effect.succeed(r)
          : Effect.sync(() => {
              if (r.status === 429) this.budget.drain();
            }).pipe(
              Effect.zipRight(
                new CloudRefused({ status: r.status, reason: r.body.toString('utf8', 0, 200) }),
              ),
            ),
      ),
    );
  }
}
