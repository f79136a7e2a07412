/**
 * Which controller a worker should send its heartbeats to. Not the leader, if others can forward them: the leader has the most
 * to do, and when it fails or stalls, a worker that talks to another controller loses no time. And none that comes before an
 * unreachable one in the workers' list: a worker that lost both would try them one after the other, 4 s each.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** A worker is redirected at most so often; if it comes back sooner, it is answered. */
const REDIRECT_INTERVAL = seconds(20);

/**
 * Controllers that workers should talk to, as far as this one can tell: those that are reachable and whose successor is, or
 * those that are reachable.
 */
export const eligibleControllers = (
  nodes: readonly string[],
  leader: string,
  isReachable: (node: string) => boolean,
): readonly string[] => {
  const others = nodes.filter((n) => n !== leader && isReachable(n));
  const safe = others.filter((n) => isReachable(nodes[(nodes.indexOf(n) + 1) % nodes.length]!));
  return safe.length > 0 ? safe : others;
};

/** The same worker always gets the same one of the same controllers, and workers spread evenly (rendezvous hashing, FNV-1a). */
export const assignedController = (machine: string, controllers: readonly string[]): string => {
  let best = controllers[0]!;
  let highest = -1;
  for (const controller of controllers) {
    let hash = 2166136261;
    for (const c of `${machine}@${controller}`) hash = Math.imul(hash ^ c.codePointAt(0)!, 16777619) >>> 0;
    // The last letters alone would hardly tell two controllers apart.
    hash = Math.imul(hash ^ (hash >>> 15), 2246822519) >>> 0;
    if (hash > highest) [best, highest] = [controller, hash];
  }
  return best;
};

/** Redirects workers that should talk to another controller. */
export class HeartbeatRouting {
  /** When a worker was redirected last. */
  private readonly redirected = new Map<string, Micros>();

  constructor(
    private readonly self: string,
    private readonly nodes: readonly string[],
  ) {}

  /** The controller that this worker should talk to instead; null: it is answered here. */
  redirect(
    machine: string,
    leader: string | null,
    isReachable: (node: string) => boolean,
    at: Micros,
  ): string | null {
    if (leader === null) return null;
    const controllers = eligibleControllers(this.nodes, leader, (n) => n === this.self || isReachable(n));
    if (controllers.length === 0 || controllers.includes(this.self)) return null;
    const last = this.redirected.get(machine);
    if (last !== undefined && at - last < REDIRECT_INTERVAL) return null;
    this.redirected.set(machine, at);
    return assignedController(machine, controllers);
  }
}
