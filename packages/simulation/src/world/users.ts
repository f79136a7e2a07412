/**
 * Simulated users: they submit jobs, poll them and cancel some of them. Every response is checked against the rules of the
 * protocol.
 */
import { Exit } from 'effect';
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { StartLatencyCheck } from './start-latency-check.js';
import type { Controllers } from './controllers.js';
import type { Arrival } from './load-burst.js';
import type { Size } from './deployment-size.js';
import type { FaultLog } from './fault-log.js';
import type { ReportedResponse, RequestKind, SentRequest, History, PendingRequest } from './history.js';
import type { Links } from './links.js';
import type { Scenarios } from './scenarios/scenarios.js';
import type { Fact, Memory, Process } from './memory.js';
import type { Observation, Rules } from './rules.js';
import type { Time } from './time.js';
import { type JobTruth, TASK_MEM_GB } from './job-truth.js';

/** A poll answered later than this counts as unanswered. Microseconds, like all durations below. */
const MAX_POLL_LATENCY = 2e6;
/** Timeout of a request. */
const REQUEST_TIMEOUT = 5e6;
const POLL_INTERVAL = 3e6;
/** Poll interval while users poll ten times as often as usual. */
const FAST_POLL_INTERVAL = 0.3e6;
/** Poll interval for finished jobs on days with scenarios. */
const FINISHED_POLL_INTERVAL = 6e6;
/** Delay before a submission or cancellation is sent again. */
const RETRY_DELAY = 1e6;
/** Maximum number of retries of a submission. */
const MAX_RETRIES = 60;

/** The kind of a request and the id of its job. */
const requestedOf = (method: string, path: string, body: string | null): readonly [RequestKind, string] => {
  if (path === '/work') return ['submit', String((JSON.parse(body ?? '{}') as { id?: unknown }).id)];
  const [, , id] = path.split('/');
  return [method === 'GET' ? 'poll' : 'cancel', id!];
};

interface JobStatus {
  readonly status: string;
  readonly done?: number;
}
const statusOf = (response: HttpResponse): JobStatus => JSON.parse(response.body.toString()) as JobStatus;
const isAccepted = (status: number): boolean => status === 200 || status === 201;

const outcomeOf = (response: HttpResponse): ReportedResponse => {
  if (!isAccepted(response.status)) return { status: response.status };
  const { status, done } = statusOf(response);
  return { status: response.status, state: status, done };
};

/** Receives the response, null if there was none, and the controllers that contributed to it. */
export type ResponseHandler = (response: HttpResponse | null, observation: Observation | undefined) => void;

/** The properties of a job to submit. All others are drawn at random. */
export interface Submission {
  /** The user cancels the job after this many microseconds; null: never. */
  readonly cancelAfter?: number | null;
  /** Makes the job a small one of the team without a quota guarantee. */
  readonly guest?: { readonly tasks: number; readonly cpus: number };
  readonly arrival?: Arrival | null;
  /** Selects the controller for each attempt; any controller by default. */
  readonly via?: () => string;
}

/** The components of the simulation that users depend on. */
export interface UsersOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly controllers: Controllers;
  readonly rules: Rules;
  readonly history: History | null;
  readonly memory: Memory;
  readonly log: FaultLog;
  readonly size: Size;
  /** Probability that a job that will be cancelled has tasks that all fail. */
  readonly brokenFraction: number;
  /** The CPUs that a team may use at once; 0 or undefined: unlimited. */
  readonly cpuLimit: (team: string) => number | undefined;
  readonly startLatency: StartLatencyCheck;
  readonly scenarios: () => Scenarios | null;
}

/** Sends the users' requests and holds the true state of each job. */
export class Users {
  /** The true state of each job, by id. */
  readonly jobs = new Map<string, JobTruth>();
  /** The request body of each submission by job id, for sending it again. */
  readonly bodies = new Map<string, string>();
  /** Number of responses that accepted a job. */
  accepted = 0;
  /** Number of jobs whose final state was reported to their users. */
  finished = 0;
  /** When a poll was last answered with a status other than 503, in microseconds. */
  lastResponseAt = 0;
  /** Whether users poll ten times as often as usual. */
  pollsFaster = false;

