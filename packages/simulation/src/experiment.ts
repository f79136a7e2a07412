/** Reads experiments: TOML files that describe the deployment and the faults of a simulated day (`docs/simulation.md`). */
import { Schema } from 'effect';
import { checkedToml } from '@lilacvalve/runtime/toml';
import { LINK_STATES } from './world/links.js';
import { SCENARIO_NAMES } from './world/scenarios/scenario-names.js';
import type { Loss } from './world/state-service/store.js';
import { LOAD_BURST, GROWN, type Size, SMALL } from './world/deployment-size.js';
import type { Faults, LinkPlan, LossPlan } from './world/faults.js';

const FAULT_NAMES = [
  'nodeCrash',
  'stateOutage',
  'stateCut',
  'lost',
  'netCut',
  'machineDie',
  'machineHang',
  'cloudOutage',
  'freeze',
  'workersCut',
  'peersCut',
  'lateBoots',
  'oldLists',
  'brokenJobs',
  'faultyMachines',
  'everythingRestarts',
  'flood',
  'guests',
  'quickRestart',
  'machineRestart',
  'echoes',
  'storm',
  'lending',
  'cutoffs',
  'clockSteps',
  'compoundFaults',
  ...SCENARIO_NAMES,
] as const satisfies readonly (keyof Faults)[];

/** Former names of faults, which experiment files may still use. */
const FORMER_FAULT_NAMES = {
  meetings: 'compoundFaults',
  lateReports: 'lateHeartbeats',
  machineDeaf: 'inboundLoss',
  gap: 'rollingRefusal',
  leaderAlone: 'isolatedLeader',
  farEnds: 'staggeredCompletions',
  heldMachine: 'stalledMachine',
  closeLooks: 'concurrentReads',
  cancelAtEnd: 'cancelAtCompletion',
  cancelNow: 'cancelAndHang',
  cancelInHandover: 'cancelDuringHandover',
  answerLost: 'lostResponses',
  manySmall: 'manySmallJobs',
  machineMute: 'outboundLoss',
  reportForNext: 'staleHeartbeats',
  manyLeaders: 'leaderChurn',
  zoneCutLong: 'zonePartition',
  allAway: 'totalOutage',
  oneZoneLoss: 'zoneMachineLoss',
  overfull: 'overload',
  oddRequests: 'invalidRequests',
} as const satisfies Readonly<Record<string, keyof Faults>>;

type FormerFaultName = keyof typeof FORMER_FAULT_NAMES;
const isFormerFaultName = (name: string): name is FormerFaultName => Object.hasOwn(FORMER_FAULT_NAMES, name);

const Seconds = Schema.Finite.pipe(Schema.nonNegative());
const SecondsRange = Schema.Tuple(Schema.Finite, Schema.Finite);
const withDefault = <A, I>(schema: Schema.Schema<A, I>, value: A) =>
  Schema.optionalWith(schema, { default: () => value });

