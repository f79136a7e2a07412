/**
 * The machines that a job may use, best first, kept up while a cycle changes their rooms: a search for the next task costs
 * by what has changed since the last one, not by how many machines there are.
 */
import type { NodeState } from './cluster-capacity.js';

export interface WeighedNode {
  readonly n: NodeState;
  /** Smaller is better; of equal ones the machine with the smaller index. */
  readonly score: number;
}

const before = (a: WeighedNode, b: WeighedNode): boolean =>
  a.score < b.score || (a.score === b.score && a.n.index < b.n.index);

export class NodeRanking<T extends WeighedNode> {
  /** A binary heap; of a machine that was weighed again the older entries are stale. */
  private readonly heap: T[] = [];
  /** By a machine's index, its latest entry; undefined: it has no place for the task. */
  private readonly current: (T | undefined)[] = [];
  /** How many of the changes have been taken in. */
  private seen: number;

  /**
   * `first`: the machines that have a place as of so many changes; others may come to have one. `allowed`: by a machine's
   * index, whether it may be used. `touched` grows by a machine whenever its rooms change. `weigh`: null where the machine
   * has no place.
   */
  constructor(
    first: { readonly list: readonly NodeState[]; readonly asOf: number },
    private readonly allowed: Uint8Array,
    private readonly touched: readonly NodeState[],
    private readonly weigh: (n: NodeState) => T | null,
  ) {
    this.seen = first.asOf;
    for (const n of first.list) this.take(n);
  }

  /** The best machine as things stand; null: none has a place. */
  best(): T | null {
    for (; this.seen < this.touched.length; this.seen++) {
      const n = this.touched[this.seen]!;
      if (this.allowed[n.index] === 1) this.take(n);
    }
    while (this.heap.length > 0) {
      const first = this.heap[0]!;
      if (this.current[first.n.index] === first) return first;
      this.pop();
    }
    return null;
  }

  private take(n: NodeState): void {
    const weighed = this.weigh(n);
    this.current[n.index] = weighed ?? undefined;
    if (weighed !== null) this.push(weighed);
  }

  private push(entry: T): void {
    const { heap } = this;
    let place = heap.length;
    heap.push(entry);
    while (place > 0) {
      const above = (place - 1) >> 1;
      if (!before(entry, heap[above]!)) break;
      heap[place] = heap[above]!;
      place = above;
    }
    heap[place] = entry;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!)) child++;
      if (!before(heap[child]!, last)) break;
      heap[place] = heap[child]!;
      place = child;
    }
    heap[place] = last;
  }
}
