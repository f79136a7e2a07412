/** Reads the settings file that the platform provides: TOML, checked against a schema. Unknown fields are ignored. */
import { readFileSync } from 'node:fs';
import { Either, Schema } from 'effect';
import { type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import { checkedToml } from '@lilacvalve/runtime/toml';

const Address = Schema.String.pipe(
  Schema.pattern(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, { message: () => 'must be IPv4:port' }),
);
const Amount = Schema.Finite.pipe(Schema.nonNegative());
const Positive = Schema.Finite.pipe(Schema.positive());
/** An optional field with a default value. */
const withDefault = <A, I>(schema: Schema.Schema<A, I>, value: A) =>
  Schema.optionalWith(schema, { default: () => value });

const SettingsFile = Schema.Struct({
  label: Schema.NonEmptyString,
  zone: Schema.NonEmptyString,
  listen: Address,
  cluster_listen: Address,
  others: withDefault(
    Schema.Array(Schema.Struct({ label: Schema.NonEmptyString, zone: Schema.String, peer_addr: Address })),
    [],
  ),
  services: Schema.Struct({ cloud: Address, state: Address }),
  cluster: Schema.Struct({
    nodes: Schema.Int.pipe(Schema.positive()),
    zones: withDefault(Schema.Array(Schema.String), []),
    skew_ms: withDefault(Amount, 0),
    teams: Schema.Array(
      Schema.Struct({
        name: Schema.NonEmptyString,
        cpus: withDefault(Amount, 0),
        cpus_max: withDefault(Amount, 0),
        gpus: withDefault(Amount, 0),
        gpus_max: withDefault(Amount, 0),
      }),
    ),
    objectives: withDefault(
      Schema.Array(
        Schema.Struct({
          kind: Schema.String,
          class: withDefault(Schema.String, ''),
          within_s: withDefault(Amount, 0),
          share: withDefault(Amount, 0),
          times: withDefault(Amount, 1),
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

/** Another controller of the cluster. */
export interface Peer {
  readonly label: string;
  readonly zone: string;
  readonly address: string;
}
/** A team's quota. A limit of zero means no limit; a guarantee of zero means that nothing is guaranteed. */
export interface TeamSettings {
  readonly name: string;
  readonly guarantee: { readonly cpus: number; readonly gpus: number };
  readonly limit: { readonly cpus: number; readonly gpus: number };
}
/** A service-level objective for a class of jobs. */
export interface Objective {
  readonly kind: string;
  readonly jobClass: string;
  readonly within: Micros;
  readonly share: number;
  readonly times: number;
}
/** The checked content of the settings file; durations are in microseconds. */
export interface Settings {
  readonly label: string;
  readonly zone: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly Peer[];
  readonly cloudAddress: string;
  readonly stateAddress: string;
  /** Number of controllers in the cluster. */
  readonly controllerCount: number;
  readonly zones: readonly string[];
  /** Maximum difference between the controllers' times of day. */
  readonly skew: Micros;
  readonly teams: readonly TeamSettings[];
  readonly objectives: readonly Objective[];
  readonly workers: {
    /** Interval between two heartbeats of a worker. */
    readonly heartbeatInterval: Micros;
    readonly lease: Micros;
    /** How long a gang's task waits for the rest of its gang before it exits. */
    readonly gangWait: Micros;
    /** How long a gang's tasks may go on after one of their peers stopped. */
    readonly gangPeer: Micros;
    readonly cancel: Micros;
  };
  readonly state: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueBytes: number;
    readonly txnOps: number;
    /** Number of log entries kept before compaction; absent: the scheduler's default. Not part of the settings file. */
    readonly maxLogEntries?: number;
  };
  readonly cloud: { readonly rps: number; readonly listLag: Micros };
  readonly limits: { readonly cores: number; readonly memoryMb: number; readonly maxConnections: number };
}

const decodeFile = checkedToml(SettingsFile);

/** Parses a settings file's text. Returns the settings, or one line that names the invalid field and the reason. */
export const parseSettings = (text: string): Either.Either<Settings, string> => {
  const decoded = decodeFile(text);
  if (Either.isLeft(decoded)) return Either.left(decoded.left);
  const file = decoded.right;
  const workers = file.cluster.workers;
  return Either.right({
    label: file.label,
    zone: file.zone,
    listen: file.listen,
    peerListen: file.cluster_listen,
    peers: file.others.map((peer) => ({ label: peer.label, zone: peer.zone, address: peer.peer_addr })),
    cloudAddress: file.services.cloud,
    stateAddress: file.services.state,
    controllerCount: file.cluster.nodes,
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
      heartbeatInterval: seconds(workers.report_s),
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

/** Reads a settings file. Returns the settings, or one line that names the invalid field and the reason. */
export const readSettings = (path: string): Either.Either<Settings, string> => {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (failure) {
    return Either.left(`cannot read: ${(failure as Error).message}`);
  }
};
