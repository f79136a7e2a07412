/** The protocol's rules, checked as things happen. */
import type { Fact, Process } from './memory.js';

/** What a user got, and from whom, for rules that rest on what controllers remember. */
export interface Observation {
  /** As a job's acceptance or withdrawal is told, and as its end is. */
  readonly fact: Fact;
  readonly end: Fact;
  /** Who had a say in it; see memory.ts. */
  readonly present: ReadonlySet<Process>;
  /** What had been told of the job when its request began: what was told since may be newer. */
  readonly known?: Known;
}
export interface Known {
  readonly told: 'accepted' | 'done' | 'aborted' | undefined;
  /** Tasks done. */
  readonly done: number;
}

/** A rule broken, unless what had been told before was lost with all who were promised to know it. */
export interface Doubtful {
  readonly what: string;
  readonly facts: readonly Fact[];
  readonly at: number;
  readonly present: ReadonlySet<Process>;
}

export interface Spec {
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
export interface Place {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Rules that can't be asked of a day on which nobody who led lived through a loss: what workers knew may be lost too. */
export const BY_MEMORY = /^(not_done|retied|said_twice|older_calendar|calendars_differ)/;

/** Once all faults are over, a job counts as forgotten when no question about it is answered for so long. */
export const FORGOTTEN_AFTER = 75e6;

export class Rules {
  readonly broken: string[] = [];
  /** To be decided once it is known who lives on; see memory.ts. */
  readonly doubtful: Doubtful[] = [];
  /** What was told of each job, as accepted, done, cancelled, or so many tasks done: the first and the last time. */
  private readonly facts = new Map<string, Fact[]>();
  readonly specs = new Map<string, Spec>();
  /** task -> machines it is on. */
  private readonly on = new Map<string, Map<string, Place>>();
  readonly completed = new Map<string, Set<number>>();
  private readonly told = new Map<string, 'accepted' | 'done' | 'aborted'>();
  private readonly asked = new Set<string>();
  private readonly cancelledAt = new Map<string, number>();
  private readonly attempts = new Map<string, string>();
  private readonly hires = new Map<string, string>();
  /** Tasks done, as last told. */
  private readonly doneTold = new Map<string, number>();
  /** When each accepted job's polls were last answered, or first asked. */
  private readonly heardAt = new Map<string, number>();
  /** When the last fault known of is over. */
  quiescentAt = 0;
  /** The longest that a job went without an answered poll after that. */
  silence = 0;
  started = 0;
  /** When the last one was. */
  startedAt = 0;

  /** A task has its image and is on a machine. */
  onStart: (task: string, machine: string) => void = () => undefined;
  /** A task has completed. */
  onComplete: (task: string) => void = () => undefined;
  /** A machine has executed the order to start a task. */
  onOrdered: (task: string) => void = () => undefined;

  constructor(
    private readonly cancelWithin: number,
    private readonly limits: Record<string, { cpus: number; gpus: number }>,
  ) {}

  private break(rule: string, what: string): void {
    this.broken.push(`${rule}: ${what}`);
  }

  /** Whoever was told `what` of a job is told otherwise. */
  private contradict(
    rule: string,
    text: string,
    told: string,
    now: number,
    got: Observation | undefined,
  ): void {
    const facts = this.facts.get(told);
    if (got === undefined || facts === undefined) return this.break(rule, text);
    this.doubtful.push({ what: `${rule}: ${text}`, facts, at: now, present: got.present });
  }

  private note(told: string, fact: Fact | undefined): void {
    if (fact === undefined) return;
    const [first] = this.facts.get(told) ?? [];
    this.facts.set(told, first ? [first, fact] : [fact]);
  }

  /** When and by whom the job was said to be accepted. */
  accepted(id: string): readonly Fact[] {
    return this.facts.get(`${id} accepted`) ?? [];
  }

