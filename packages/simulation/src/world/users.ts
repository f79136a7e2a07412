/** Users of a simulated deployment: they submit jobs, poll them, cancel some, and every answer is held against the rules. */
import { Exit } from 'effect';
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { StartLatencyCheck } from './start-latency-check.js';
import type { Controllers } from './controllers.js';
import type { Arrival } from './load-burst.js';
import type { Size } from './deployment-size.js';
import type { FaultLog } from './fault-log.js';
import type { Answered, Ask, Asked, History, Open } from './history.js';
import type { Links } from './links.js';
import type { Scenarios } from './scenarios/scenarios.js';
import type { Fact, Memory, Process } from './memory.js';
import type { Observation, Rules } from './rules.js';
import type { Time } from './time.js';
import { type JobTruth, TASK_MEM_GB } from './job-truth.js';

/** How long a user waits for an answer to a poll, microseconds. */
const POLL_PATIENCE = 2e6;
/** A request without an answer is given up after this. */
const REQUEST_TIMEOUT = 5e6;
const POLL_EVERY = 3e6;
const POLL_EVERY_IN_STORM = 0.3e6;
/** What is over is polled this often on days of scenarios. */
const POLL_OVER_EVERY = 6e6;
const RETRY_AFTER = 1e6;
/** A user gives up submitting after so many attempts. */
const ATTEMPTS = 60;

/** What a request asks, and about which job. */
const askedOf = (method: string, path: string, body: string | null): readonly [Ask, string] => {
  if (path === '/work') return ['submit', String((JSON.parse(body ?? '{}') as { id?: unknown }).id)];
  const [, , id] = path.split('/');
  return [method === 'GET' ? 'poll' : 'cancel', id!];
};

interface JobStatus {
  readonly status: string;
  readonly done?: number;
}
const statusOf = (answer: HttpResponse): JobStatus => JSON.parse(answer.body.toString()) as JobStatus;
const isAccepted = (status: number): boolean => status === 200 || status === 201;

const answeredOf = (answer: HttpResponse): Answered => {
  if (!isAccepted(answer.status)) return { status: answer.status };
  const { status, done } = statusOf(answer);
  return { status: answer.status, state: status, done };
};

/** An answer to a user, null if there was none, and who took part in it. */
export type Received = (answer: HttpResponse | null, got: Observation | undefined) => void;

/** What a job is to be like; everything else is drawn. */
export interface Submission {
  /** The user cancels after so long, microseconds; null: never. */
  readonly cancelAfter?: number | null;
  /** A small job of the team without guarantee. */
  readonly guest?: { readonly tasks: number; readonly cpus: number };
  readonly arrival?: Arrival | null;
  /** The controller that each attempt goes to: any, unless said. */
  readonly via?: () => string;
}

/** What users need of the simulation around them. */
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
  /** The chance that a job is submitted with a mistake. */
  readonly brokenShare: number;
  /** CPUs that a team may use at once; 0 or undefined: without limit. */
  readonly cpuLimit: (team: string) => number | undefined;
  readonly begun: StartLatencyCheck;
  readonly scenarios: () => Scenarios | null;
}

/** Submits, polls and cancels, and keeps what is true of each job. */
export class Users {
  /** What was submitted, by job. */
  readonly jobs = new Map<string, JobTruth>();
  /** The bodies of the submissions, to be sent again. */
  readonly bodies = new Map<string, string>();
  /** Answers that accepted a job. */
  accepted = 0;
  /** Jobs whose users know that they are over. */
  over = 0;
  /** When a poll was last answered otherwise than with 503. */
  answersAt = 0;
  /** Polls come ten times as often. */
  storming = false;

  constructor(private readonly options: UsersOptions) {}