const ExperimentFile = Schema.Struct({
  name: Schema.NonEmptyString,
  size: withDefault(Schema.Literal('small', 'grown', 'crowded'), 'small'),
  jobs: withDefault(Schema.Int.pipe(Schema.positive()), 30),
  /** Duration in which faults are drawn, and the maximum duration after it in which the accepted jobs must finish. */
  troubled_s: withDefault(Seconds, 120),
  quiet_s: withDefault(Seconds, 300),
  /** Whether the capacity suffices for all jobs: then at least half of each class's largest jobs must begin within four minutes. */
  room: withDefault(Schema.Boolean, false),
  troubles: withDefault(
    Schema.Array(Schema.Literal(...FAULT_NAMES, ...(Object.keys(FORMER_FAULT_NAMES) as FormerFaultName[]))),
    [],
  ),
  loss: withDefault(
    Schema.Array(
      Schema.Struct({
        at_s: SecondsRange,
        kind: Schema.Literal('all', 'window', 'keys', 'damage', 'copies'),
        since_s: withDefault(Seconds, 0),
        leases: withDefault(Schema.Literal('renewed', 'gone', 'keys stay'), 'renewed'),
        prefix: withDefault(Schema.String, 's/j/a/'),
        /** The fraction of the keys that are lost (default 0.4) or of the values that are damaged (default: one value). */
        part: withDefault(Schema.NullOr(Schema.Number.pipe(Schema.between(0, 1))), null),
        how: withDefault(Schema.Literal('unreadable', 'older'), 'unreadable'),
        lasts_s: withDefault(Seconds, 0),
        out_s: withDefault(Seconds, 0),
        crash: withDefault(Schema.Literal('none', 'one', 'leader', 'all but one', 'all'), 'none'),
        within_s: withDefault(SecondsRange, [0, 0] as const),
        back_s: withDefault(SecondsRange, [2, 8] as const),
      }),
    ),
    [],
  ),
  link: withDefault(
    Schema.Array(
      Schema.Struct({
        at_s: SecondsRange,
        from: Schema.NonEmptyString,
        to: Schema.NonEmptyString,
        state: Schema.Literal(...LINK_STATES),
        both: withDefault(Schema.Boolean, true),
        lasts_s: SecondsRange,
      }),
    ),
    [],
  ),
});

/** A checked experiment; times in microseconds. */
export interface Experiment {
  readonly name: string;
  readonly size: Size;
  readonly jobs: number;
  readonly hasSufficientCapacity: boolean;
  readonly troubledUs: number;
  readonly quietUs: number;
  readonly troubles: Faults;
}

/** Converts seconds to microseconds. */
const toMicros = (seconds: number): number => Math.round(seconds * 1e6);
const toMicrosRange = (range: readonly [number, number]): [number, number] => [
  toMicros(range[0]),
  toMicros(range[1]),
];

const parseFile = checkedToml(ExperimentFile, { exact: true });

/** Returns the experiment, or one line that names the invalid field and the reason. */
export const readExperiment = (text: string) => {
  const parsed = parseFile(text);
  if (parsed._tag === 'Left') return parsed;
  const file = parsed.right;
  const losses = file.loss.map((entry): LossPlan => {
    const since = toMicros(entry.since_s);
    const loss: Loss =
      entry.kind === 'all'
        ? { kind: 'all' }
        : entry.kind === 'window'
          ? { kind: 'window', since, leases: entry.leases }
          : entry.kind === 'keys'
            ? { kind: 'keys', prefix: entry.prefix, part: entry.part ?? 0.4 }
            : entry.kind === 'damage'
              ? { kind: 'damage', prefix: entry.prefix, part: entry.part, how: entry.how }
              : { kind: 'copies', since, lasts: toMicros(entry.lasts_s) };
    return {
      at: toMicrosRange(entry.at_s),
      loss,
      out: toMicros(entry.out_s),
      crash: entry.crash,
      within: toMicrosRange(entry.within_s),
      back: toMicrosRange(entry.back_s),
    };
  });
  const links = file.link.map((entry): LinkPlan => ({
    at: toMicrosRange(entry.at_s),
    from: entry.from,
    to: entry.to,
    state: entry.state,
    both: entry.both,
    lasts: toMicrosRange(entry.lasts_s),
  }));
  const experiment: Experiment = {
    name: file.name,
    size: { small: SMALL, grown: GROWN, crowded: LOAD_BURST }[file.size],
    jobs: file.jobs,
    hasSufficientCapacity: file.room,
    troubledUs: toMicros(file.troubled_s),
    quietUs: toMicros(file.quiet_s),
    troubles: {
      ...Object.fromEntries(
        file.troubles.map((name) => [isFormerFaultName(name) ? FORMER_FAULT_NAMES[name] : name, true]),
      ),
      losses,
      links,
    },
  };
  return { _tag: 'Right' as const, right: experiment };
};