  /** A task has its image and is on the machine from here. */
  start(task: string, m: Place, now: number): void {
    this.started++;
    this.startedAt = now;
    const jobId = task.slice(0, task.indexOf('/'));
    const s = this.specs.get(jobId);
    const there = this.on.get(task) ?? new Map<string, Place>();
    if ([...there.keys()].some((x) => x !== m.id))
      this.break('ran_twice', `${task} on ${[...there.keys()].join()} and ${m.id} at ${now}`);
    if (s) {
      if (s.types && !s.types.includes(m.type)) this.break('wrong_place', `${task} on type ${m.type}`);
      if (s.zone !== null && s.zone !== m.zone) this.break('wrong_place', `${task} in ${m.zone}`);
      if (m.spot && !s.spot) this.break('wrong_place', `${task} on a spot machine`);
      const zones = new Map<string, number>([[m.zone, 1]]);
      for (let i = 0; i < s.tasks; i++) {
        const k = `${jobId}/${i}`;
        if (k === task) continue;
        for (const p of this.on.get(k)?.values() ?? []) zones.set(p.zone, (zones.get(p.zone) ?? 0) + 1);
      }
      if (s.oneZone && zones.size > 1)
        this.break('wrong_place', `${task}: job in zones ${[...zones.keys()].join()}`);
      if (s.spread && zones.get(m.zone)! > Math.ceil(s.tasks / 2))
        this.break('wrong_place', `${task}: too many in ${m.zone}`);
    }
    there.set(m.id, m);
    this.on.set(task, there);
    this.onStart(task, m.id);
    this.check(now);
    if (s) {
      const limit = this.limits[s.team];
      if (limit) {
        let cpus = 0;
        for (const [k, ms] of this.on) {
          const other = this.specs.get(k.slice(0, k.indexOf('/')));
          if (other?.team === s.team) cpus += other.cpus * ms.size;
        }
        if (limit.cpus > 0 && cpus > limit.cpus + 1e-6) this.break('quota', `${s.team} uses ${cpus} cpus`);
      }
    }
  }

  /** A task of the job is on a machine. */
  isOn(id: string): boolean {
    for (const task of this.on.keys()) if (task.startsWith(`${id}/`)) return true;
    return false;
  }

  /** The task is on a machine. */
  holds(task: string): boolean {
    return this.on.has(task);
  }

  leave(task: string, machine: string): void {
    const there = this.on.get(task);
    there?.delete(machine);
    if (there?.size === 0) this.on.delete(task);
  }

  /** A worker is told to run it: no attempt is ever used twice, whatever has been forgotten. */
  ordered(task: string, attempt: number, machine: string): void {
    this.onOrdered(task);
    const key = `${task}#${attempt}`;
    const first = this.attempts.get(key);
    if (first !== undefined && first !== machine)
      this.break('attempt_reused', `${key} on ${first} and ${machine}`);
    this.attempts.set(key, machine);
  }

  /** The cloud is asked for machines under a name: never for others under the same one. */
  hired(name: string, what: string): void {
    const first = this.hires.get(name);
    if (first !== undefined && first !== what) this.break('hire_reused', `${name} for ${first} and ${what}`);
    this.hires.set(name, what);
  }

  complete(task: string): void {
    const at = task.indexOf('/');
    const id = task.slice(0, at);
    const set = this.completed.get(id) ?? new Set<number>();
    set.add(Number(task.slice(at + 1)));
    this.completed.set(id, set);
    this.onComplete(task);
  }

  cancelAsked(id: string): boolean {
    return this.asked.has(id);
  }

  askCancel(id: string): void {
    this.asked.add(id);
  }

  /** What has been told of a job by now. */
  asOf(id: string): Known {
    return { told: this.told.get(id), done: this.doneTold.get(id) ?? 0 };
  }

