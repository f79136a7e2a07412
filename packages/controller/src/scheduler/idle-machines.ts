/**
 * Selects the GPU machines in excess of the demand. GPU machines cost many times as much as others, and a single task on
 * each would keep all of them rented. When the free GPUs exceed the waiting tasks' demand and a reserve, the least used
 * machines are given no more low-urgency work without GPUs and are chosen last for other work, so that they become idle
 * and are returned.
 */
import type { PlacedTask, MachineView, QueuedJob } from './model.js';

/** GPUs kept free for future jobs, as a fraction of the GPUs in use. */
const RESERVE_RATIO = 0.2;

/** Returns the ids of the GPU machines in excess of the demand, the least used first. */
export const findIdleMachines = (
  machines: readonly MachineView[],
  placedTasks: readonly PlacedTask[],
  queued: readonly QueuedJob[],
): Set<string> => {
  const gpusUsed = new Map<string, number>();
  for (const placed of placedTasks)
    gpusUsed.set(placed.machine, (gpusUsed.get(placed.machine) ?? 0) + placed.job.spec.gpus);
  const waitingGpus = queued.reduce((sum, item) => sum + item.job.spec.gpus * item.tasks.length, 0);
  const gpuMachines = machines.filter((machine) => machine.total[1] > 0 && machine.open);
  const gpusInUse = gpuMachines.reduce((sum, machine) => sum + (gpusUsed.get(machine.id) ?? 0), 0);
  const largest = Math.max(0, ...gpuMachines.map((machine) => machine.total[1]));
  let freeGpus = gpuMachines.reduce((sum, machine) => sum + machine.total[1], 0) - gpusInUse - waitingGpus;
  const reserve = Math.max(largest, Math.ceil(RESERVE_RATIO * gpusInUse));
  const idle = new Set<string>();
  const leastUsedFirst = [...gpuMachines].sort(
    (a, b) => (gpusUsed.get(a.id) ?? 0) - (gpusUsed.get(b.id) ?? 0) || (a.id < b.id ? 1 : -1),
  );
  for (const machine of leastUsedFirst) {
    const unused = machine.total[1] - (gpusUsed.get(machine.id) ?? 0);
    if (freeGpus - unused < reserve) break;
    // Tasks that still run on the machine need no other one: they are not stopped.
    freeGpus -= machine.total[1];
    idle.add(machine.id);
  }
  return idle;
};