  constructor(private readonly options: UsersOptions) {}

  /** Sends a request to a controller. `received` is called once, with null after a connection reset or a timeout. */
  call(label: string, method: string, path: string, body: string | null, received: ResponseHandler): void {
    const { controllers, history, links, rules, time } = this.options;
    let finished = false;
    const [kind, id] = requestedOf(method, path, body);
    const pending = history?.requestSent(kind, id, label, time.now);
    const known = rules.knownState(id);
    const finish = (response: HttpResponse | null, observation?: Observation): void => {
      if (finished) return;
      finished = true;
      if (pending) this.compare(pending, response);
      received(response, observation && { ...observation, known });
    };
    time.after(REQUEST_TIMEOUT, () => finish(null));
    const arrive = (): void => {
      const process = controllers.process(label);
      const effect = controllers.handle(label, { method, path, body: Buffer.from(body ?? '') });
      if (effect === null || process === undefined) return void time.after(1e6, () => finish(null));
      time.fork(effect).addObserver((exit) => {
        if (!Exit.isSuccess(exit)) return;
        const observation = this.observe(process, method);
        links.sendResponse(
          'users',
          label,
          () => finish(exit.value, observation),
          () => finish(null),
        );
      });
    };
    links.send('users', label, arrive, () => finish(null));
  }

  /**
   * Sends a request about a job to a controller, in addition to those of the job's user. Does nothing if it should repeat a
   * submission that is unknown.
   */
  ask(
    kind: RequestKind,
    id: string,
    label: string,
    then: (asked: SentRequest, answered: ReportedResponse | null) => void = () => undefined,
  ): void {
    const { rules, time } = this.options;
    const body = kind === 'submit' ? this.bodies.get(id) : null;
    if (body === undefined) return;
    const path = kind === 'submit' ? '/work' : `/work/${id}${kind === 'cancel' ? '/withdraw' : ''}`;
    if (kind === 'cancel') rules.requestCancel(id);
    const asked = { ask: kind, id, controller: label, began: time.now };
    this.call(label, kind === 'poll' ? 'GET' : 'POST', path, body, (response, observation) => {
      const outcome = response === null ? null : outcomeOf(response);
      if (outcome !== null && kind === 'submit')
        rules.checkSubmission(id, outcome.status, time.now, observation);
      else if (outcome !== null)
        rules.checkStatus(id, outcome.status, outcome.state, time.now, outcome.done, observation);
      then(asked, outcome);
    });
  }

  /**
   * Plays the user of one job: submits it with retries, polls it, cancels it if requested, and polls once more after it has
   * finished. Returns the job's id; undefined if the id drawn at random is already in use.
   */
  submit(submission: Submission = {}): string | undefined {
    const { startLatency, controllers, cpuLimit, log, random, rules, time } = this.options;
    const { cancelAfter = null, guest, arrival = null, via = () => controllers.randomLabel() } = submission;
    const id = `job-${String(random.int(1e9)).padStart(9, '0')}`;
    if (this.jobs.has(id)) return undefined;
    const job = this.drawJob(id, cancelAfter !== null, guest, arrival);
    if (job.broken) log.recordInjected('brokenJobs');
    this.jobs.set(id, job);
    startLatency.submit(job, time.now, cpuLimit(job.team));
    const urgency =
      arrival?.urgency ?? (guest ? 'low' : ['low', 'normal', 'high', 'production'][random.int(4)]!);
    const body = submissionBody(job, urgency, arrival?.due ?? null);
    rules.specs.set(id, job);
    this.bodies.set(id, body);
    this.sendSubmission(id, body, via, 0);
    if (cancelAfter !== null) time.after(cancelAfter, () => this.cancel(id));
    return id;
  }

