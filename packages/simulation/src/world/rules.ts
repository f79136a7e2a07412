/** Checks the rules of the protocol against every event of a simulated day, and collects their violations. */
import type { Fact, Process } from './memory.js';

/** Which controllers contributed to a response, for rules that depend on what controllers still know after a data loss. */
export interface Observation {
  /** Records that the response confirmed the acceptance or the cancellation of a job. */
  readonly fact: Fact;
  /** Records that the response reported the job as completed. */
  readonly end: Fact;
  /** The controllers that the response may depend on; see memory.ts. */
  readonly present: ReadonlySet<Process>;
  /**
   * The latest state that users had received for the job when the request began. Responses received since may be newer
   * than this one.
   */
  readonly known?: KnownState;
}
/** The latest state of a job that any user has received. */
export interface KnownState {
  readonly state: 'accepted' | 'done' | 'aborted' | undefined;
  /** Number of completed tasks. */
  readonly done: number;
}

/** A violation that is dropped if every controller that had to know the contradicted fact was lost. */
export interface UnconfirmedViolation {
  /** The name of the rule and a description of the violation. */
  readonly what: string;
  /** The facts that the response contradicts, or that the controllers did not act on. */
  readonly facts: readonly Fact[];
  /** Time of the violation, in microseconds. */
  readonly at: number;
  /** The controllers that the response may depend on. */
  readonly present: ReadonlySet<Process>;
}

/** What a job requests: its size, and the constraints on its machines. */
export interface JobRequirements {
  readonly id: string;
  readonly team: string;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
}
/** A machine's id and the properties that placement constraints refer to. */
export interface MachineInfo {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/**
 * Rules that are not checked on days on which no leader survived a data loss: the workers' knowledge may be lost as well.
 */
export const KNOWLEDGE_DEPENDENT_RULES = /^(not_done|retied|said_twice|older_calendar|calendars_differ)/;

/**
 * Maximum time without a response to any poll for a job, in microseconds, once all faults have ended. A job that goes
 * unanswered for longer counts as forgotten.
 */
export const MAX_SILENCE = 75e6;

/** Tracks the responses that users receive and what machines do, and records each violation of the protocol. */
export class Rules {
  /** Confirmed violations: the name of the rule, a colon and a description. */
  readonly violations: string[] = [];
  /** Violations to confirm or drop once it is known which controllers survived the data losses; see memory.ts. */
  readonly unconfirmedViolations: UnconfirmedViolation[] = [];
  /**
   * The first and the latest response that reported a fact. The key is the job's id and `accepted`, `done`, `aborted` or
   * the number of completed tasks.
   */
  private readonly facts = new Map<string, Fact[]>();
  /** By job id. */
  readonly specs = new Map<string, JobRequirements>();
  /** By task: the machines that hold it, by id. */
  private readonly placements = new Map<string, Map<string, MachineInfo>>();
  /** By job id: the numbers of its completed tasks. */
  readonly completed = new Map<string, Set<number>>();
  /** By job id: the latest state that a user has received. */
  private readonly latestState = new Map<string, 'accepted' | 'done' | 'aborted'>();
  /** Ids of the jobs whose cancellation was requested. */
  private readonly cancelRequests = new Set<string>();
  /** By job id: when its cancellation was first confirmed. */
  private readonly cancelledAt = new Map<string, number>();
  /** By task and attempt: the machine that was ordered to run it. */
  private readonly attempts = new Map<string, string>();
  /** By name of a rental request: the machines that it asked for. */
  private readonly rentals = new Map<string, string>();
  /** By job id: the number of completed tasks in the latest response. */
  private readonly reportedCompleted = new Map<string, number>();
  /** By job id: when a poll was last answered, or first sent if none has been answered. */
  private readonly answeredAt = new Map<string, number>();
  /** When the last known fault ends, in microseconds. */
  disruptedUntil = 0;
  /** The longest time that a job went without an answered poll after `disruptedUntil`, in microseconds. */
  longestSilence = 0;
  /** Number of task starts. */
  started = 0;
  /** Time of the latest task start, in microseconds. */
  startedAt = 0;

