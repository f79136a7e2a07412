/** An experiment: a checked TOML file that says what a day is like. `docs/simulation.md` shows one. */
import { Schema } from 'effect';
import { checkedToml } from '@lilacvalve/runtime/toml';
import { LINK_STATES } from './world/links.js';
import { SCENARIO_NAMES } from './world/scenarios/scenario-names.js';
import type { Loss } from './world/state-service/store.js';
import { LOAD_BURST, GROWN, type Size, SMALL } from './world/deployment-size.js';
import type { Faults, LinkPlan, LossPlan } from './world/faults.js';

const FLAGS = [
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

/** Names that experiment files were written with, and still are: read as the fault's name. */
const OLD_NAMES = {
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

type OldName = keyof typeof OLD_NAMES;
const isOldName = (name: string): name is OldName => Object.hasOwn(OLD_NAMES, name);

const Seconds = Schema.Finite.pipe(Schema.nonNegative());
const Between = Schema.Tuple(Schema.Finite, Schema.Finite);
const or = <A, I>(s: Schema.Schema<A, I>, value: A) => Schema.optionalWith(s, { default: () => value });

const File = Schema.Struct({
  name: Schema.NonEmptyString,
  size: or(Schema.Literal('small', 'grown', 'crowded'), 'small'),
  jobs: or(Schema.Int.pipe(Schema.positive()), 30),
  /** Faults are drawn until then; after it the day has so long to come to its end. */
  troubled_s: or(Seconds, 120),
  quiet_s: or(Seconds, 300),
  /** There is room for all: of each class's largest jobs at least half must begin within four minutes. */
  room: or(Schema.Boolean, false),
  troubles: or(Schema.Array(Schema.Literal(...FLAGS, ...(Object.keys(OLD_NAMES) as OldName[]))), []),
  loss: or(
    Schema.Array(
      Schema.Struct({
        at_s: Between,
        kind: Schema.Literal('all', 'window', 'keys', 'damage', 'copies'),
        since_s: or(Seconds, 0),
        leases: or(Schema.Literal('renewed', 'gone', 'keys stay'), 'renewed'),
        prefix: or(Schema.String, 's/j/a/'),
        /** Of keys: 0.4, unless said; of values: one, unless said. */
        part: or(Schema.NullOr(Schema.Number.pipe(Schema.between(0, 1))), null),
        how: or(Schema.Literal('unreadable', 'older'), 'unreadable'),
        lasts_s: or(Seconds, 0),
        out_s: or(Seconds, 0),
        crash: or(Schema.Literal('none', 'one', 'leader', 'all but one', 'all'), 'none'),
        within_s: or(Between, [0, 0] as const),
        back_s: or(Between, [2, 8] as const),
      }),
    ),
    [],
  ),
  link: or(
    Schema.Array(
      Schema.Struct({
        at_s: Between,
        from: Schema.NonEmptyString,
        to: Schema.NonEmptyString,
        state: Schema.Literal(...LINK_STATES),
        both: or(Schema.Boolean, true),
        lasts_s: Between,
      }),
    ),
    [],
  ),
});

export interface Experiment {
  readonly name: string;
  readonly size: Size;
  readonly jobs: number;
  readonly room: boolean;
  readonly troubledUs: number;
  readonly quietUs: number;
  readonly troubles: Faults;
}

const us = (s: number): number => Math.round(s * 1e6);
const span = (s: readonly [number, number]): [number, number] => [us(s[0]), us(s[1])];

const read = checkedToml(File, { exact: true });

/** Either an experiment or one line that names the field and the reason. */
export const readExperiment = (text: string) => {
  const file = read(text);
  if (file._tag === 'Left') return file;
  const f = file.right;
  const losses = f.loss.map((l): LossPlan => {
    const since = us(l.since_s);
    const loss: Loss =
      l.kind === 'all'
        ? { kind: 'all' }
        : l.kind === 'window'
          ? { kind: 'window', since, leases: l.leases }
          : l.kind === 'keys'
            ? { kind: 'keys', prefix: l.prefix, part: l.part ?? 0.4 }
            : l.kind === 'damage'
              ? { kind: 'damage', prefix: l.prefix, part: l.part, how: l.how }
              : { kind: 'copies', since, lasts: us(l.lasts_s) };
    return {
      at: span(l.at_s),
      loss,
      out: us(l.out_s),
      crash: l.crash,
      within: span(l.within_s),
      back: span(l.back_s),
    };
  });
  const links = f.link.map((k): LinkPlan => ({
    at: span(k.at_s),
    from: k.from,
    to: k.to,
    state: k.state,
    both: k.both,
    lasts: span(k.lasts_s),
  }));
  const experiment: Experiment = {
    name: f.name,
    size: { small: SMALL, grown: GROWN, crowded: LOAD_BURST }[f.size],
    jobs: f.jobs,
    room: f.room,
    troubledUs: us(f.troubled_s),
    quietUs: us(f.quiet_s),
    troubles: {
      ...Object.fromEntries(f.troubles.map((name) => [isOldName(name) ? OLD_NAMES[name] : name, true])),
      losses,
      links,
    },
  };
  return { _tag: 'Right' as const, right: experiment };
};