  /**
   * Cancels a job and retries until a controller responds with 200. `confirmed` is called with the label of the controller
   * that reported the job as cancelled.
   */
  cancel(
    id: string,
    via = (): string => this.options.controllers.randomLabel(),
    confirmed: (by: string) => void = () => undefined,
  ): void {
    const { rules, time } = this.options;
    rules.requestCancel(id);
    const label = via();
    this.call(label, 'POST', `/work/${id}/withdraw`, null, (response, observation) => {
      if (response?.status === 200) {
        rules.checkStatus(id, 200, statusOf(response).status, time.now, undefined, observation);
        if (rules.state(id) === 'aborted') confirmed(label);
      } else time.after(RETRY_DELAY, () => this.cancel(id, via, confirmed));
    });
  }

  /** Polls a job that was never submitted. */
  pollUnknown(): void {
    const { controllers, random, rules, time } = this.options;
    const id = `job-9${String(random.int(1e8)).padStart(10, '0')}`;
    this.call(controllers.randomLabel(), 'GET', `/work/${id}`, null, (response) => {
      if (response) rules.checkStatus(id, response.status, undefined, time.now);
    });
  }

  private drawJob(
    id: string,
    cancelled: boolean,
    guest: Submission['guest'],
    arrival: Arrival | null,
  ): JobTruth {
    const { brokenFraction, random, size } = this.options;
    const shape = random.chance(0.35) ? 'ensemble' : random.chance(0.1) && cancelled ? 'daemon' : 'array';
    const gpus = random.chance(0.3) ? 1 : 0;
    const oneZone = random.chance(0.4);
    const properties = {
      id,
      jobClass: size.jobClass ?? 'x',
      team: random.chance(0.5) ? 'red' : 'blue',
      shape,
      tasks:
        shape === 'ensemble'
          ? size.gangSizes[random.int(size.gangSizes.length)]!
          : 1 + random.int(size.maxArrayTasks),
      cpus: 1 + random.int(6),
      gpus,
      types: gpus > 0 ? ['g4'] : random.chance(0.3) ? ['c8'] : null,
      zone: random.chance(0.2) ? 'a' : null,
      oneZone,
      spread: !oneZone && random.chance(0.15),
      spot: random.chance(0.5),
      runUs: random.between(3e6, 25e6),
      saveEvery: random.chance(0.5) ? 5e6 : 0,
      saveTakes: 2e6,
      broken: random.chance(brokenFraction) && cancelled,
      image: id,
      imageGb: 1,
      submitted: true,
      progress: new Map<number, number>(),
      finished: new Set<number>(),
    };
    if (properties.zone !== null) properties.spread = false;
    const job: JobTruth = { ...properties, ...(guest && { ...GUEST_JOB, ...guest }), ...arrival?.job };
    if (job.shape === 'array' || arrival) return job;
    let { cpus } = job;
    while (cpus > 1 && cpus * job.tasks > size.maxCpus) cpus--;
    return { ...job, cpus };
  }

  private sendSubmission(id: string, body: string, via: () => string, attempt: number): void {
    const { controllers, random, rules, time } = this.options;
    this.call(via(), 'POST', '/work', body, (response, observation) => {
      if (response) rules.checkSubmission(id, response.status, time.now, observation);
      if (response && isAccepted(response.status)) {
        this.accepted++;
        this.poll(id);
        if (random.chance(0.2))
          time.after(random.between(1e6, 60e6), () =>
            this.call(
              controllers.randomLabel(),
              'POST',
              '/work',
              body,
              (response, observation) =>
                response && rules.checkSubmission(id, response.status, time.now, observation),
            ),
          );
      } else if (attempt < MAX_RETRIES)
        time.after(RETRY_DELAY, () => this.sendSubmission(id, body, via, attempt + 1));
    });
  }

