/**
 * Priority queue of teams in a refill: the team whose weighted dominant share would be smallest with the next item of its
 * queue placed is served first. A binary heap, since thousands of items of dozens of teams are served in a cycle.
 */

/** A team in the priority queue. */
export interface OrderedTeam {
  /** Share of the team with the next item of its queue placed; a team with an infinite share is not served. */
  share: number;
  /** Of two teams with equal shares, the one with the smaller rank is served first. */
  readonly rank: number;
  /** Index of the team in the heap; -1 if the team is not in the heap. */
  heapIndex: number;
}

const isBefore = (a: OrderedTeam, b: OrderedTeam): boolean =>
  a.share < b.share || (a.share === b.share && a.rank < b.rank);

/** The teams with waiting items, ordered by share. */
export class TeamOrder<T extends OrderedTeam> {
  private readonly heap: T[] = [];

  /** Returns the team to serve next; null if no team has items left. */
  first(): T | null {
    return this.heap[0] ?? null;
  }

  /** Moves the team to its place after a change of its share; removes it if the share is infinite. */
  update(team: T): void {
    const hasItems = team.share < Number.POSITIVE_INFINITY;
    if (team.heapIndex < 0) {
      if (!hasItems) return;
      team.heapIndex = this.heap.length;
      this.heap.push(team);
    } else if (!hasItems) {
      this.remove(team);
      return;
    }
    this.restoreOrder(team);
  }

  private remove(team: T): void {
    const { heapIndex } = team;
    const last = this.heap.pop()!;
    team.heapIndex = -1;
    if (last === team) return;
    this.put(last, heapIndex);
    this.restoreOrder(last);
  }

  private put(team: T, heapIndex: number): void {
    this.heap[heapIndex] = team;
    team.heapIndex = heapIndex;
  }

  private restoreOrder(team: T): void {
    this.siftUp(team);
    this.siftDown(team);
  }

  private siftUp(team: T): void {
    let { heapIndex } = team;
    while (heapIndex > 0) {
      const parentIndex = (heapIndex - 1) >> 1;
      const parent = this.heap[parentIndex]!;
      if (!isBefore(team, parent)) break;
      this.put(parent, heapIndex);
      heapIndex = parentIndex;
    }
    this.put(team, heapIndex);
  }

  private siftDown(team: T): void {
    let { heapIndex } = team;
    for (;;) {
      const leftIndex = 2 * heapIndex + 1;
      const rightIndex = leftIndex + 1;
      let child = this.heap[leftIndex];
      if (child === undefined) break;
      const rightChild = this.heap[rightIndex];
      let childIndex = leftIndex;
      if (rightChild !== undefined && isBefore(rightChild, child)) {
        child = rightChild;
        childIndex = rightIndex;
      }
      if (!isBefore(child, team)) break;
      this.put(child, heapIndex);
      heapIndex = childIndex;
    }
    this.put(team, heapIndex);
  }
}
