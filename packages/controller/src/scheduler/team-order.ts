/**
 * The order of teams in a refill: the team whose weighted dominant share would be smallest with the next of its queue
 * placed comes first. A binary heap, since thousands of items of dozens of teams pass through a cycle.
 */

export interface OrderedTeam {
  /** Its share with the next of its queue placed; a team whose share is not below infinity is not served. */
  share: number;
  /** Of two teams with equal shares the one with the smaller rank comes first. */
  readonly rank: number;
  /** Its place in the heap; -1: it is not in it. */
  place: number;
}

const before = (a: OrderedTeam, b: OrderedTeam): boolean =>
  a.share < b.share || (a.share === b.share && a.rank < b.rank);

export class TeamOrder<T extends OrderedTeam> {
  private readonly heap: T[] = [];

  /** null: no team has anything left. */
  first(): T | null {
    return this.heap[0] ?? null;
  }

  /** The team's share has changed; one without anything left has an infinite one. */
  update(team: T): void {
    const served = team.share < Number.POSITIVE_INFINITY;
    if (team.place < 0) {
      if (!served) return;
      team.place = this.heap.length;
      this.heap.push(team);
    } else if (!served) {
      this.remove(team);
      return;
    }
    this.settle(team);
  }

  private remove(team: T): void {
    const { place } = team;
    const last = this.heap.pop()!;
    team.place = -1;
    if (last === team) return;
    this.put(last, place);
    this.settle(last);
  }

  private put(team: T, place: number): void {
    this.heap[place] = team;
    team.place = place;
  }

  private settle(team: T): void {
    this.rise(team);
    this.sink(team);
  }

  private rise(team: T): void {
    let { place } = team;
    while (place > 0) {
      const above = (place - 1) >> 1;
      const parent = this.heap[above]!;
      if (!before(team, parent)) break;
      this.put(parent, place);
      place = above;
    }
    this.put(team, place);
  }

  private sink(team: T): void {
    let { place } = team;
    for (;;) {
      const left = 2 * place + 1;
      const right = left + 1;
      let child = this.heap[left];
      if (child === undefined) break;
      const other = this.heap[right];
      let below = left;
      if (other !== undefined && before(other, child)) {
        child = other;
        below = right;
      }
      if (!before(child, team)) break;
      this.put(child, place);
      place = below;
    }
    this.put(team, place);
  }
}
