/**
 * Keeps the machines that a job may use ranked by score while a cycle changes their resources: the cost of finding a machine
 * for the next task depends on the changes since the last task, not on the number of machines.
 */
import type { MachineState } from './cluster-capacity.js';

/** A machine with its score for a task. */
export interface ScoredMachine {
  readonly machine: MachineState;
  /** Smaller is better; of machines with equal scores the one with the smaller index is better. */
  readonly score: number;
}

const isBetter = (a: ScoredMachine, b: ScoredMachine): boolean =>
  a.score < b.score || (a.score === b.score && a.machine.index < b.machine.index);

/** Machines ranked for the tasks of one job. */
export class MachineRanking<T extends ScoredMachine> {
  /** A binary heap. The older entries of a machine that was scored again are stale. */
  private readonly heap: T[] = [];
  /** The latest entry by machine index; undefined: the task does not fit on the machine. */
  private readonly current: (T | undefined)[] = [];
  /** Number of entries of `changes` that have been processed. */
  private processedChanges: number;

  /**
   * `initial`: the machines on which tasks may fit after the first `changeCount` changes; the task may come to fit on others
   * by later changes. `allowed`: by machine index, whether the job may use the machine. `changes`: a growing list with a
   * machine added whenever its resources change. `scoreMachine`: returns null if the task does not fit on the machine.
   */
  constructor(
    initial: { readonly machines: readonly MachineState[]; readonly changeCount: number },
    private readonly allowed: Uint8Array,
    private readonly changes: readonly MachineState[],
    private readonly scoreMachine: (machine: MachineState) => T | null,
  ) {
    this.processedChanges = initial.changeCount;
    for (const machine of initial.machines) this.rescore(machine);
  }

  /** Returns the best machine after all changes so far; null if the task fits on none. */
  best(): T | null {
    for (; this.processedChanges < this.changes.length; this.processedChanges++) {
      const machine = this.changes[this.processedChanges]!;
      if (this.allowed[machine.index] === 1) this.rescore(machine);
    }
    while (this.heap.length > 0) {
      const first = this.heap[0]!;
      if (this.current[first.machine.index] === first) return first;
      this.pop();
    }
    return null;
  }

  private rescore(machine: MachineState): void {
    const scored = this.scoreMachine(machine);
    this.current[machine.index] = scored ?? undefined;
    if (scored !== null) this.push(scored);
  }

  private push(entry: T): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBetter(entry, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBetter(heap[child + 1]!, heap[child]!)) child++;
      if (!isBetter(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}
