/** The platform's settings file: TOML checked by Schema. Unknown fields are ignored. */
import { readFileSync } from 'node:fs';
import { Either, Schema } from 'effect';
import { type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import { checkedToml } from '@lilacvalve/runtime/toml';

const Address = Schema.String.pipe(
  Schema.pattern(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, { message: () => 'must be IPv4:port' }),
);
const Amount = Schema.Finite.pipe(Schema.nonNegative());
const Positive = Schema.Finite.pipe(Schema.positive());
const opt = <A, I>(s: Schema.Schema<A, I>, value: A) => Schema.optionalWith(s, { default: () => value });

const File = Schema.Struct({
  label: Schema.NonEmptyString,
  zone: Schema.NonEmptyString,
  listen: Address,
  cluster_listen: Address,
  others: opt(
    Schema.Array(Schema.Struct({ label: Schema.NonEmptyString, zone: Schema.String, peer_addr: Address })),
    [],
  ),
  services: Schema.Struct({ cloud: Address, state: Address }),
  cluster: Schema.Struct({
    nodes: Schema.Int.pipe(Schema.positive()),
    zones: opt(Schema.Array(Schema.String), []),
    skew_ms: opt(Amount, 0),
    teams: Schema.Array(
      Schema.Struct({
        name: Schema.NonEmptyString,
        cpus: opt(Amount, 0),
        cpus_max: opt(Amount, 0),
        gpus: opt(Amount, 0),
        gpus_max: opt(Amount, 0),
      }),
    ),
    objectives: opt(
      Schema.Array(
        Schema.Struct({
          kind: Schema.String,
          class: opt(Schema.String, ''),
          within_s: opt(Amount, 0),
          share: opt(Amount, 0),
          times: opt(Amount, 1),
        }),
      ),
      [],
    ),
    workers: Schema.Struct({
      report_s: Positive,
      lease_s: Positive,
      gang_wait_s: Positive,
      gang_peer_s: Positive,
      cancel_s: Positive,
    }),
    state: Schema.Struct({
      rps: Positive,
      write_rps: Positive,
      value_kb: Positive,
      txn_ops: Schema.Int.pipe(Schema.positive()),
    }),
    cloud: Schema.Struct({ rps: Positive, list_lag_s: Amount }),
    machine_limits: Schema.Struct({
      cores: Positive,
      memory_mb: Positive,
      max_connections: Schema.Int.pipe(Schema.positive()),
    }),
  }),
});

/** Another controller. */
export interface Peer {
  readonly label: string;
  readonly zone: string;
  readonly address: string;
}
/** Zero in a limit means the team has none; zero in a guarantee means nothing is guaranteed. */
export interface TeamSettings {
  readonly name: string;
  readonly guarantee: { readonly cpus: number; readonly gpus: number };
  readonly limit: { readonly cpus: number; readonly gpus: number };
}
/** A service-level objective of a class of jobs. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string;
  readonly within: Micros;
  readonly share: number;
  readonly times: number;
}
/** What the platform hands over in the settings file, checked; times in microseconds. */
export interface Settings {
  readonly label: string;
  readonly zone: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly Peer[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  readonly nodes: number;
  readonly zones: readonly string[];
  readonly skew: Micros;
  readonly teams: readonly TeamSettings[];
  readonly objectives: readonly Objective[];
  readonly workers: {
    readonly report: Micros;
    readonly lease: Micros;
    readonly gangWait: Micros;
    readonly gangPeer: Micros;
    readonly cancel: Micros;
  };
  readonly state: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueBytes: number;
    readonly txnOps: number;
    /** Records kept before they are folded; what `scheduler/records.ts` says if left out. */
    readonly tail?: number;
  };
  readonly cloud: { readonly rps: number; readonly listLag: Micros };
  readonly limits: { readonly cores: number; readonly memoryMb: number; readonly maxConnections: number };
}

const readFile = checkedToml(File);

/** Either a checked configuration, or one line that names the field and the reason. */
export const parseSettings = (text: string): Either.Either<Settings, string> => {
  const decoded = readFile(text);
  if (Either.isLeft(decoded)) return Either.left(decoded.left);
  const file = decoded.right;
  const workers = file.cluster.workers;
  return Either.right({
    label: file.label,
    zone: file.zone,
    listen: file.listen,
    peerListen: file.cluster_listen,
    peers: file.others.map((o) => ({ label: o.label, zone: o.zone, address: o.peer_addr })),
    cloudAddress: file.services.cloud,
    stateAddress: file.services.state,
    nodes: file.cluster.nodes,
    zones: file.cluster.zones,
    skew: millis(file.cluster.skew_ms),
    teams: file.cluster.teams.map((team) => ({
      name: team.name,
      guarantee: { cpus: team.cpus, gpus: team.gpus },
      limit: { cpus: team.cpus_max, gpus: team.gpus_max },
    })),
    objectives: file.cluster.objectives.map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class,
      within: seconds(objective.within_s),
      share: objective.share,
      times: objective.times,
    })),
    workers: {
      report: seconds(workers.report_s),
      lease: seconds(workers.lease_s),
      gangWait: seconds(workers.gang_wait_s),
      gangPeer: seconds(workers.gang_peer_s),
      cancel: seconds(workers.cancel_s),
    },
    state: {
      rps: file.cluster.state.rps,
      writeRps: file.cluster.state.write_rps,
      valueBytes: Math.floor(file.cluster.state.value_kb * 1024),
      txnOps: file.cluster.state.txn_ops,
    },
    cloud: { rps: file.cluster.cloud.rps, listLag: seconds(file.cluster.cloud.list_lag_s) },
    limits: {
      cores: file.cluster.machine_limits.cores,
      memoryMb: file.cluster.machine_limits.memory_mb,
      maxConnections: file.cluster.machine_limits.max_connections,
    },
  });
};

/** The settings of a file, or one line that names the field and the reason. */
export const readSettings = (path: string): Either.Either<Settings, string> => {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (failure) {
    return Either.left(`cannot read: ${(failure as Error).message}`);
  }
};
