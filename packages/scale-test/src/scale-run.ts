/** Runs one scale test: starts all processes, simulates users, injects a fault, measures and checks the rules. */
import { nowMs, sleepMs } from './clock.js';
import { EventOrder } from './event-order.js';
import { GangCoordinator } from './gang-coordinator.js';
import type { FromChild } from './messages.js';
import type { ControllerAddress, Timing } from './model.js';
import { seededRandom } from './random.js';
import { describeExceededLimit, resourceUse } from './resource-guard.js';
import { roleUsage, usageByPid } from './role-usage.js';
import { RuleChecker } from './rule-checker.js';
import type { Fault, Progress, RunOptions, RunResult } from './run-model.js';
import type { StateCounts } from './state-service.js';
import { TestCluster } from './test-cluster.js';
import { Users } from './users.js';
import { decodeHistogram } from './worker-figures.js';
import { teamSettings, Workload } from './workload.js';

const CHECK_EVERY_MS = 100;
const RESOURCE_CHECK_EVERY_MS = 1000;
const PROGRESS_EVERY_MS = 1000;
const GANG_WAIT_TIMEOUT_MS = 35_000;
const GANG_PEER_TIMEOUT_MS = 5000;
/** Fraction of the measurement after which the fault is injected. */
const FAULT_AT_FRACTION = 0.3;
const RESTARTED_FRACTION = 0.1;
/** Delay within which the last events of the measurement arrive from the worker processes. */
const LAST_EVENTS_DELAY_MS = 1600;

const workerTiming = ({ reportS, leaseS, cancelS }: RunOptions): Timing => ({
  reportMs: reportS * 1000,
  leaseMs: leaseS * 1000,
  gangWaitMs: GANG_WAIT_TIMEOUT_MS,
  gangPeerMs: GANG_PEER_TIMEOUT_MS,
  cancelMs: cancelS * 1000,
});

/** One scale test. `play` may be called once. */
export class ScaleRun {
  private readonly random;
  private readonly cluster: TestCluster;
  private readonly checker: RuleChecker;
  private readonly gangs: GangCoordinator;
  private readonly events: EventOrder;
  private submitting = true;
  /** Why the run ends early; null while no limit is exceeded. */
  private stopReason: string | null = null;

  /** `childProgram` is the program file that `TestClusterDependencies` describes. */
  constructor(
    private readonly options: RunOptions,
    childProgram: string,
    private readonly onProgress: (progress: Progress) => void,
  ) {
    this.random = seededRandom(options.seed);
    const timing = workerTiming(options);
    this.cluster = new TestCluster({
      options,
      timing,
      random: this.random,
      childProgram,
      onWorkerMessage: (message) => this.handleWorkerMessage(message),
    });
    this.checker = new RuleChecker({
      limits: new Map(
        teamSettings(options).map((team) => [
          team.name,
          { vcpus: team.cpus_max, accelerators: team.gpus_max },
        ]),
      ),
      cancelMs: timing.cancelMs,
      machine: (id) => this.cluster.machine(id),
    });
    this.gangs = new GangCoordinator(
      GANG_PEER_TIMEOUT_MS,
      (id) => this.checker.description(id),
      (command) => this.cluster.broadcast(command),
    );
    this.events = new EventOrder((event) => this.checker.handleEvent(event));
  }

  /** Resolves once every started process has been stopped. Rejects if a process could not be started. */
  async play(): Promise<RunResult> {
    const timers: NodeJS.Timeout[] = [];
    let users: Users | null = null;
    try {
      users = this.createUsers(await this.cluster.start());
      timers.push(setInterval(() => this.checkRules(), CHECK_EVERY_MS));
      timers.push(setInterval(() => this.checkResources(), RESOURCE_CHECK_EVERY_MS));
      void this.submitJobs(users);
      await this.waitFor('warming up', this.options.warmupS);
      return await this.measure(users);
    } finally {
      for (const timer of timers) clearInterval(timer);
      this.submitting = false;
      users?.stop();
      await this.cluster.end();
      this.gangs.end();
    }
  }

  private createUsers(controllers: readonly ControllerAddress[]): Users {
    return new Users({
      controllers,
      isUp: (label) => this.cluster.isControllerUp(label),
      random: this.random,
      checker: this.checker,
      upload: (job) => this.cluster.broadcast({ kind: 'job', job }),
    });
  }