  /** One request to one controller. `received` is called once: with the answer, or null after a reset or a time-out. */
  call(node: string, method: string, path: string, body: string | null, received: Received): void {
    const { controllers, history, links, rules, time } = this.options;
    let over = false;
    const [ask, id] = askedOf(method, path, body);
    const asked = history?.begins(ask, id, node, time.now);
    const known = rules.asOf(id);
    const finish = (answer: HttpResponse | null, got?: Observation): void => {
      if (over) return;
      over = true;
      if (asked) this.compare(asked, answer);
      received(answer, got && { ...got, known });
    };
    time.after(REQUEST_TIMEOUT, () => finish(null));
    const arrive = (): void => {
      const process = controllers.process(node);
      const effect = controllers.handle(node, { method, path, body: Buffer.from(body ?? '') });
      if (effect === null || process === undefined) return void time.after(1e6, () => finish(null));
      time.fork(effect).addObserver((exit) => {
        if (!Exit.isSuccess(exit)) return;
        const got = this.witnesses(process, method);
        links.answer(
          'users',
          node,
          () => finish(exit.value, got),
          () => finish(null),
        );
      });
    };
    links.send('users', node, arrive, () => finish(null));
  }

  /** One request about a job to one controller, beside those of its user. Nothing if it is to repeat an unknown submission. */
  ask(
    what: Ask,
    id: string,
    node: string,
    then: (asked: Asked, answered: Answered | null) => void = () => undefined,
  ): void {
    const { rules, time } = this.options;
    const body = what === 'submit' ? this.bodies.get(id) : null;
    if (body === undefined) return;
    const path = what === 'submit' ? '/work' : `/work/${id}${what === 'cancel' ? '/withdraw' : ''}`;
    if (what === 'cancel') rules.askCancel(id);
    const asked = { ask: what, id, node, began: time.now };
    this.call(node, what === 'poll' ? 'GET' : 'POST', path, body, (answer, got) => {
      const said = answer === null ? null : answeredOf(answer);
      if (said !== null && what === 'submit') rules.submitted(id, said.status, time.now, got);
      else if (said !== null) rules.answered(id, said.status, said.state, time.now, said.done, got);
      then(asked, said);
    });
  }

  /** A user: submits with retries, polls, now and then cancels, and asks again when all is over. The job's id. */
  submit(submission: Submission = {}): string | undefined {
    const { begun, controllers, cpuLimit, log, random, rules, time } = this.options;
    const { cancelAfter = null, guest, arrival = null, via = () => controllers.any() } = submission;
    const id = `job-${String(random.int(1e9)).padStart(9, '0')}`;
    if (this.jobs.has(id)) return undefined;
    const job = this.drawJob(id, cancelAfter !== null, guest, arrival);
    if (job.broken) log.strike('brokenJobs');
    this.jobs.set(id, job);
    begun.submit(job, time.now, cpuLimit(job.team));
    const urgency =
      arrival?.urgency ?? (guest ? 'low' : ['low', 'normal', 'high', 'production'][random.int(4)]!);
    const body = submissionBody(job, urgency, arrival?.due ?? null);
    rules.specs.set(id, job);
    this.bodies.set(id, body);
    this.sendSubmission(id, body, via, 0);
    if (cancelAfter !== null) time.after(cancelAfter, () => this.cancel(id));
    return id;
  }

  /** Cancels a job, and repeats that until it is answered. `confirmed`: the controller that said that it is cancelled. */
  cancel(
    id: string,
    via = (): string => this.options.controllers.any(),
    confirmed: (by: string) => void = () => undefined,
  ): void {
    const { rules, time } = this.options;
    rules.askCancel(id);
    const by = via();
    this.call(by, 'POST', `/work/${id}/withdraw`, null, (answer, got) => {
      if (answer?.status === 200) {
        rules.answered(id, 200, statusOf(answer).status, time.now, undefined, got);
        if (rules.state(id) === 'aborted') confirmed(by);
      } else time.after(RETRY_AFTER, () => this.cancel(id, via, confirmed));
    });
  }

  /** Asks about a job that nobody has submitted. */
  pollUnknown(): void {
    const { controllers, random, rules, time } = this.options;
    const id = `job-9${String(random.int(1e8)).padStart(10, '0')}`;
    this.call(controllers.any(), 'GET', `/work/${id}`, null, (answer) => {
      if (answer) rules.answered(id, answer.status, undefined, time.now);
    });
  }

