/**
 * Troubles that meet: what is late, held up, deaf, slow or refused while leaders change and users cancel. Each is drawn
 * with the others of the day, or laid over them by `together`.
 */
import type { Worker } from '../worker/worker.js';
import type { Answered, Asked } from '../history.js';
import { cancelAtEnd } from './cancel-at-completion.js';
import { closeLooks } from './concurrent-reads.js';
import { atLimit } from './at-limit.js';
import { cancelInHandover } from './cancel-during-handover.js';
import { cancelNow } from './cancel-and-hang.js';
import { answerLost } from './lost-responses.js';
import { fastBoots } from './fast-boots.js';
import { farEnds } from './staggered-completions.js';
import { gap } from './rolling-refusal.js';
import { handover } from './handover.js';
import { heldMachine } from './stalled-machine.js';
import { lateReports } from './late-heartbeats.js';
import { lateWrites } from './late-writes.js';
import { leaderAlone } from './isolated-leader.js';
import { machineDeaf } from './inbound-loss.js';
import { manySmall } from './many-small-jobs.js';
import { machineMute } from './outbound-loss.js';
import { oddRequests } from './invalid-requests.js';
import { stateRefuses } from './state-refuses.js';
import { stateSlow } from './state-slow.js';
import { type HireWay, Shared, type Stage, type Trouble } from './scenario-kit.js';
import { reportForNext } from './stale-heartbeats.js';
import { manyLeaders } from './leader-churn.js';
import { zoneCutLong } from './zone-partition.js';
import { allAway } from './total-outage.js';
import { oneZoneLoss } from './zone-machine-loss.js';
import { overfull } from './overload.js';

const TROUBLES = {
  lateWrites,
  lateReports,
  machineDeaf,
  stateRefuses,
  stateSlow,
  gap,
  leaderAlone,
  farEnds,
  heldMachine,
  handover,
  closeLooks,
  cancelAtEnd,
  cancelNow,
  cancelInHandover,
  atLimit,
  answerLost,
  manySmall,
  fastBoots,
  machineMute,
  reportForNext,
  manyLeaders,
  zoneCutLong,
  allAway,
  oneZoneLoss,
  overfull,
  oddRequests,
};
export type Meeting = keyof typeof TROUBLES;
export const MEETINGS = Object.keys(TROUBLES) as Meeting[];

export class Meetings {
  private readonly shared: Shared;
  private readonly all: readonly Trouble[];
  private readonly over = new Set<string>();
  readonly kinds: Readonly<Record<Meeting, () => void>>;

  constructor(private readonly w: Stage) {
    this.shared = new Shared(w);
    w.state.onMet = (what) => this.shared.meet(what);
    w.state.watchesWait = true;
    const made = MEETINGS.map((name) => [name, TROUBLES[name](this.shared)] as const);
    this.all = made.map(([, trouble]) => trouble);
    this.kinds = Object.fromEntries(made.map(([name, t]) => [name, () => t.begin()])) as Record<
      Meeting,
      () => void
    >;
  }

  get met(): Readonly<Record<string, number>> {
    return this.shared.met;
  }

  /** The longest that what was measured took, microseconds. */
  get longest(): Readonly<Record<string, number>> {
    return this.shared.longest;
  }

  /** Called at each answer that says that the job is over. */
  overBefore(id: string): boolean {
    const before = this.over.has(id);
    this.over.add(id);
    return before;
  }

  /** Two to four kinds, overlapping, twice in the day. */
  together(troubled: number): void {
    const l = this.w.luck;
    const chosen = [...MEETINGS].sort(() => l.next() - 0.5).slice(0, 2 + l.int(3));
    for (const base of [l.between(0.12, 0.25), l.between(0.55, 0.7)])
      for (const kind of chosen) {
        const at = Math.max(10e6, base * troubled + l.between(-6e6, 20e6));
        this.w.rules.calmAt = Math.max(this.w.rules.calmAt, at);
        this.shared.at(at, this.kinds[kind]);
      }
  }

  reported(by: Worker, node: string, body: Buffer): void {
    for (const t of this.all) t.reported?.(by, node, body);
  }
  holds(by: Worker): number {
    return Math.max(0, ...this.all.map((t) => t.holds?.(by) ?? 0));
  }
  wentOn(lapsed: boolean, order: boolean): void {
    for (const t of this.all) t.wentOn?.(lapsed, order);
  }
  heard(node: string): void {
    for (const t of this.all) t.heard?.(node);
  }
  stoppedDirectly(by: Worker, task: string): void {
    for (const t of this.all) t.stoppedDirectly?.(by, task);
  }
  started(task: string, machine: string): void {
    for (const t of this.all) t.started?.(task, machine);
  }
  hires(): HireWay | null {
    for (const t of this.all) {
      const way = t.hires?.() ?? null;
      if (way !== null) return way;
    }
    return null;
  }
  rented(machine: string, how: HireWay): void {
    for (const t of this.all) t.rented?.(machine, how);
  }
  listed(machines: readonly string[]): void {
    for (const t of this.all) t.listed?.(machines);
  }
  came(machine: Worker): void {
    for (const t of this.all) t.came?.(machine);
  }
  deleted(machine: Worker | undefined, id: string): void {
    for (const t of this.all) t.deleted?.(machine, id);
  }
  completed(task: string): void {
    for (const t of this.all) t.completed?.(task);
  }
  answered(asked: Asked, answer: Answered | null): void {
    for (const t of this.all) t.answered?.(asked, answer);
  }
  committed(key: string, value: string | undefined): void {
    for (const t of this.all) t.committed?.(key, value);
  }
  ordered(task: string): void {
    for (const t of this.all) t.ordered?.(task);
  }
  reaped(task: string, done: boolean): void {
    for (const t of this.all) t.reaped?.(task, done);
  }
}
