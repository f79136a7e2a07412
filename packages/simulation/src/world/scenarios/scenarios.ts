/**
 * The scenarios of compound faults: what is late, stalled, cut off, slow or refused while leaders change and users cancel.
 * Each is drawn with the day's other faults, or laid over them by `scheduleCompound`. Only the simulation imports this list.
 */
import type { Worker } from '../worker/worker.js';
import type { Answered, Asked } from '../history.js';
import { cancelAtCompletion } from './cancel-at-completion.js';
import { concurrentReads } from './concurrent-reads.js';
import { atLimit } from './at-limit.js';
import { cancelDuringHandover } from './cancel-during-handover.js';
import { cancelAndHang } from './cancel-and-hang.js';
import { lostResponses } from './lost-responses.js';
import { fastBoots } from './fast-boots.js';
import { staggeredCompletions } from './staggered-completions.js';
import { rollingRefusal } from './rolling-refusal.js';
import { handover } from './handover.js';
import { stalledMachine } from './stalled-machine.js';
import { lateHeartbeats } from './late-heartbeats.js';
import { lateWrites } from './late-writes.js';
import { isolatedLeader } from './isolated-leader.js';
import { inboundLoss } from './inbound-loss.js';
import { manySmallJobs } from './many-small-jobs.js';
import { outboundLoss } from './outbound-loss.js';
import { invalidRequests } from './invalid-requests.js';
import { stateRefuses } from './state-refuses.js';
import { stateSlow } from './state-slow.js';
import { SCENARIO_NAMES, type ScenarioName } from './scenario-names.js';
import { type RentalWay, ScenarioKit, type ScenarioWorld, type Scenario } from './scenario-kit.js';
import { staleHeartbeats } from './stale-heartbeats.js';
import { leaderChurn } from './leader-churn.js';
import { zonePartition } from './zone-partition.js';
import { totalOutage } from './total-outage.js';
import { zoneMachineLoss } from './zone-machine-loss.js';
import { overload } from './overload.js';

/** How each scenario is made. */
const SCENARIOS: Readonly<Record<ScenarioName, (kit: ScenarioKit) => Scenario>> = {
  lateWrites,
  lateHeartbeats,
  inboundLoss,
  stateRefuses,
  stateSlow,
  rollingRefusal,
  isolatedLeader,
  staggeredCompletions,
  stalledMachine,
  handover,
  concurrentReads,
  cancelAtCompletion,
  cancelAndHang,
  cancelDuringHandover,
  atLimit,
  lostResponses,
  manySmallJobs,
  fastBoots,
  outboundLoss,
  staleHeartbeats,
  leaderChurn,
  zonePartition,
  totalOutage,
  zoneMachineLoss,
  overload,
  invalidRequests,
};

/** The scenarios of one simulated day: begins them, and tells all of them what happens. */
export class Scenarios {
  private readonly kit: ScenarioKit;
  private readonly all: readonly Scenario[];
  private readonly over = new Set<string>();
  /** Begins a scenario now, by name. */
  readonly begin: Readonly<Record<ScenarioName, () => void>>;

  constructor(private readonly world: ScenarioWorld) {
    this.kit = new ScenarioKit(world);
    world.state.onOccurred = (what) => this.kit.record(what);
    world.state.watchesWait = true;
    const made = SCENARIO_NAMES.map((name) => [name, SCENARIOS[name](this.kit)] as const);
    this.all = made.map(([, scenario]) => scenario);
    this.begin = Object.fromEntries(made.map(([name, scenario]) => [name, () => scenario.begin()])) as Record<
      ScenarioName,
      () => void
    >;
  }

  /** How often each thing that scenarios are about has happened. */
  get occurred(): Readonly<Record<string, number>> {
    return this.kit.occurred;
  }

  /** The longest that what was measured took, microseconds. */
  get longest(): Readonly<Record<string, number>> {
    return this.kit.longest;
  }

  /** Called at each answer that says that the job is over. */
  reportedOverBefore(id: string): boolean {
    const before = this.over.has(id);
    this.over.add(id);
    return before;
  }

  /** Two to four kinds, overlapping, twice in the day. */
  scheduleCompound(troubled: number): void {
    const { random } = this.world;
    const chosen = [...SCENARIO_NAMES].sort(() => random.next() - 0.5).slice(0, 2 + random.int(3));
    for (const base of [random.between(0.12, 0.25), random.between(0.55, 0.7)])
      for (const kind of chosen) {
        const at = Math.max(10e6, base * troubled + random.between(-6e6, 20e6));
        this.world.rules.quiescentAt = Math.max(this.world.rules.quiescentAt, at);
        this.kit.after(at, this.begin[kind]);
      }
  }

  heartbeatSent(by: Worker, node: string, body: Buffer): void {
    for (const scenario of this.all) scenario.heartbeatSent?.(by, node, body);
  }
  stallFor(by: Worker): number {
    return Math.max(0, ...this.all.map((scenario) => scenario.stallFor?.(by) ?? 0));
  }
  resumed(lapsed: boolean, order: boolean): void {
    for (const scenario of this.all) scenario.resumed?.(lapsed, order);
  }
  heartbeatReceived(node: string): void {
    for (const scenario of this.all) scenario.heartbeatReceived?.(node);
  }
  stoppedDirectly(by: Worker, task: string): void {
    for (const scenario of this.all) scenario.stoppedDirectly?.(by, task);
  }
  started(task: string, machine: string): void {
    for (const scenario of this.all) scenario.started?.(task, machine);
  }
  rentalWay(): RentalWay | null {
    for (const scenario of this.all) {
      const way = scenario.rentalWay?.() ?? null;
      if (way !== null) return way;
    }
    return null;
  }
  rented(machine: string, how: RentalWay): void {
    for (const scenario of this.all) scenario.rented?.(machine, how);
  }
  listed(machines: readonly string[]): void {
    for (const scenario of this.all) scenario.listed?.(machines);
  }
  workerStarted(machine: Worker): void {
    for (const scenario of this.all) scenario.workerStarted?.(machine);
  }
  deleted(machine: Worker | undefined, id: string): void {
    for (const scenario of this.all) scenario.deleted?.(machine, id);
  }
  completed(task: string): void {
    for (const scenario of this.all) scenario.completed?.(task);
  }
  answered(asked: Asked, answer: Answered | null): void {
    for (const scenario of this.all) scenario.answered?.(asked, answer);
  }
  committed(key: string, value: string | undefined): void {
    for (const scenario of this.all) scenario.committed?.(key, value);
  }
  ordered(task: string): void {
    for (const scenario of this.all) scenario.ordered?.(task);
  }
  reaped(task: string, done: boolean): void {
    for (const scenario of this.all) scenario.reaped?.(task, done);
  }
}
