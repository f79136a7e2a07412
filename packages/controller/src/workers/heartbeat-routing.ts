/**
 * Decides which controller a worker should send its heartbeats to. Followers are preferred over the leader: the
 * leader has the most work, and a worker that talks to a follower loses no time when the leader fails or stalls. A
 * controller whose successor in the workers' list is unreachable is avoided: if that controller failed too, the
 * worker would try both in sequence, with a timeout of 4 s each.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** Minimum time between two redirects of a worker. A worker that returns sooner is served. */
const REDIRECT_INTERVAL = seconds(20);

/**
 * Controllers that workers should talk to, as seen by this one: the reachable followers whose successor is
 * reachable too, or all reachable followers if there are no such.
 */
export const eligibleControllers = (
  controllers: readonly string[],
  leader: string,
  isReachable: (controller: string) => boolean,
): readonly string[] => {
  const candidates = controllers.filter((controller) => controller !== leader && isReachable(controller));
  const withReachableSuccessor = candidates.filter((controller) =>
    isReachable(controllers[(controllers.indexOf(controller) + 1) % controllers.length]!),
  );
  return withReachableSuccessor.length > 0 ? withReachableSuccessor : candidates;
};

/**
 * Assigns a machine to one of the controllers by rendezvous hashing (FNV-1a): the same list always yields the same
 * controller, and machines are spread evenly.
 */
export const assignedController = (machine: string, controllers: readonly string[]): string => {
  let best = controllers[0]!;
  let highest = -1;
  for (const controller of controllers) {
    let hash = 2166136261;
    for (const character of `${machine}@${controller}`)
      hash = Math.imul(hash ^ character.codePointAt(0)!, 16777619) >>> 0;
    // Without a final mixing step, two controllers that differ in their last letters only would get similar
    // hashes.
    hash = Math.imul(hash ^ (hash >>> 15), 2246822519) >>> 0;
    if (hash > highest) [best, highest] = [controller, hash];
  }
  return best;
};

/** Redirects workers to the controllers that they should talk to. */
export class HeartbeatRouting {
  /** By machine: the time of its last redirect. */
  private readonly lastRedirects = new Map<string, Micros>();

  constructor(
    private readonly self: string,
    private readonly controllers: readonly string[],
  ) {}

  /** The controller that the worker should talk to instead; null if this controller should serve it. */
  redirect(
    machine: string,
    leader: string | null,
    isReachable: (controller: string) => boolean,
    at: Micros,
  ): string | null {
    if (leader === null) return null;
    const controllers = eligibleControllers(
      this.controllers,
      leader,
      (controller) => controller === this.self || isReachable(controller),
    );
    if (controllers.length === 0 || controllers.includes(this.self)) return null;
    const lastRedirect = this.lastRedirects.get(machine);
    if (lastRedirect !== undefined && at - lastRedirect < REDIRECT_INTERVAL) return null;
    this.lastRedirects.set(machine, at);
    return assignedController(machine, controllers);
  }
}