  submitted(id: string, status: number, now: number, got?: Observation): void {
    if (status === 200 || status === 201) {
      if (!this.told.has(id)) this.told.set(id, 'accepted');
      this.note(`${id} accepted`, got?.fact);
    } else if (this.told.has(id) && (status === 400 || status === 422))
      this.contradict('forgotten', `${id} refused with ${status} at ${now}`, `${id} accepted`, now, got);
  }

  answered(
    id: string,
    status: number,
    state: string | undefined,
    now: number,
    done?: number,
    got?: Observation,
  ): void {
    const last = this.told.get(id);
    const known = got?.known ?? this.asOf(id);
    // What overlaps may come in either order, but for two different ends.
    const before = state === 'done' || state === 'aborted' ? last : known.told;
    if (status === 404 && before) {
      const told = before === 'accepted' ? 'accepted' : before;
      this.contradict('forgotten', `${id} at ${now}`, `${id} ${told}`, now, got);
    }
    if (status === 200 && !this.specs.has(id)) this.break('invented', id);
    if (status !== 200) return;
    if ((before === 'done' || before === 'aborted') && state !== before)
      this.contradict('went_back', `${id} from ${before} to ${state} at ${now}`, `${id} ${before}`, now, got);
    const doneBefore = known.done;
    if (done !== undefined && done < doneBefore) {
      const text = `${id}: ${done} done after ${doneBefore} at ${now}`;
      this.contradict('older_answer', text, `${id} ${doneBefore}`, now, got);
    }
    if (done !== undefined) {
      const newest = this.doneTold.get(id) ?? 0;
      // Asked before the newest was told, it takes nothing back.
      this.doneTold.set(id, newest === known.done ? done : Math.max(done, newest));
      // Only who says it, and who has read it, knows it.
      this.note(`${id} ${done}`, got && { ...got.fact, reached: [] });
    }
    if (state === 'aborted' && !this.asked.has(id)) this.break('went_back', `${id} cancelled by nobody`);
    if (state === 'done') {
      if ((this.completed.get(id)?.size ?? 0) < (this.specs.get(id)?.tasks ?? 0))
        this.break('not_done', `${id} at ${now}`);
      this.told.set(id, 'done');
    } else if (state === 'aborted') {
      if (last !== 'aborted') this.cancelledAt.set(id, now);
      this.told.set(id, 'aborted');
    } else if (!last) this.told.set(id, 'accepted');
    if (state === 'done') this.note(`${id} done`, got?.end);
    else if (state === 'aborted') this.note(`${id} aborted`, got?.fact);
  }

  /** A poll for an accepted job has ended: with an answer, or refused, reset, or without one in the user's patience. */
  polled(id: string, answered: boolean, now: number): void {
    const since = Math.max(this.heardAt.get(id) ?? now, this.quiescentAt);
    this.silence = Math.max(this.silence, now - since);
    if (!answered && now - since > FORGOTTEN_AFTER)
      this.break('unanswered', `${id} for ${Math.round((now - since) / 1e6)} s at ${now}`);
    if (answered || !this.heardAt.has(id)) this.heardAt.set(id, now);
  }

  state(id: string): string | undefined {
    return this.told.get(id);
  }

  /** Its user has been told that it is accepted, or more. */
  isTold(id: string): boolean {
    return this.told.has(id);
  }

  /** After every step: what was cancelled must be gone in time. */
  check(now: number): void {
    if (this.cancelledAt.size === 0) return;
    for (const k of this.on.keys()) {
      const at = this.cancelledAt.get(k.slice(0, k.indexOf('/')));
      if (at === undefined || now - at <= this.cancelWithin) continue;
      const id = k.slice(0, k.indexOf('/'));
      this.cancelledAt.delete(id);
      const facts = this.facts.get(`${id} aborted`);
      if (facts === undefined) this.break('ran_cancelled', `${k} at ${now}`);
      else this.doubtful.push({ what: `ran_cancelled: ${k} at ${now}`, facts, at: now, present: new Set() });
    }
  }
}