  private handleWorkerMessage(message: FromChild): void {
    if (message.kind === 'events') {
      this.events.add(message.events);
      for (const event of message.events) {
        this.gangs.handleEvent(event);
        if (event.kind !== 'saved') continue;
        const { job, task, progressMs } = event;
        this.cluster.broadcast({ kind: 'progress', job, task, progressMs });
      }
    } else if (message.kind === 'result-kept')
      this.cluster.broadcast({ kind: 'finished', job: message.job, task: message.task });
  }

  private async submitJobs(users: Users): Promise<void> {
    const workload = new Workload(this.options, this.random);
    let nextSubmissionAt = nowMs();
    while (this.submitting) {
      const { job, cancels } = workload.next();
      void users.play(job, cancels);
      nextSubmissionAt += (job.tasks / this.options.starts) * 1000;
      await sleepMs(Math.max(0, nextSubmissionAt - nowMs()));
    }
  }

  private checkRules(): void {
    this.events.flush(nowMs());
    this.checker.checkCancelled(nowMs());
  }

  private checkResources(): void {
    this.stopReason ??= describeExceededLimit(resourceUse(this.cluster.pids()), this.options.resourceLimits);
  }

  private async waitFor(phase: string, seconds: number): Promise<void> {
    const until = nowMs() + seconds * 1000;
    while (nowMs() < until && this.stopReason === null) {
      await sleepMs(Math.min(PROGRESS_EVERY_MS, until - nowMs()));
      this.onProgress({
        phase,
        secondsLeft: Math.max(0, Math.round((until - nowMs()) / 1000)),
        machines: this.cluster.size,
        tasks: this.checker.presentTasks,
        started: this.checker.started,
      });
    }
  }

  private async measure(users: Users): Promise<RunResult> {
    const { options, cluster, checker } = this;
    await cluster.readLeader();
    const roles = cluster.pidsByRole();
    cluster.resetFigures();
    users.resetFigures();
    const usageBefore = usageByPid(cluster.pids());
    const stateBefore = await cluster.stateCounts();
    const cloudCallsBefore = cluster.cloudCalls;
    const startedBefore = checker.started;
    checker.longestPauseMs = 0;
    const completedBefore = checker.completed;
    const beganAt = nowMs();
    await this.waitFor('measuring', options.lengthS * FAULT_AT_FRACTION);
    await this.inject(options.fault);
    await this.waitFor('measuring', options.lengthS * (1 - FAULT_AT_FRACTION));
    const lengthS = (nowMs() - beganAt) / 1000;
    const usageAfter = usageByPid(cluster.pids());
    const stateAfter = await cluster.stateCounts();
    const workers = await cluster.workerFigures();
    await this.flushLastEvents();
    const bytes = decodeHistogram(workers.workerBytes);
    return {
      lengthS,
      machines: cluster.size,
      tasksHeld: workers.tasksHeld,
      startsPerS: (checker.started - startedBefore) / lengthS,
      endsPerS: (checker.completed - completedBefore) / lengthS,
      longestPauseMs: Math.round(checker.longestPauseMs),
      workers,
      answerMs: decodeHistogram(workers.answerMs),
      workerBytesPerS: {
        median: bytes.getValueAtPercentile(50) / lengthS,
        p99: bytes.getValueAtPercentile(99) / lengthS,
      },
      users: users.figures,
      roles: [...roles].map(([role, pids]) => roleUsage(role, pids, usageBefore, usageAfter, lengthS)),
      state: difference(stateAfter, stateBefore),
      cloudCalls: cluster.cloudCalls - cloudCallsBefore,
      unexpectedEnds: cluster.unexpectedEnds,
      violations: checker.violations,
      stopped: this.stopReason,
    };
  }

  private async flushLastEvents(): Promise<void> {
    this.events.flush(nowMs(), true);
    await sleepMs(LAST_EVENTS_DELAY_MS);
    this.events.flush(nowMs(), true);
  }

  private async inject(fault: Fault): Promise<void> {
    if (fault === 'restart-tenth')
      this.cluster.broadcast({ kind: 'restart-share', share: RESTARTED_FRACTION });
    if (fault === 'kill-leader') await this.cluster.killLeader();
  }
}

const difference = (after: StateCounts, before: StateCounts): StateCounts => ({
  requests: after.requests - before.requests,
  changes: after.changes - before.changes,
  refused: after.refused - before.refused,
  rejected: after.rejected - before.rejected,
  followBytes: after.followBytes - before.followBytes,
  writtenBytes: after.writtenBytes - before.writtenBytes,
});
