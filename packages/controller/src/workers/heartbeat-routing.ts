/**
 * Which node a worker should report to. Not the leader, if others can pass its reports on: the leader has the most
 * to do, and when it ends or stands still, a worker that talks to another node loses no time. And no node that stands
 * before one that is gone in the workers' list: a worker that lost both would try them one after the other, 4 s each.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** A worker is sent elsewhere at most so often; if it comes back sooner, it is answered. */
const AGAIN = seconds(20);

/** Nodes to report to, as far as this node can tell: those that answer and whose successor does, or those that answer. */
export const goodPlaces = (
  nodes: readonly string[],
  leader: string,
  answers: (node: string) => boolean,
): readonly string[] => {
  const others = nodes.filter((n) => n !== leader && answers(n));
  const safe = others.filter((n) => answers(nodes[(nodes.indexOf(n) + 1) % nodes.length]!));
  return safe.length > 0 ? safe : others;
};

/** The same worker always gets the same place among the same nodes, and workers spread evenly. */
export const placeOf = (machine: string, places: readonly string[]): string => {
  let best = places[0]!;
  let most = -1;
  for (const p of places) {
    let h = 2166136261;
    for (const c of `${machine}@${p}`) h = Math.imul(h ^ c.codePointAt(0)!, 16777619) >>> 0;
    // The last letters alone would hardly tell two nodes apart.
    h = Math.imul(h ^ (h >>> 15), 2246822519) >>> 0;
    if (h > most) [best, most] = [p, h];
  }
  return best;
};

export class HeartbeatRouting {
  private readonly sent = new Map<string, Micros>();

  constructor(
    private readonly self: string,
    private readonly nodes: readonly string[],
  ) {}

  /** Where this worker should go instead; null: it is answered here. */
  elsewhere(
    machine: string,
    leader: string | null,
    answers: (node: string) => boolean,
    at: Micros,
  ): string | null {
    if (leader === null) return null;
    const places = goodPlaces(this.nodes, leader, (n) => n === this.self || answers(n));
    if (places.length === 0 || places.includes(this.self)) return null;
    const last = this.sent.get(machine);
    if (last !== undefined && at - last < AGAIN) return null;
    this.sent.set(machine, at);
    return placeOf(machine, places);
  }
}
