/** Client of the cloud's interface; its wire names stay here. */
import { Data, Effect, Schema } from 'effect';
import { HttpClient, keptOpen, type NoAnswer, type Reply } from '@lilacvalve/runtime/http-client';
import { seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';
import { Budget, Priority } from '../state-store/budget.js';
import type { ListedMachine, MachineType } from './model.js';

export class CloudRefused extends Data.TaggedError('CloudRefused')<{
  readonly status: number;
  readonly reason: string;
}> {}
export type CloudFailure = CloudRefused | NoAnswer;

export interface RentalRequest {
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
  hire(h: RentalRequest, still: Still): Effect.Effect<readonly string[] | null, CloudFailure>;
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
 * A page of the list; throws on anything else. Checked by hand: it names every machine, again and again, and a schema's
 * decoder takes ten times as long.
 */
export const readList = (value: unknown): { readonly machines: ListedMachine[]; readonly more: boolean } => {
  const { hosts, more } = value as { hosts: unknown; more?: unknown };
  if (!Array.isArray(hosts) || (more !== undefined && more !== null && typeof more !== 'boolean'))
    throw new Error('not a list');
  const machines = (hosts as WireHost[]).map((h): ListedMachine => {
    const { id, hostKind: type, room: zone, heldS } = h;
    const addr = h.addr ?? '';
    const spot = h.borrowed ?? false;
    const status = text(h.status) ? STATUSES[h.status] : undefined;
    if (!text(id) || !text(addr) || !text(type) || !text(zone) || typeof spot !== 'boolean')
      throw new Error(`not a machine: ${String(id)}`);
    if (status === undefined || typeof heldS !== 'number' || !Number.isFinite(heldS))
      throw new Error(`${id}: status or age`);
    return { id, addr, type, zone, spot, status, age: seconds(heldS) };
  });
  return { machines, more: more === true };
};
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
        Effect.flatMap((r) => read(r, readList)),
        Effect.flatMap((v) => {
          sofar.push(...v.machines);
          const last = v.machines[v.machines.length - 1];
          return v.more && last ? page(last.id, sofar) : Effect.succeed(sofar);
        }),
      );
    return page(null, []);
  }

  hire(h: RentalRequest, still: Still): Effect.Effect<readonly string[] | null, CloudFailure> {
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
