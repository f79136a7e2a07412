/**
 * Simulates days of services on GPUs: draws the jobs that users submit, checks the rules about loans, and measures
 * how soon replicas serve. Loans are read from the changes committed to the state service, not from what controllers
 * report.
 */
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { decodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { isComplete, type Job } from '@lilacvalve/controller/jobs/model';
import { loansOf } from '@lilacvalve/controller/lending/loans';
import type { TeamSettings } from '@lilacvalve/controller/settings/settings';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Arrival } from './load-burst.js';
import type { JobTruth } from './job-truth.js';

/**
 * Steps of a loan after which the leader may crash. `stopped`: a running task executed the order to stop; `saved`: a
 * gang saved its checkpoint; `recorded`: a log entry with the loan was committed; `started`: a service's task received
 * the order to start; `weights`: the task has fetched its model weights.
 */
export type LoanStep = 'stopped' | 'saved' | 'recorded' | 'started' | 'weights';
export const STEPS: readonly LoanStep[] = ['stopped', 'saved', 'recorded', 'started', 'weights'];

/**
 * Sizes of the model weights of services, in GB, by image. At 1 GB/s, plus or minus a third, some fetches take more
 * than a minute.
 */
const WEIGHT_SIZES_GB = [20, 30, 45, 60];