  /** Called when a task occupies a machine, with its image loaded. */
  onStart: (task: string, machine: string) => void = () => undefined;
  /** Called when a task has completed. */
  onComplete: (task: string) => void = () => undefined;
  /** Called when a machine has executed the order to start a task. */
  onOrdered: (task: string) => void = () => undefined;

  /** `cancelWithin`: how long tasks may keep running after a confirmed cancellation, in microseconds. */
  constructor(
    private readonly cancelWithin: number,
    private readonly limits: Record<string, { cpus: number; gpus: number }>,
  ) {}

  private recordViolation(rule: string, what: string): void {
    this.violations.push(`${rule}: ${what}`);
  }

  /** Records that the state service rejected a transaction for good; a reason that repeats is recorded once. */
  recordRejectedTransaction(reason: string): void {
    const violation = `transaction_rejected: ${reason}`;
    if (!this.violations.includes(violation)) this.violations.push(violation);
  }

  /**
   * Records that a response contradicts the fact stored under `factKey`. The violation stays unconfirmed where it is known
   * which controllers reported that fact.
   */
  private recordContradiction(
    rule: string,
    text: string,
    factKey: string,
    now: number,
    got: Observation | undefined,
  ): void {
    const facts = this.facts.get(factKey);
    if (got === undefined || facts === undefined) return this.recordViolation(rule, text);
    this.unconfirmedViolations.push({ what: `${rule}: ${text}`, facts, at: now, present: got.present });
  }

  private recordFact(factKey: string, fact: Fact | undefined): void {
    if (fact === undefined) return;
    const [first] = this.facts.get(factKey) ?? [];
    this.facts.set(factKey, first ? [first, fact] : [fact]);
  }

  /** The responses that reported the job as accepted. */
  acceptanceFacts(id: string): readonly Fact[] {
    return this.facts.get(`${id} accepted`) ?? [];
  }

  /** Records that a task occupies a machine from now on, and checks where it runs and the limit of its team. */
  start(task: string, machine: MachineInfo, now: number): void {
    this.started++;
    this.startedAt = now;
    const jobId = task.slice(0, task.indexOf('/'));
    const spec = this.specs.get(jobId);
    const machines = this.placements.get(task) ?? new Map<string, MachineInfo>();
    if ([...machines.keys()].some((id) => id !== machine.id))
      this.recordViolation(
        'ran_twice',
        `${task} on ${[...machines.keys()].join()} and ${machine.id} at ${now}`,
      );
    if (spec) {
      if (spec.types && !spec.types.includes(machine.type))
        this.recordViolation('wrong_place', `${task} on type ${machine.type}`);
      if (spec.zone !== null && spec.zone !== machine.zone)
        this.recordViolation('wrong_place', `${task} in ${machine.zone}`);
      if (machine.spot && !spec.spot) this.recordViolation('wrong_place', `${task} on a spot machine`);
      const zones = new Map<string, number>([[machine.zone, 1]]);
      for (let i = 0; i < spec.tasks; i++) {
        const sibling = `${jobId}/${i}`;
        if (sibling === task) continue;
        for (const other of this.placements.get(sibling)?.values() ?? [])
          zones.set(other.zone, (zones.get(other.zone) ?? 0) + 1);
      }
      if (spec.oneZone && zones.size > 1)
        this.recordViolation(
          'wrong_place',
          `${task}: tasks of a one-zone job in zones ${[...zones.keys()].join()}`,
        );
      if (spec.spread && zones.get(machine.zone)! > Math.ceil(spec.tasks / 2))
        this.recordViolation(
          'wrong_place',
          `${task}: more than half of the tasks of a job that must spread over zones are in ${machine.zone}`,
        );
    }
    machines.set(machine.id, machine);
    this.placements.set(task, machines);
    this.onStart(task, machine.id);
    this.check(now);
    if (spec) {
      const limit = this.limits[spec.team];
      if (limit) {
        let cpus = 0;
        for (const [placedTask, taskMachines] of this.placements) {
          const other = this.specs.get(placedTask.slice(0, placedTask.indexOf('/')));
          if (other?.team === spec.team) cpus += other.cpus * taskMachines.size;
        }
        if (limit.cpus > 0 && cpus > limit.cpus + 1e-6)
          this.recordViolation('quota', `team ${spec.team} uses ${cpus} CPUs, which is more than its limit`);
      }
    }
  }

