/**
 * The scenarios of compound faults: messages and machines that are late, stalled, cut off, slow or refused while leaders change
 * and users cancel jobs. A scenario begins among the day's other randomly drawn faults or is added by `scheduleCompound`.
 */
import type { Worker } from '../worker/worker.js';
import type { ReportedResponse, SentRequest } from '../history.js';
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
import { type RentalTiming, ScenarioKit, type ScenarioWorld, type Scenario } from './scenario-kit.js';
import { staleHeartbeats } from './stale-heartbeats.js';
import { leaderChurn } from './leader-churn.js';
import { zonePartition } from './zone-partition.js';
import { totalOutage } from './total-outage.js';
import { zoneMachineLoss } from './zone-machine-loss.js';
import { overload } from './overload.js';

/** The factory of each scenario. */
const SCENARIO_FACTORIES: Readonly<Record<ScenarioName, (kit: ScenarioKit) => Scenario>> = {
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

/** The scenarios of one simulated day: begins them and notifies all of them of events. */
export class Scenarios {
  private readonly kit: ScenarioKit;
  private readonly all: readonly Scenario[];
  private readonly reportedFinished = new Set<string>();
  /** By name: a function that begins the scenario. */
  readonly begin: Readonly<Record<ScenarioName, () => void>>;

  constructor(private readonly world: ScenarioWorld) {
    this.kit = new ScenarioKit(world);
    world.state.onOccurred = (situation) => this.kit.record(situation);
    world.state.watchesWait = true;
    const scenariosByName = SCENARIO_NAMES.map((name) => [name, SCENARIO_FACTORIES[name](this.kit)] as const);
    this.all = scenariosByName.map(([, scenario]) => scenario);
    this.begin = Object.fromEntries(
      scenariosByName.map(([name, scenario]) => [name, () => scenario.begin()]),
    ) as Record<ScenarioName, () => void>;
  }

  /** How often each situation that scenarios are meant to cause has occurred. */
  get occurred(): Readonly<Record<string, number>> {
    return this.kit.occurred;
  }

  /** By measured situation: the longest duration, in microseconds. */
  get longest(): Readonly<Record<string, number>> {
    return this.kit.longest;
  }

  /** Notes a response with a job's final state; returns whether an earlier response had it too. */
  markReportedFinished(id: string): boolean {
    const before = this.reportedFinished.has(id);
    this.reportedFinished.add(id);
    return before;
  }

  /** Schedules two to four scenarios that overlap, twice in the day. */
  scheduleCompound(faultyDurationUs: number): void {
    const { random } = this.world;
    const chosen = [...SCENARIO_NAMES].sort(() => random.next() - 0.5).slice(0, 2 + random.int(3));
    for (const fraction of [random.between(0.12, 0.25), random.between(0.55, 0.7)])
      for (const name of chosen) {
        const beginsAt = Math.max(10e6, fraction * faultyDurationUs + random.between(-6e6, 20e6));
        this.world.rules.disruptedUntil = Math.max(this.world.rules.disruptedUntil, beginsAt);
        this.kit.after(beginsAt, this.begin[name]);
      }
  }

  heartbeatSent(worker: Worker, controller: string, body: Buffer): void {
    for (const scenario of this.all) scenario.heartbeatSent?.(worker, controller, body);
  }
  stallFor(worker: Worker): number {
    return Math.max(0, ...this.all.map((scenario) => scenario.stallFor?.(worker) ?? 0));
  }
  resumed(leaseExpired: boolean, order: boolean): void {
    for (const scenario of this.all) scenario.resumed?.(leaseExpired, order);
  }
  heartbeatReceived(controller: string): void {
    for (const scenario of this.all) scenario.heartbeatReceived?.(controller);
  }
  stoppedDirectly(worker: Worker, task: string): void {
    for (const scenario of this.all) scenario.stoppedDirectly?.(worker, task);
  }
  started(task: string, machine: string): void {
    for (const scenario of this.all) scenario.started?.(task, machine);
  }
  rentalTiming(): RentalTiming | null {
    for (const scenario of this.all) {
      const timing = scenario.rentalTiming?.() ?? null;
      if (timing !== null) return timing;
    }
    return null;
  }
  rented(machine: string, timing: RentalTiming): void {
    for (const scenario of this.all) scenario.rented?.(machine, timing);
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
  answered(asked: SentRequest, answer: ReportedResponse | null): void {
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