  private poll(id: string): void {
    const { controllers, log, rules, scenarios, time } = this.options;
    const sentAt = time.now;
    this.call(controllers.randomLabel(), 'GET', `/work/${id}`, null, (response, observation) => {
      const answered = response !== null && (response.status === 200 || response.status === 404);
      rules.recordPoll(id, answered && time.now - sentAt <= MAX_POLL_LATENCY, time.now);
      if (this.pollsFaster && !answered) log.recordInjected('storm');
      const outcome = response?.status === 200 ? statusOf(response) : undefined;
      const state = outcome?.status;
      if (response) rules.checkStatus(id, response.status, state, time.now, outcome?.done, observation);
      if (response !== null && response.status !== 503) this.lastResponseAt = time.now;
      if (state !== 'done' && state !== 'aborted')
        return void time.after(this.pollsFaster ? FAST_POLL_INTERVAL : POLL_INTERVAL, () => this.poll(id));
      const running = scenarios();
      // Finished jobs are polled until the end of the day.
      if (running) time.after(FINISHED_POLL_INTERVAL, () => this.poll(id));
      if (running?.markReportedFinished(id)) return;
      this.finished++;
      this.pollOnceMore(id);
    });
  }

  /** Polls a finished job once more after some time; controllers must still know it. */
  private pollOnceMore(id: string): void {
    const { controllers, random, rules, time } = this.options;
    time.after(random.between(1e6, 90e6), () =>
      this.call(controllers.randomLabel(), 'GET', `/work/${id}`, null, (response, observation) => {
        if (!response) return;
        const state = response.status === 200 ? statusOf(response).status : undefined;
        rules.checkStatus(id, response.status, state, time.now, undefined, observation);
      }),
    );
  }

  /** Compares the outcome of a request with the responses of all other requests. */
  private compare(request: PendingRequest, response: HttpResponse | null): void {
    const { history, rules, scenarios, time } = this.options;
    const outcome = response === null ? null : outcomeOf(response);
    if (outcome !== null && history)
      rules.violations.push(...history.responseReceived(request, outcome, time.now));
    scenarios()?.answered(request, outcome);
  }

  /**
   * Records which controllers know what a response reports that leaves its controller now. Before it confirms a change, a
   * controller informs two others. Before it reports a completed job it informs the leader; a controller that has read the
   * final state from the store knows that the leader has it.
   */
  private observe(by: Process, method: string): Observation {
    const { controllers, memory, time } = this.options;
    const leader = controllers.leader();
    const fact = (among: (process: Process) => boolean): Fact => memory.fact(time.now, by, among);
    return {
      fact: fact(() => method === 'POST'),
      end: fact((process) => leader === by.label || process.label === leader),
      present: memory.present(time.now, by),
    };
  }
}

/** Common properties of the small jobs of the team without a quota guarantee. */
const GUEST_JOB = {
  team: 'guest',
  shape: 'array',
  gpus: 0,
  types: null,
  zone: null,
  spread: false,
  runUs: 4e6,
  oneZone: false,
  broken: false,
} as const;

/** The body of a submission as the protocol defines it. `due`: the deadline in seconds. */
const submissionBody = (job: JobTruth, urgency: string, due: number | null): string =>
  JSON.stringify({
    id: job.id,
    jobClass: job.jobClass,
    owner: job.team,
    shape: job.shape,
    urgency,
    pieces: job.tasks,
    vcpus: job.cpus,
    accelerators: job.gpus,
    memGb: TASK_MEM_GB,
    bundle: job.image,
    imageGb: job.imageGb,
    hostsKinds: job.types,
    room: job.zone,
    samePlace: job.oneZone,
    scatter: job.spread,
    borrowed: job.spot,
    expectS: job.shape === 'daemon' ? 0 : job.runUs / 1e6,
    saveEveryS: job.saveEvery / 1e6,
    saveTakesS: job.saveTakes / 1e6,
    dueS: due,
  });