  /** Whether any task of the job occupies a machine. */
  hasPlacedTask(id: string): boolean {
    for (const task of this.placements.keys()) if (task.startsWith(`${id}/`)) return true;
    return false;
  }

  /** Whether the task occupies a machine. */
  isPlaced(task: string): boolean {
    return this.placements.has(task);
  }

  /** Records that the task no longer occupies the machine. */
  leave(task: string, machine: string): void {
    const machines = this.placements.get(task);
    machines?.delete(machine);
    if (machines?.size === 0) this.placements.delete(task);
  }

  /** Records a start order. An attempt number never goes to two machines, not even after a data loss. */
  ordered(task: string, attempt: number, machine: string): void {
    this.onOrdered(task);
    const key = `${task}#${attempt}`;
    const earlier = this.attempts.get(key);
    if (earlier !== undefined && earlier !== machine)
      this.recordViolation('attempt_reused', `${key} on ${earlier} and ${machine}`);
    this.attempts.set(key, machine);
  }

  /** Records a rental request. A name is never used again for a request of other machines. */
  rented(name: string, what: string): void {
    const earlier = this.rentals.get(name);
    if (earlier !== undefined && earlier !== what)
      this.recordViolation('hire_reused', `${name} for ${earlier} and ${what}`);
    this.rentals.set(name, what);
  }

  /** Records that the task has completed its work. */
  complete(task: string): void {
    const separator = task.indexOf('/');
    const id = task.slice(0, separator);
    const numbers = this.completed.get(id) ?? new Set<number>();
    numbers.add(Number(task.slice(separator + 1)));
    this.completed.set(id, numbers);
    this.onComplete(task);
  }

  /** Whether a user has requested the job's cancellation. */
  isCancelRequested(id: string): boolean {
    return this.cancelRequests.has(id);
  }

  /** Records that a user requests the job's cancellation. */
  requestCancel(id: string): void {
    this.cancelRequests.add(id);
  }

  /** The latest state of the job that any user has received. */
  knownState(id: string): KnownState {
    return { state: this.latestState.get(id), done: this.reportedCompleted.get(id) ?? 0 };
  }

  /** Checks a response to a submission. `status`: the HTTP status. */
  checkSubmission(id: string, status: number, now: number, got?: Observation): void {
    if (status === 200 || status === 201) {
      if (!this.latestState.has(id)) this.latestState.set(id, 'accepted');
      this.recordFact(`${id} accepted`, got?.fact);
    } else if (this.latestState.has(id) && (status === 400 || status === 422))
      this.recordContradiction(
        'forgotten',
        `submission of ${id} rejected with ${status} after it was accepted, at ${now}`,
        `${id} accepted`,
        now,
        got,
      );
  }

