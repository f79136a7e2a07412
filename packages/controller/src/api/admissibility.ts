/** Checks whether a job could ever run on this deployment. Pure functions. */
import type { JobSpec } from '../jobs/model.js';
import { canBeStored } from '../jobs/stored-size.js';
import type { MachineType } from '../provisioning/model.js';
import type { Settings } from '../settings/settings.js';

/** Tolerance for sums of decimal fractions, in CPUs, GPUs or GB. */
const EPSILON = 1e-9;

/**
 * Returns the reason why a job can never run on this deployment, or null. If the machine types are not known
 * (null), only the conditions that do not depend on them are checked.
 */
export const rejectionReason = (
  spec: JobSpec,
  settings: Settings,
  types: readonly MachineType[] | null,
): string | null => {
  const team = settings.teams.find((candidate) => candidate.name === spec.team);
  if (!team) return 'unknown team';
  if (exceedsLimit(spec, team.limit)) return 'needs more than the limit of its team';
  // All tasks of a gang run at the same time, and no zone may hold more than half of them; a gang that contradicts
  // this would wait forever. Arrays and services run with as many tasks as can be placed.
  const mustSpread = spec.shape === 'gang' && spec.spread && spec.tasks > 1;
  if (mustSpread && (spec.oneZone || spec.zone !== null)) return 'a gang of one zone may not be in one zone';
  if (types === null) return null;
  const zones = zonesThatFit(spec, types);
  if (zones.size === 0) return 'a task fits no allowed machine type';
  if (mustSpread && zones.size === 1)
    return 'only one zone offers what fits, and a gang may not be in one zone';
  return null;
};

/** Whether the tasks that must run at the same time exceed the team's limit; a limit of 0 means no limit. */
const exceedsLimit = (spec: JobSpec, limit: { readonly cpus: number; readonly gpus: number }): boolean => {
  const atOnce = spec.shape === 'array' ? 1 : spec.tasks;
  return (
    (limit.cpus > 0 && spec.cpus * atOnce > limit.cpus + EPSILON) ||
    (limit.gpus > 0 && spec.gpus * atOnce > limit.gpus + EPSILON)
  );
};

const fitsType = (spec: JobSpec, type: MachineType): boolean =>
  (spec.types === null || spec.types.includes(type.name)) &&
  spec.cpus <= type.cpus + EPSILON &&
  spec.gpus <= type.gpus + EPSILON &&
  spec.memGb <= type.memGb + EPSILON;

/** Zones that offer a machine type on which a task fits. A type that no zone offers cannot be rented. */
const zonesThatFit = (spec: JobSpec, types: readonly MachineType[]): ReadonlySet<string> =>
  new Set(
    types
      .filter((type) => fitsType(spec, type))
      .flatMap((type) => (spec.zone === null ? type.zones : type.zones.filter((zone) => zone === spec.zone))),
  );

/** Returns the number of the job's tasks that a machine of this type can run at once. */
const tasksPerMachine = (spec: JobSpec, type: MachineType): number => {
  const perResource = (needed: number, available: number): number =>
    needed > 0 ? Math.floor((available + EPSILON) / needed) : spec.tasks;
  return Math.min(
    perResource(spec.cpus, type.cpus),
    perResource(spec.gpus, type.gpus),
    perResource(spec.memGb, type.memGb),
  );
};

/** Whether the state service can hold the job and `tasks` of its tasks at the same time in a value of `maxBytes`. */
export const isStorable = (
  spec: JobSpec,
  tasks: number,
  types: readonly MachineType[],
  maxBytes: number,
): boolean => {
  const perMachine = types.filter((type) => fitsType(spec, type)).map((type) => tasksPerMachine(spec, type));
  return canBeStored(spec, tasks, Math.max(1, ...perMachine), maxBytes);
};