/** Teams of a lending day. Team `guest` has no guarantee. */
export const LENDING_TEAMS: readonly TeamSettings[] = [
  { name: 'red', guarantee: { cpus: 10, gpus: 10 }, limit: { cpus: 0, gpus: 0 } },
  { name: 'blue', guarantee: { cpus: 4, gpus: 4 }, limit: { cpus: 0, gpus: 0 } },
  { name: 'guest', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
];

/** A job that is submitted during the day. */
export interface PlannedJob {
  /** Time of the submission, in microseconds. */
  readonly at: number;
  /** Time from the submission to the cancellation, in microseconds; null: no cancellation. */
  readonly cancelAfter: number | null;
  readonly arrival: Arrival;
}

/** Properties that all jobs on GPUs share. */
const GPU = {
  gpus: 1,
  cpus: 1,
  types: ['g4'],
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  broken: false,
};

/**
 * Draws the jobs that are submitted during the faulty period. Half of the services arrive in one burst, and some are
 * cancelled 20 s after their submission. `scale`: factor on the number of jobs; 1 for a small day.
 */
export const drawLendingJobs = (random: RandomSource, faultsUntil: number, scale: number): PlannedJob[] => {
  const jobs: PlannedJob[] = [];
  const team = (): string => (random.chance(0.5) ? 'red' : 'blue');
  for (let i = 0; i < 10 * scale; i++) {
    const image = random.int(WEIGHT_SIZES_GB.length);
    const isShortLived = random.chance(0.3);
    jobs.push({
      at: random.chance(0.5) ? random.between(30e6, 45e6) : random.between(0, faultsUntil),
      cancelAfter: isShortLived ? 20e6 : random.between(90e6, 300e6),
      arrival: {
        job: {
          ...GPU,
          team: team(),
          shape: 'daemon',
          tasks: 1 + random.int(4),
          spread: random.chance(0.5),
          image: `w-${image}`,
          imageGb: WEIGHT_SIZES_GB[image]!,
          saveEvery: 0,
        },
        urgency: 'high',
        due: null,
      },
    });
  }
  for (let i = 0; i < 6 * scale; i++)
    jobs.push({
      at: random.between(0, faultsUntil * 0.6),
      cancelAfter: random.chance(0.25) ? random.between(30e6, 120e6) : null,
      arrival: {
        job: {
          ...GPU,
          team: random.chance(0.3) ? 'guest' : team(),
          shape: 'ensemble',
          tasks: 2 + random.int(7),
          image: `t-${random.int(3)}`,
          imageGb: 8,
          runUs: random.between(30e6, 90e6),
          saveEvery: 40e6,
          saveTakes: 3e6,
        },
        urgency: 'normal',
        due: null,
      },
    });
  for (let i = 0; i < 8 * scale; i++)
    jobs.push({
      at: random.between(0, faultsUntil * 0.6),
      cancelAfter: random.chance(0.25) ? random.between(30e6, 120e6) : null,
      arrival: {
        job: {
          ...GPU,
          team: random.chance(0.5) ? 'guest' : team(),
          shape: 'array',
          tasks: 4 + random.int(9),
          spot: random.chance(0.5),
          runUs: random.between(10e6, 60e6),
          saveEvery: 0,
        },
        urgency: 'low',
        due: null,
      },
    });
  return jobs;
};

/**
 * Time within which a loan that should have ended must be closed while there is a leader, in microseconds. It covers
 * a few scheduling cycles, a worker lease, and a request of the list of machines.
 */
const CLOSED_WITHIN = 60e6;

/** Amounts of CPUs and GPUs. */
type Amount = [number, number];

/** Follows all committed changes, key by key, and checks the rules about the loans in them. */
export class LoanCheck {
  /** The job state built from the committed changes. */
  readonly view = new JobState();
  /** Number of loans made. */
  loanCount = 0;
  /** Since when a loan should have ended while there has been a leader, by taker and lender. */
  private readonly overdueSince = new Map<string, number>();

  constructor(
    private readonly teams: readonly TeamSettings[],
    private readonly onViolation: (violation: string) => void,
    private readonly onStep: (step: LoanStep) => void,
  ) {}

  /** Handles a committed change of a key. `value` is undefined if the key was deleted. */
  committed(key: string, value: unknown, revision: number): void {
    if (key.startsWith(LOG_ENTRIES) && value !== undefined)
      this.checkLogEntry(Number(key.slice(LOG_ENTRIES.length)), value, revision);
    this.view.apply({ key, value, revision });
  }

  /**
   * Checks the loans that a log entry makes. A taker that stays within its team's guarantee may take from any other
   * team. Otherwise the lender's team must keep its guarantee and the lender must be less urgent than the taker.
   */
  private checkLogEntry(sequence: number, value: unknown, revision: number): void {
    const { jobs } = decodeLogEntry(sequence, value, revision);
    const held = new Map<string, Amount>();
    const addTasks = (job: Job, count: number): void => {
      let amount = held.get(job.spec.team);
      if (!amount) held.set(job.spec.team, (amount = [0, 0]));
      amount[0] += count * job.spec.cpus;
      amount[1] += count * job.spec.gpus;
    };
    for (const job of this.view.jobs.values()) {
      const change = jobs.get(job.spec.id);
      const ended = [...(change?.completed ?? []), ...(change?.exited ?? [])].filter((task) =>
        job.placed.has(task),
      );
      addTasks(job, job.placed.size - new Set(ended).size);
    }
    const heldBefore = new Map([...held].map(([team, amount]) => [team, [...amount] as Amount]));
    const loans: { taker: Job; lender: Job }[] = [];
    for (const [id, change] of jobs) {
      const job = this.view.jobs.get(id);
      if (!job) continue;
      for (const tasks of change.start?.on.values() ?? []) addTasks(job, tasks.length);
      for (const loan of change.lend ?? []) {
        const lender = this.view.jobs.get(loan.lender);
        if (!lender) continue;
        addTasks(lender, -loan.tasks);
        loans.push({ taker: job, lender });
      }
    }
    if (loans.length > 0) {
      this.loanCount += loans.length;
      this.onStep('recorded');
    }
    const guaranteeOf = (name: string): Amount => {
      const guarantee = this.teams.find((team) => team.name === name)?.guarantee;
      return [guarantee?.cpus ?? 0, guarantee?.gpus ?? 0];
    };
    for (const { taker, lender } of loans) {
      const [takerSpec, lenderSpec] = [taker.spec, lender.spec];
      if (takerSpec.team === lenderSpec.team) continue;
      const guarantee = guaranteeOf(takerSpec.team);
      const takerHeld = heldBefore.get(takerSpec.team) ?? [0, 0];
      const withinGuarantee =
        takerHeld[0] + takerSpec.cpus <= guarantee[0] + 1e-6 &&
        takerHeld[1] + takerSpec.gpus <= guarantee[1] + 1e-6;
      const lenderGuarantee = guaranteeOf(lenderSpec.team);
      const lenderKeeps = held.get(lenderSpec.team) ?? [0, 0];
      const taskSize = [lenderSpec.cpus, lenderSpec.gpus];
      if (
        !withinGuarantee &&
        [0, 1].some(
          (resource) => taskSize[resource]! > 0 && lenderKeeps[resource]! < lenderGuarantee[resource]! - 1e-6,
        )
      )
        this.onViolation(
          `guarantee: team ${lenderSpec.team} keeps ${lenderKeeps.join('/')} CPUs/GPUs, less than its guarantee, after ${takerSpec.id} took from ${lenderSpec.id}`,
        );
      if (
        lenderSpec.urgency >= takerSpec.urgency &&
        !(withinGuarantee && takerHeld.every((amount, resource) => amount <= guarantee[resource]!))
      )
        this.onViolation(
          `guarantee: ${takerSpec.id} took from ${lenderSpec.id}, which is at least as urgent`,
        );
    }
  }

  /**
   * Checks the open loans; called once a second. `views`: the job states of the running controllers. `hasLeader`:
   * whether one of the controllers acts as leader.
   */
  check(now: number, views: readonly JobState[], hasLeader: boolean): void {
    const loansAt = new Map<number, string>();
    for (const view of views) {
      // A leader applies its own log entry before it receives it from the store, so that its view is ahead of its
      // revision.
      if (view.revision < 0 || [...view.logTail.values()].some((entry) => entry.revision > view.revision))
        continue;
      const loans = JSON.stringify(loansOf(view.jobs.values()));
      const other = loansAt.get(view.revision);
      if (other !== undefined && other !== loans)
        this.onViolation(`loans differ between controllers at revision ${view.revision}`);
      loansAt.set(view.revision, loans);
    }
    const overdue = new Set<string>();
    for (const loan of loansOf(this.view.jobs.values())) {
      const lender = this.view.jobs.get(loan.lender);
      if (lender && !lender.cancelled && !isComplete(lender)) continue;
      const key = `${loan.taker} from ${loan.lender}`;
      overdue.add(key);
      const since = this.overdueSince.get(key);
      if (since === undefined) this.overdueSince.set(key, now);
      else if (now - since > CLOSED_WITHIN) this.onViolation(`loan_open: ${key} at ${now}`);
    }
    for (const key of this.overdueSince.keys())
      if (!overdue.has(key) || !hasLeader) this.overdueSince.delete(key);
  }

  /**
   * Checks at the end of the day that no loan is open whose lender has all of its tasks placed or completed, or does
   * not need them any more.
   */
  checkAtEnd(): void {
    for (const loan of loansOf(this.view.jobs.values())) {
      const lender = this.view.jobs.get(loan.lender);
      const missingTasks = lender ? lender.spec.tasks - lender.completed.size - lender.placed.size : 0;
      if (!lender || lender.cancelled || missingTasks === 0)
        this.onViolation(`loan_open: ${loan.taker} from ${loan.lender}`);
    }
  }
}

/** Measures the availability of services, sampled once a second. */
export class ServiceAvailability {
  /** Sum of the replicas that services asked for, over all samples: seconds of replicas. */
  wantedSeconds = 0;
  /** Sum of the replicas that were running, over all samples. */
  runningSeconds = 0;
  /** Number of services. */
  serviceCount = 0;
  /** Number of services all of whose replicas were running within 60 s. */
  completeInTime = 0;
  /** Time of the first sample, by service. */
  private readonly firstSampleAt = new Map<string, number>();
  /** Services that had all replicas running at some time. */
  private readonly complete = new Set<string>();

  /** Adds a sample of one service. `running`: number of its replicas that run now. */
  addSample(now: number, job: JobTruth, running: number): void {
    if (!this.firstSampleAt.has(job.id)) {
      this.firstSampleAt.set(job.id, now);
      this.serviceCount++;
    }
    this.wantedSeconds += job.tasks;
    this.runningSeconds += Math.min(job.tasks, running);
    if (running < job.tasks || this.complete.has(job.id)) return;
    this.complete.add(job.id);
    if (now - this.firstSampleAt.get(job.id)! <= 60e6) this.completeInTime++;
  }
}