  /** Checks a response to a poll or a cancellation. `done`: the number of completed tasks that it reports. */
  checkStatus(
    id: string,
    status: number,
    state: string | undefined,
    now: number,
    done?: number,
    got?: Observation,
  ): void {
    const last = this.latestState.get(id);
    const known = got?.known ?? this.knownState(id);
    // Responses to overlapping requests may arrive in either order. Two different final states are a violation in any order.
    const before = state === 'done' || state === 'aborted' ? last : known.state;
    if (status === 404 && before) {
      const reported = before === 'accepted' ? 'accepted' : before;
      this.recordContradiction('forgotten', `${id} at ${now}`, `${id} ${reported}`, now, got);
    }
    if (status === 200 && !this.specs.has(id)) this.recordViolation('invented', id);
    if (status !== 200) return;
    if ((before === 'done' || before === 'aborted') && state !== before)
      this.recordContradiction(
        'went_back',
        `${id} from ${before} to ${state} at ${now}`,
        `${id} ${before}`,
        now,
        got,
      );
    const doneBefore = known.done;
    if (done !== undefined && done < doneBefore) {
      const text = `${id}: ${done} tasks completed after ${doneBefore} had been reported, at ${now}`;
      this.recordContradiction('older_answer', text, `${id} ${doneBefore}`, now, got);
    }
    if (done !== undefined) {
      const newest = this.reportedCompleted.get(id) ?? 0;
      // The request may have begun before the newest count was reported, so the response does not lower that count.
      this.reportedCompleted.set(id, newest === known.done ? done : Math.max(done, newest));
      // A count of completed tasks is known only to the responding controller and to those that have read it.
      this.recordFact(`${id} ${done}`, got && { ...got.fact, reached: [] });
    }
    if (state === 'aborted' && !this.cancelRequests.has(id))
      this.recordViolation('went_back', `${id} aborted without a cancellation request`);
    if (state === 'done') {
      if ((this.completed.get(id)?.size ?? 0) < (this.specs.get(id)?.tasks ?? 0))
        this.recordViolation('not_done', `${id} at ${now}`);
      this.latestState.set(id, 'done');
    } else if (state === 'aborted') {
      if (last !== 'aborted') this.cancelledAt.set(id, now);
      this.latestState.set(id, 'aborted');
    } else if (!last) this.latestState.set(id, 'accepted');
    if (state === 'done') this.recordFact(`${id} done`, got?.end);
    else if (state === 'aborted') this.recordFact(`${id} aborted`, got?.fact);
  }

  /**
   * Records the outcome of a poll for an accepted job. `answered`: whether a usable response arrived within the user's
   * time limit; false also for a rejection or a reset connection.
   */
  recordPoll(id: string, answered: boolean, now: number): void {
    const since = Math.max(this.answeredAt.get(id) ?? now, this.disruptedUntil);
    this.longestSilence = Math.max(this.longestSilence, now - since);
    if (!answered && now - since > MAX_SILENCE)
      this.recordViolation('unanswered', `${id} for ${Math.round((now - since) / 1e6)} s at ${now}`);
    if (answered || !this.answeredAt.has(id)) this.answeredAt.set(id, now);
  }

  /** The latest state of the job that a user has received; undefined if its acceptance was never confirmed. */
  state(id: string): string | undefined {
    return this.latestState.get(id);
  }

  /** Whether a user has received a confirmation that the job was accepted. */
  isAcceptanceConfirmed(id: string): boolean {
    return this.latestState.has(id);
  }

  /** Checks that tasks of cancelled jobs end in time. Called after every event of the simulation. */
  check(now: number): void {
    if (this.cancelledAt.size === 0) return;
    for (const task of this.placements.keys()) {
      const cancelledAt = this.cancelledAt.get(task.slice(0, task.indexOf('/')));
      if (cancelledAt === undefined || now - cancelledAt <= this.cancelWithin) continue;
      const id = task.slice(0, task.indexOf('/'));
      this.cancelledAt.delete(id);
      const facts = this.facts.get(`${id} aborted`);
      if (facts === undefined) this.recordViolation('ran_cancelled', `${task} at ${now}`);
      else
        this.unconfirmedViolations.push({
          what: `ran_cancelled: ${task} at ${now}`,
          facts,
          at: now,
          present: new Set(),
        });
    }
  }
}