  private drawJob(
    id: string,
    cancelled: boolean,
    guest: Submission['guest'],
    arrival: Arrival | null,
  ): JobTruth {
    const { brokenShare, random, size } = this.options;
    const shape = random.chance(0.35) ? 'ensemble' : random.chance(0.1) && cancelled ? 'daemon' : 'array';
    const gpus = random.chance(0.3) ? 1 : 0;
    const oneZone = random.chance(0.4);
    const drawn = {
      id,
      jobClass: 'x',
      team: random.chance(0.5) ? 'red' : 'blue',
      shape,
      tasks: shape === 'ensemble' ? size.gangs[random.int(size.gangs.length)]! : 1 + random.int(size.arrays),
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
      broken: random.chance(brokenShare) && cancelled,
      image: id,
      imageGb: 1,
      submitted: true,
      progress: new Map<number, number>(),
      finished: new Set<number>(),
    };
    if (drawn.zone !== null) drawn.spread = false;
    const job: JobTruth = { ...drawn, ...(guest && { ...GUEST_JOB, ...guest }), ...arrival?.job };
    if (job.shape === 'array' || arrival) return job;
    let { cpus } = job;
    while (cpus > 1 && cpus * job.tasks > size.cpus) cpus--;
    return { ...job, cpus };
  }

  private sendSubmission(id: string, body: string, via: () => string, attempt: number): void {
    const { controllers, random, rules, time } = this.options;
    this.call(via(), 'POST', '/work', body, (answer, got) => {
      if (answer) rules.submitted(id, answer.status, time.now, got);
      if (answer && isAccepted(answer.status)) {
        this.accepted++;
        this.poll(id);
        if (random.chance(0.2))
          time.after(random.between(1e6, 60e6), () =>
            this.call(
              controllers.any(),
              'POST',
              '/work',
              body,
              (again, by) => again && rules.submitted(id, again.status, time.now, by),
            ),
          );
      } else if (attempt < ATTEMPTS)
        time.after(RETRY_AFTER, () => this.sendSubmission(id, body, via, attempt + 1));
    });
  }

  private poll(id: string): void {
    const { controllers, log, rules, scenarios, time } = this.options;
    const sent = time.now;
    this.call(controllers.any(), 'GET', `/work/${id}`, null, (answer, got) => {
      const answered = answer !== null && (answer.status === 200 || answer.status === 404);
      rules.polled(id, answered && time.now - sent <= POLL_PATIENCE, time.now);
      if (this.storming && !answered) log.strike('storm');
      const said = answer?.status === 200 ? statusOf(answer) : undefined;
      const state = said?.status;
      if (answer) rules.answered(id, answer.status, state, time.now, said?.done, got);
      if (answer !== null && answer.status !== 503) this.answersAt = time.now;
      if (state !== 'done' && state !== 'aborted')
        return void time.after(this.storming ? POLL_EVERY_IN_STORM : POLL_EVERY, () => this.poll(id));
      const running = scenarios();
      // What is over is asked about to the day's end.
      if (running) time.after(POLL_OVER_EVERY, () => this.poll(id));
      if (running?.reportedOverBefore(id)) return;
      this.over++;
      this.pollOnceMore(id);
    });
  }

  /** Some time after the end: it must still be known. */
  private pollOnceMore(id: string): void {
    const { controllers, random, rules, time } = this.options;
    time.after(random.between(1e6, 90e6), () =>
      this.call(controllers.any(), 'GET', `/work/${id}`, null, (answer, got) => {
        if (!answer) return;
        const state = answer.status === 200 ? statusOf(answer).status : undefined;
        rules.answered(id, answer.status, state, time.now, undefined, got);
      }),
    );
  }

  /** An answer, or none, has come to its user: it is compared with all others. */
  private compare(asked: Open, answer: HttpResponse | null): void {
    const { history, rules, scenarios, time } = this.options;
    const said = answer === null ? null : answeredOf(answer);
    if (said !== null && history) rules.broken.push(...history.ends(asked, said, time.now));
    scenarios()?.answered(asked, said);
  }

  /**
   * An answer leaves a controller now. Of what is changed it tells two others first, or a leader of an end; whoever else
   * says that a job is over has read so, and the leader knows.
   */
  private witnesses(by: Process, method: string): Observation {
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

/** What small jobs of the team without guarantee have in common. */
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

/** A submission by the protocol. `due`: seconds. */
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
