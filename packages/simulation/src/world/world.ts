/**
 * A whole deployment on virtual time: the real nodes, stand-ins for everything else, seeded troubles, and
 * the protocol's rules checked after every step.
 */
import { Duration, Effect, Exit, Fiber } from 'effect';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
import type { Answer, Incoming, Quick } from '@lilacvalve/runtime/http-server';
import { type Micros, micros, seconds } from '@lilacvalve/runtime/micros';
import { CloudRefused, type CloudPort } from '@lilacvalve/controller/fleet/cloud';
import type { ListedMachine, MachineType } from '@lilacvalve/controller/fleet/model';
import { INCARNATION, REBUILD, RECORD } from '@lilacvalve/controller/jobs/keys';
import { encodeRows } from '@lilacvalve/controller/accounts/codec';
import { makeNode, type Node } from '@lilacvalve/controller/node';
import type { Settings } from '@lilacvalve/controller/settings/settings';
import { TYPES, worldSettings, ZONES } from '@lilacvalve/controller/support/settings';
import { Begun, type LeastRow } from './begun.js';
import { type Arrival, crowdArrival } from './crowd.js';
import { beyondGaps, Count, differences, type Held, pagesWrong, sumsOf } from './count.js';
import { Charged } from './charged.js';
import { calendarOf, Cutoffs } from './cutoffs.js';
import { coming, LENDING_TEAMS, Loans, Serving, type Step } from './lending.js';
import { Links, type LinkState } from './links.js';
import { type Answered, type Ask, type Asked, History, type Open } from './history.js';
import { TIGHT_TEAMS } from './meetings/atLimit.js';
import { type Meeting, Meetings, MEETINGS } from './meetings/index.js';
import { type Fact, Memory, type Process } from './memory.js';
import { BY_MEMORY, type Got, Rules } from './rules.js';
import { type Loss, StateService } from './state.js';
import { Luck } from '@lilacvalve/controller/support/luck';
import { Host, Time } from './time.js';
import { type Amounts, amounts, type RoomOn, Waiting, type Wanted } from './waiting.js';
import { type JobTruth, type Net, TASK_MEM_GB, Worker } from './worker.js';

/** As the server does: outside any fiber if that takes it, else by the handler. */
const handled = (
  quick: Quick,
  handle: (r: Incoming) => Effect.Effect<Answer>,
  r: Incoming,
): Effect.Effect<Answer> =>
  Effect.suspend(() => {
    let resume: ((e: Effect.Effect<Answer>) => void) | null = null;
    let early: Answer | null = null;
    const taken = quick(r, (a) => {
      if (resume === null) early = a;
      else resume(Effect.succeed(a));
    });
    if (!taken) return handle(r);
    return Effect.async<Answer>((go) => {
      if (early !== null) go(Effect.succeed(early));
      else resume = go;
    });
  });

interface Hired {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly at: number;
  status: ListedMachine['status'];
  deleted: boolean;
}

export interface Troubles extends Readonly<Partial<Record<Meeting, boolean>>> {
  readonly nodeCrash?: boolean;
  readonly stateOutage?: boolean;
  readonly stateCut?: boolean;
  readonly lost?: boolean;
  readonly netCut?: boolean;
  readonly machineDie?: boolean;
  readonly machineHang?: boolean;
  readonly cloudOutage?: boolean;
  /** A controller stands still while its clocks run on. */
  readonly freeze?: boolean;
  /** Workers can't reach one controller, which everybody else can. */
  readonly workersCut?: boolean;
  /** Controllers can't reach one another, but everybody else. */
  readonly peersCut?: boolean;
  /** Machines come several times as late as they should, or never. */
  readonly lateBoots?: boolean;
  /** The cloud's list is older than usual. */
  readonly oldLists?: boolean;
  /** Jobs submitted with a mistake, and machines on which everything fails. */
  readonly brokenJobs?: boolean;
  readonly faultyMachines?: boolean;
  /** All controllers, then half of the machines, while the state service is out, with a burst of jobs. */
  readonly everythingRestarts?: boolean;
  /** Hundreds of polls meet a controller that is seconds behind: some are refused, with a time to come back. */
  readonly flood?: boolean;
  /**
   * Controllers are back after 0.05 to 0.5 s: one, half or all, once and in loops, the leader and those that follow it in
   * the middle of their elections.
   */
  readonly quickRestart?: boolean;
  /** Machines start anew, once and in loops: their tasks are gone, and a new session begins at once. */
  readonly machineRestart?: boolean;
  /** Requests arrive once more, late, most of them those of a process that has ended since. */
  readonly echoes?: boolean;
  /** All controllers are behind for long, and polled ten times as often: no trouble that excuses a job without answers. */
  readonly storm?: boolean;
  /** The state service loses data, and controllers with it. */
  readonly losses?: readonly LossPlan[];
  readonly links?: readonly LinkPlan[];
  /** Jobs have cutoffs; operators apply calendars, at once and while a leader crashes. */
  readonly cutoffs?: boolean;
  /** A controller's time of day is stepped by up to 10 s. */
  readonly clockSteps?: boolean;
  /** A team without guarantee comes with one huge array and many tiny jobs. */
  readonly guests?: boolean;
  /** Two to four of the troubles of meetings.ts, overlapping, twice in the day. */
  readonly meetings?: boolean;
  /** Services on GPUs, fine-tuning and batch beside them, and leaders that die between the steps of a loan. */
  readonly lending?: boolean;
}

/** A link that fails for a time. Ends: a controller's label, `leader`, `any`, `zone:a`, `state`, `users`. */
export interface LinkPlan {
  readonly at: readonly [number, number];
  readonly from: string;
  readonly to: string;
  readonly state: LinkState;
  readonly both: boolean;
  readonly lasts: readonly [number, number];
}

/** When the state service loses data, drawn between two times, and who fails in the same minute. */
export interface LossPlan {
  readonly at: readonly [number, number];
  readonly loss: Loss;
  /** It is out for so long before it comes back without its data. */
  readonly out: number;
  readonly crash: 'none' | 'one' | 'leader' | 'all but one' | 'all';
  /** When they crash, from the loss on (before it: negative), drawn between two times. */
  readonly within: readonly [number, number];
  /** And how soon they are back. */
  readonly back: readonly [number, number];
}

/** A request that was sent, to be sent again. */
interface Sent {
  readonly at: number;
  readonly again: () => void;
}
/** Requests of one sender that may come again. */
const SENT_KEPT = 60;
const SENT_FOR = 10e6;
/** Controllers that are back at once. */
const AT_ONCE = [50_000, 500_000] as const;

/** Sizes of a day: how many controllers, and how large jobs grow. */
export interface Size {
  readonly nodes: readonly string[];
  readonly gangs: readonly number[];
  readonly arrays: number;
  /** CPUs of a job that must run whole, and of a task of a large array. */
  readonly cpus: number;
  /** Arrivals of another kind than of each shape alike; see crowd.ts. */
  readonly crowd?: boolean;
  /** Other times of leases and cancellations than usual. */
  readonly workers?: Partial<Settings['workers']>;
}
export const SMALL: Size = { nodes: ['n0', 'n1', 'n2'], gangs: [1, 2, 3], arrays: 6, cpus: 24 };
/** Five controllers, gangs of up to 24 in one zone and large arrays. */
export const GROWN: Size = {
  nodes: ['n0', 'n1', 'n2', 'n3', 'n4'],
  gangs: [1, 3, 6, 12, 24],
  arrays: 90,
  cpus: 24,
};

/** What a user's request asks, and about which job. */
const askedOf = (method: string, path: string, body: string | null): readonly [Ask, string] => {
  if (path === '/work') return ['submit', String((JSON.parse(body ?? '{}') as { id?: unknown }).id)];
  const [, , id] = path.split('/');
  return [method === 'GET' ? 'poll' : 'cancel', id!];
};
const answeredOf = (a: Answer): Answered => {
  if (a.status !== 200 && a.status !== 201) return { status: a.status };
  const { status, done } = JSON.parse(a.body.toString()) as { status: string; done?: number };
  return { status: a.status, state: status, done };
};
/** Cancellations must be gone barely after a lease. */
export const CLOSE: Size = { ...SMALL, workers: { lease: seconds(20), cancel: seconds(23) } };

/** Calls that change something in the state service. */
const CHANGES = new Set(['transact', 'grant', 'extend', 'release']);
/** How long a user waits for an answer to a poll. */
const POLL_PATIENCE = 2e6;
/** Three controllers and crowd.ts's arrivals. */
export const CROWDED: Size = { ...SMALL, crowd: true };

/** A controller process. */
interface Live extends Process {
  readonly node: Node;
  readonly host: Host;
  readonly fiber: Fiber.RuntimeFiber<unknown, unknown>;
}

/** Time of day when the world begins. */
const DAY_BEGINS = 1e12;
/** How often the store's content is looked through for cutoffs. */
const LOOK_EVERY = 250_000;

export class World implements Net {
  /** By which a controller's time of day is wrong. */
  private readonly clockOff = new Map<string, number>();
  cutoffs: Cutoffs | null = null;
  readonly time: Time;
  readonly luck: Luck;
  readonly state: StateService;
  readonly rules: Rules;
  readonly count: Count;
  /** Every answer of a day on which nothing is lost: what a loss may take with it, `rules` asks by memory.ts. */
  readonly history: History | null;
  /** What was submitted, to be submitted again. */
  private readonly bodies = new Map<string, string>();
  readonly jobs = new Map<string, JobTruth>();
  readonly begun = new Begun();
  readonly workers = new Map<string, Worker>();
  readonly nodes: readonly string[];
  private readonly settings: (label: string) => Settings;
  private readonly limits: Record<string, { readonly cpus: number; readonly gpus: number }>;
  private readonly live = new Map<string, Live>();
  /** How often each trouble struck: one that no seed ever draws is not tested. */
  readonly struck: Partial<Record<keyof Troubles | 'relayed' | `after_${Step}`, number>> = {};
  private lateUntil = 0;
  private readonly sent = new Map<string, Sent[]>();
  private storming = false;
  private readonly hired = new Map<string, Hired>();
  private readonly hires = new Map<string, string[]>();
  private machineNo = 0;
  private cloudOut = false;
  readonly links: Links;
  accepted = 0;
  over = 0;
  /** Tasks that a worker killed because its lease ran out. */
  killed = 0;
  /** null: none of its troubles is on. */
  readonly meetings: Meetings | null;
  readonly loans: Loans | null;
  readonly serving = new Serving();
  readonly charged = new Charged((what) => this.rules.broken.push(what));
  private readonly cloudWays = { fastUntil: 0, muteUntil: 0 };
  readonly waiting = new Waiting((what) => this.rules.broken.push(what));
  private troubledUntil = 0;
  readonly lossAt: number[] = [];
  /** When a poll was last answered otherwise than with 503. */
  answersAt = 0;
  /** Rules broken by what all who were promised to know it took along. */
  excused = 0;
  /** Losses through which a controller lived that had read the store before, and those through which none did. */
  livedThrough = 0;
  diedIn = 0;
  /** What controllers must know of what users were told. */
  readonly memory = new Memory();
  /** The store's incarnation before the last loss. */
  private incarnation: string | null = null;
  /** The controllers that lived through the last loss so far; null: its rebuild is over. */
  private survivors: Set<Node> | null = null;

  constructor(
    seed: number,
    private readonly troubles: Troubles,
    private readonly size: Size = SMALL,
    /** Prints what the nodes log. */
    print = false,
  ) {
    this.nodes = size.nodes;
    // On every other day few records are kept, so that they are folded and accounts are written again and again.
    const { state, workers } = worldSettings('n0');
    this.settings = (label) =>
      worldSettings(label, {
        state: seed % 2 === 0 ? { ...state, tail: 12 } : state,
        nodes: size.nodes.length,
        peers: size.nodes.filter((n) => n !== label).map((n) => ({ label: n, zone: 'a', address: '' })),
        ...(troubles.lending ? { teams: LENDING_TEAMS } : troubles.atLimit ? { teams: TIGHT_TEAMS } : {}),
        ...(size.workers ? { workers: { ...workers, ...size.workers } } : {}),
      });
    this.time = new Time(seed, print);
    this.history = (troubles.losses?.length ?? 0) > 0 ? null : new History();
    this.luck = new Luck(seed);
    this.links = new Links(this.time, this.luck);
    this.state = new StateService(this.time, this.luck, this.links);
    if (troubles.manySmall) this.state.limits = { rps: 100, writeRps: 25, nodes: size.nodes.length };
    this.count = new Count(
      (id) => {
        const j = this.jobs.get(id);
        return j && { team: j.team, jobClass: j.jobClass, shape: [j.cpus * 1000, j.gpus * 1000, 2000] };
      },
      (machine) => this.kindOf(machine),
    );
    const records = new Set<string>();
    this.state.onPut = (key, value) => {
      this.count.put(key, value);
      this.meetings?.committed(key, value);
      // Not even once it is folded and deleted: a late copy of it finds no key, and must not commit.
      if (!key.startsWith(RECORD) || value === undefined || this.lossAt.length > 0) return;
      if (records.has(key)) this.rules.broken.push(`record_rewritten: ${key} at ${this.time.now}`);
      records.add(key);
    };
    this.state.onSpoilt = (key) => this.count.spoil(key);
    const s = this.settings('n0');
    this.limits = Object.fromEntries(s.teams.map((t) => [t.name, t.limit]));
    this.rules = new Rules(s.workers.cancel, this.limits);
    this.loans = troubles.lending
      ? new Loans(
          s.teams,
          (what) => this.rules.broken.push(what),
          (step) => this.step(step, ''),
        )
      : null;
    if (this.loans) this.state.onCommit = (key, value, stamp) => this.loans!.committed(key, value, stamp);
    this.meetings =
      troubles.meetings || MEETINGS.some((m) => troubles[m]) ? new Meetings(this.stage()) : null;
    this.rules.onStart = (task, machine) => this.meetings?.started(task, machine);
    this.rules.onComplete = (task) => this.meetings?.completed(task);
    this.rules.onOrdered = (task) => this.meetings?.ordered(task);
    this.time.onStep = () => this.rules.check(this.time.now);
    for (const n of this.nodes) this.boot(n);
    if ((troubles.losses?.length ?? 0) > 0) this.watch();
    if (troubles.lost) this.state.lossy = 0.03;
  }

  private stage(): ConstructorParameters<typeof Meetings>[0] {
    const { workers } = this.settings('n0');
    return {
      cloud: this.cloudWays,
      time: this.time,
      luck: this.luck,
      state: this.state,
      rules: this.rules,
      jobs: this.jobs,
      workers: this.workers,
      nodes: this.nodes,
      zones: ZONES,
      lease: workers.lease,
      cancelWithin: workers.cancel,
      strike: (what) => this.strike(what),
      troubled: (lasts) => this.troubled(lasts),
      leader: () => this.leader(),
      term: () => {
        const leader = this.leader();
        return leader === undefined ? null : this.live.get(leader)!.node.leadership.leads();
      },
      process: (node) => this.live.get(node),
      answering: (node) => (this.live.get(node)?.node.leadership.answering() ?? null) !== null,
      heardFrom: (machine) =>
        this.live
          .get(this.leader() ?? '')
          ?.node.book()
          ?.machines.get(machine)?.reported === true,
      counted: (team) => this.counted(team),
      places: (node, job) => (this.live.get(node)?.node.cache.jobs.get(job)?.placed.size ?? 0) > 0,
      placedOn: (machine) => [
        ...(this.live
          .get(this.leader() ?? '')
          ?.node.cache.byMachine.get(machine)
          ?.keys() ?? []),
      ],
      isDeleted: (machine) => this.hired.get(machine)?.deleted === true,
      node: () => this.node(),
      caches: () =>
        this.up().map(({ node: { cache } }) => ({
          jobs: cache.jobs.size,
          tail: cache.tail.size,
          finals: cache.finals.size,
        })),
      crash: (node, back) => this.crash(node, back),
      freeze: (node, lasts) => {
        this.troubled(lasts);
        this.host(node)?.freeze(this.time, lasts);
      },
      giveWay: (node, forMicros) => {
        const l = this.live.get(node);
        if (l) this.time.fork(l.node.leadership.giveWay('handover', forMicros), l.host);
      },
      cut: (a, b, state, lasts) => this.cut(a, b, state, lasts),
      link: (from, to, state, lasts) => {
        this.troubled(lasts);
        this.links.set(from, to, state, lasts);
      },
      take: (machine) => this.take(machine, false),
      submit: (arrival, via) => this.submit(null, undefined, arrival, via),
      bodies: this.bodies,
      call: (node, method, path, body, then) => this.call(node, method, path, body, then),
      cancel: (id, via, confirmed) => this.cancel(id, via, confirmed),
      ask: (what, id, node, then) => this.ask(what, id, node, then),
    };
  }

  private counted(team: string): Map<string, number> | null {
    const node = this.live.get(this.leader() ?? '')?.node;
    const book = node?.book() ?? null;
    if (node === undefined || book === null) return null;
    const out = new Map<string, number>();
    for (const { spec, placed } of node.cache.jobs.values())
      if (spec.team === team)
        for (const p of placed.values())
          if (!book.isEnding(spec.id, p.task)) out.set(`${spec.id}/${p.task}`, p.attempt);
    return out;
  }

  /** Any controller: users reach them through a load balancer. */
  private node(): string {
    return this.nodes[this.luck.int(this.nodes.length)]!;
  }

  private boot(name: string): void {
    const offset = this.luck.between(0, 1e9);
    const rate = 1 + this.luck.between(-0.00025, 0.00025);
    const began = this.time.now;
    const clock = (): Micros => micros(offset + (this.time.now - began) * rate);
    const host = new Host(name);
    const store = this.state.port(name);
    // The port stamps true time; the node reads its own clock.
    const own = new Proxy(store, {
      get: (t, k) => {
        if (k === 'lastServed' || k === 'lastRefused') return offset + ((t[k] as number) - began) * rate;
        if (k === 'leading') return t.leading;
        const call = Reflect.get(t, k) as (...args: unknown[]) => Effect.Effect<unknown>;
        if (!CHANGES.has(k as string)) return (...args: unknown[]) => host.gate(call(...args));
        return (...args: unknown[]) => {
          this.echo(name, () => void this.time.fork(call(...args)));
          return host.gate(call(...args));
        };
      },
    });
    const cloud = this.cloud();
    const node = makeNode(this.settings(name), {
      store: own,
      cloud: {
        types: () => host.gate(cloud.types()),
        list: () => host.gate(cloud.list()),
        hire: (h, still) => host.gate(cloud.hire(h, still)),
        remove: (ids, still) => host.gate(cloud.remove(ids, still)),
      },
      workers: {
        orders: (addr, body) =>
          Effect.sync(() => {
            const w = this.workers.get(addr);
            if (!w) return;
            // A gang of which half is told: the rest hears with its next report, if somebody still leads by then.
            if (this.troubles.lending && this.luck.chance(0.15)) return;
            this.echo(name, () => w.direct(body));
            this.links.send(name, `zone:${w.place.zone}`, () => w.direct(body));
          }),
      },
      peers: {
        exchange: (peer, beat) =>
          this.between(host, name, peer.label, 900_000, (there) =>
            Effect.zipRight(
              there.host.pass,
              Effect.sync(() => there.node.peers.receive(beat)),
            ),
          ),
      },
      views: {
        ask: (peer, path, body) =>
          this.between(host, name, peer.label, 2_500_000, (there) =>
            Effect.zipRight(there.host.pass, there.node.handlePeer({ method: 'POST', path, body })),
          ).pipe(
            Effect.flatMap((a) =>
              a.status === 200
                ? Effect.succeed(Buffer.from(a.body))
                : Effect.fail(new NoAnswer({ reason: `status ${a.status}` })),
            ),
          ),
      },
      relay: {
        relay: (peer, batch) =>
          this.between(host, name, peer.label, 2_500_000, (there) => {
            this.strike('relayed');
            const asked = { method: 'POST', path: '/relay', body: batch };
            const work = handled(there.node.quickPeer, (r) => there.node.handlePeer(r), asked);
            return Effect.zipLeft(Effect.zipRight(there.host.pass, work), there.host.pass);
          }).pipe(Effect.map((a) => Buffer.from(a.body))),
      },
      clock,
      dayTime: () => micros(this.time.now + DAY_BEGINS + (this.clockOff.get(name) ?? 0)),
      snapshots: null,
    });
    this.live.set(name, { label: name, node, host, fiber: this.time.fork(node.run, host) });
  }

  /** One exchange between two controllers, over the links as they are; late messages arrive all the same. */
  private between<A>(
    host: Host,
    from: string,
    to: string,
    timeout: number,
    answer: (there: Live) => Effect.Effect<A>,
  ): Effect.Effect<A, NoAnswer> {
    this.echo(from, () => {
      const there = this.live.get(to);
      if (there) this.time.fork(answer(there), there.host);
    });
    return host.gate(
      Effect.async<A, NoAnswer>((resume) => {
        const fail = (reason: string) => () => resume(Effect.fail(new NoAnswer({ reason })));
        this.time.after(timeout, fail('timeout'));
        this.links.send(
          from,
          to,
          () => {
            const there = this.live.get(to);
            if (!there) return;
            this.time.fork(answer(there), there.host).addObserver((e) => {
              if (!Exit.isSuccess(e)) return;
              const back = () =>
                this.links.answer(from, to, () => resume(Effect.succeed(e.value)), fail('reset'));
              // Now and then an answer is slow on its way: what it says is then old.
              if (this.luck.chance(0.03)) this.time.after(this.luck.between(0, 850_000), back);
              else back();
            });
          },
          fail('reset'),
        );
      }),
    );
  }

  /** Both directions between two ends. */
  cut(a: string, b: string, state: LinkState, lasts: number): void {
    this.troubled(lasts);
    this.links.set(a, b, state, lasts);
    this.links.set(b, a, state, lasts);
  }

  /** All that a controller talks to but the state service and the cloud. */
  private isolate(node: string, lasts: number): void {
    for (const end of ['users', ...ZONES.map((z) => `zone:${z}`), ...this.nodes.filter((n) => n !== node)])
      this.cut(node, end, 'held', lasts);
  }

  /** A trouble begins that lasts so long: until then, nobody need be answered. */
  private troubled(lasts: number): void {
    this.rules.calmAt = Math.max(this.rules.calmAt, this.time.now + lasts);
  }

  echo(from: string, again: () => void): void {
    if (!this.troubles.echoes) return;
    const list = this.sent.get(from) ?? [];
    list.push({ at: this.time.now, again });
    if (list.length > SENT_KEPT) list.shift();
    this.sent.set(from, list);
    if (this.luck.chance(0.01)) this.comesAgain(again);
  }

  private comesAgain(again: () => void): void {
    const late = this.luck.chance(0.2) ? this.luck.between(2e6, 40e6) : this.luck.between(1000, 2e6);
    this.strike('echoes');
    this.time.after(late, again);
  }

  /** What a process or a machine sent before its end may come once more after it. */
  private echoesOf(from: string): void {
    for (const s of this.sent.get(from) ?? [])
      if (s.at > this.time.now - SENT_FOR && this.luck.chance(0.5)) this.comesAgain(s.again);
    this.sent.delete(from);
  }

  reported(by: Worker, node: string, body: Buffer): void {
    this.meetings?.reported(by, node, body);
  }
  holds(by: Worker): number {
    return this.meetings?.holds(by) ?? 0;
  }
  wentOn(lapsed: boolean, order: boolean): void {
    this.meetings?.wentOn(lapsed, order);
  }
  stoppedDirectly(by: Worker, task: string): void {
    this.meetings?.stoppedDirectly(by, task);
  }
  reaped(task: string, done: boolean): void {
    this.meetings?.reaped(task, done);
  }

  crash(name: string, back: number): void {
    const l = this.live.get(name);
    if (!l) return;
    this.troubled(back);
    this.echoesOf(name);
    this.live.delete(name);
    this.survivors?.delete(l.node);
    this.time.fork(Fiber.interruptFork(l.fiber));
    this.time.after(back, () => this.boot(name));
  }

  handle(node: string, r: Incoming): Effect.Effect<Answer> | null {
    const l = this.live.get(node);
    if (l && r.path === '/agent/beat') this.meetings?.heard(node);
    // It waits unread in the node's sockets while that stands still.
    return l
      ? Effect.zipLeft(
          Effect.zipRight(
            l.host.pass,
            handled(l.node.quick, (x) => l.node.handle(x), r),
          ),
          l.host.pass,
        )
      : null;
  }
  host(node: string): Host | undefined {
    return this.live.get(node)?.host;
  }
  private cloud(): CloudPort {
    const call = <A>(go: () => A | CloudRefused): Effect.Effect<A, CloudRefused> =>
      Effect.async<A, CloudRefused>((resume) => {
        this.time.after(this.luck.between(50_000, 200_000), () => {
          const r = this.cloudOut ? new CloudRefused({ status: 503, reason: 'trouble' }) : go();
          resume(r instanceof CloudRefused ? Effect.fail(r) : Effect.succeed(r));
        });
      });
    return {
      types: () => call(() => TYPES as readonly MachineType[]),
      list: () =>
        call(() => {
          const asOf = this.time.now - this.luck.between(0, this.troubles.oldLists ? 20e6 : 8e6);
          const there = [...this.hired.values()].filter((h) => !h.deleted && h.at <= asOf);
          this.meetings?.listed(there.map((h) => h.id));
          return there.map((h) => ({
            id: h.id,
            addr: h.id,
            type: h.type.name,
            zone: h.zone,
            spot: h.spot,
            status: h.status,
            age: micros(asOf - h.at),
          }));
        }),
      hire: (h, still) => {
        const way = this.meetings?.hires() ?? null;
        const act = (): readonly string[] | null => {
          this.rules.hired(h.name, `${h.type} ${h.zone} ${h.spot} ${h.count}`);
          const old = this.hires.get(h.name);
          if (old) return old;
          const have = [...this.hired.values()].filter(
            (x) => !x.deleted && x.type.name === h.type && x.zone === h.zone,
          ).length;
          const n = Math.min(h.count, 6 - have);
          if (n <= 0) return null;
          if (this.paysAttention() && (way?.late ?? 0) === 0) {
            this.lookForWaiting();
            this.charged.rented(this.time.now, n);
          }
          const ids: string[] = [];
          for (let i = 0; i < n; i++)
            ids.push(
              this.rent(
                TYPES.find((t) => t.name === h.type)!,
                h.zone,
                h.spot,
              ),
            );
          this.hires.set(h.name, ids);
          if (way !== null) for (const id of ids) this.meetings?.rented(id, way);
          return ids;
        };
        const entitled = <A>(go: () => A): A | CloudRefused =>
          still() ? go() : new CloudRefused({ status: 0, reason: 'no longer entitled' });
        if (way === null) return call(() => entitled(act));
        // It is sent, and what becomes of it is told late or never: the client waits for 4 s.
        return Effect.async<readonly string[] | null, CloudRefused | NoAnswer>((resume) => {
          const refusal = entitled(() => null);
          if (refusal !== null) return resume(Effect.fail(refusal));
          this.time.after(4e6, () => resume(Effect.fail(new NoAnswer({ reason: 'timeout' }))));
          this.time.after(this.luck.between(50_000, 200_000) + way.late, () => {
            const ids = act();
            if (way.answer !== null) this.time.after(way.answer, () => resume(Effect.succeed(ids)));
          });
        });
      },
      remove: (ids, still) =>
        call(() => {
          if (!still()) return new CloudRefused({ status: 0, reason: 'no longer entitled' });
          for (const id of ids) this.take(id, true);
        }),
    };
  }

  private rent(type: MachineType, zone: string, spot: boolean): string {
    const id = `vm-${String(++this.machineNo).padStart(6, '0')}`;
    const h: Hired = { id, type, zone, spot, at: this.time.now, status: 'booting', deleted: false };
    this.hired.set(id, h);
    const trouble = this.time.now < this.lateUntil;
    if (trouble) this.strike('lateBoots');
    if (this.luck.chance(trouble ? 0.25 : 0.03)) return id;
    const times = trouble ? this.luck.between(3, 8) : this.luck.between(0.1, 1.5);
    const fast = this.time.now < this.cloudWays.fastUntil && this.luck.chance(0.6);
    this.time.after(fast ? this.luck.between(50_000, 2e6) : type.boot * times, () => {
      if (h.deleted) return;
      h.status = 'running';
      const s = this.settings('n0').workers;
      const w = new Worker(
        { id, type: type.name, zone, spot },
        type,
        this.time,
        this.luck,
        this,
        this.rules,
        this,
        s,
        this.troubles.faultyMachines === true && this.luck.chance(0.15) && this.strike('faultyMachines'),
        (tasks) => (this.killed += tasks),
      );
      this.workers.set(id, w);
      this.meetings?.came(w);
    });
    return id;
  }

  private take(id: string, deleted: boolean): void {
    const h = this.hired.get(id);
    if (h) {
      if (deleted) h.deleted = true;
      else this.time.after(30e6, () => (h.status = 'failed'));
    }
    if (deleted && h) this.meetings?.deleted(this.workers.get(id), id);
    this.workers.get(id)?.die();
    this.workers.delete(id);
  }

  private call(
    node: string,
    method: string,
    path: string,
    body: string | null,
    then: (a: Answer | null, got: Got | undefined) => void,
  ): void {
    let over = false;
    const [ask, id] = askedOf(method, path, body);
    const asked = this.history?.begins(ask, id, node, this.time.now);
    const known = this.rules.asOf(id);
    const finish = (a: Answer | null, got?: Got) => {
      if (over) return;
      over = true;
      if (asked) this.hold(asked, a);
      then(a, got && { ...got, known });
    };
    this.time.after(5e6, () => finish(null));
    this.links.send(
      'users',
      node,
      () => {
        const process = this.live.get(node);
        const effect = this.handle(node, { method, path, body: Buffer.from(body ?? '') });
        if (effect === null || process === undefined) return void this.time.after(1e6, () => finish(null));
        this.time.fork(effect).addObserver((e) => {
          if (!Exit.isSuccess(e)) return;
          const got = this.got(process, method);
          this.links.answer(
            'users',
            node,
            () => finish(e.value, got),
            () => finish(null),
          );
        });
      },
      () => finish(null),
    );
  }

  /** An answer, or none, has come to its user: it is held against all others. */
  private hold(asked: Open, a: Answer | null): void {
    const said = a === null ? null : answeredOf(a);
    if (said !== null) this.rules.broken.push(...this.history!.ends(asked, said, this.time.now));
    this.meetings?.answered(asked, said);
  }

  /** One request about a job to one controller, beside those of its user. */
  private ask(
    what: Ask,
    id: string,
    node: string,
    then: (asked: Asked, a: Answered | null) => void = () => undefined,
  ): void {
    const body = what === 'submit' ? this.bodies.get(id) : null;
    if (body === undefined) return;
    const path = what === 'submit' ? '/work' : `/work/${id}${what === 'cancel' ? '/withdraw' : ''}`;
    if (what === 'cancel') this.rules.askCancel(id);
    const asked = { ask: what, id, node, began: this.time.now };
    this.call(node, what === 'poll' ? 'GET' : 'POST', path, body, (a, got) => {
      const said = a === null ? null : answeredOf(a);
      if (said !== null && what === 'submit') this.rules.submitted(id, said.status, this.time.now, got);
      else if (said !== null) this.rules.answered(id, said.status, said.state, this.time.now, said.done, got);
      then(asked, said);
    });
  }

  /**
   * An answer leaves a controller now. Of what is changed it tells two others first, or a leader of an end; whoever else
   * says that a job is over has read so, and the leader knows.
   */
  private got(by: Process, method: string): Got {
    const now = this.time.now;
    const leader = this.leader();
    const fact = (among: (p: Process) => boolean): Fact => this.memory.fact(now, by, among);
    return {
      fact: fact(() => method === 'POST'),
      end: fact((p) => leader === by.label || p.label === leader),
      present: this.memory.present(now, by),
    };
  }

  /** A user: submits with retries, polls, now and then cancels, and asks again when all is over. */
  submit(
    cancelAfter: number | null,
    guest?: { readonly tasks: number; readonly cpus: number },
    crowd: Arrival | null = null,
    via = (): string => this.node(),
  ): string | undefined {
    const l = this.luck;
    const id = `job-${String(l.int(1e9)).padStart(9, '0')}`;
    if (this.jobs.has(id)) return undefined;
    const shape = l.chance(0.35) ? 'ensemble' : l.chance(0.1) && cancelAfter !== null ? 'daemon' : 'array';
    const gpus = l.chance(0.3) ? 1 : 0;
    const oneZone = l.chance(0.4);
    const job: JobTruth = {
      id,
      jobClass: 'x',
      team: l.chance(0.5) ? 'red' : 'blue',
      shape,
      tasks:
        shape === 'ensemble' ? this.size.gangs[l.int(this.size.gangs.length)]! : 1 + l.int(this.size.arrays),
      cpus: 1 + l.int(6),
      gpus,
      types: gpus > 0 ? ['g4'] : l.chance(0.3) ? ['c8'] : null,
      zone: l.chance(0.2) ? 'a' : null,
      oneZone,
      spread: !oneZone && l.chance(0.15),
      spot: l.chance(0.5),
      runUs: l.between(3e6, 25e6),
      saveEvery: l.chance(0.5) ? 5e6 : 0,
      saveTakes: 2e6,
      broken: l.chance(this.troubles.brokenJobs ? 0.5 : 0.03) && cancelAfter !== null,
      image: id,
      imageGb: 1,
      submitted: true,
      progress: new Map(),
      finished: new Set(),
    };
    if (job.zone !== null) (job as { spread: boolean }).spread = false;
    if (guest) {
      const tiny = {
        team: 'guest',
        shape: 'array',
        gpus: 0,
        types: null,
        zone: null,
        spread: false,
        runUs: 4e6,
      };
      Object.assign(job, tiny, guest, { oneZone: false, broken: false });
    }
    if (crowd) Object.assign(job, crowd.job);
    if (job.broken) this.strike('brokenJobs');
    if (job.shape !== 'array' && !crowd)
      while (job.cpus > 1 && job.cpus * job.tasks > this.size.cpus) (job as { cpus: number }).cpus--;
    this.jobs.set(id, job);
    this.begun.submit(job, this.time.now, this.limits[job.team]?.cpus);
    const body = JSON.stringify({
      id,
      jobClass: job.jobClass,
      owner: job.team,
      shape: job.shape,
      urgency: crowd?.urgency ?? (guest ? 'low' : ['low', 'normal', 'high', 'production'][l.int(4)]),
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
      dueS: crowd?.due ?? null,
    });
    this.rules.specs.set(id, job);
    this.bodies.set(id, body);
    const attempt = (n: number): void => {
      this.call(via(), 'POST', '/work', body, (a, got) => {
        if (a) this.rules.submitted(id, a.status, this.time.now, got);
        if (a && (a.status === 200 || a.status === 201)) {
          this.accepted++;
          this.poll(id);
          if (l.chance(0.2))
            this.time.after(l.between(1e6, 60e6), () =>
              this.call(
                this.node(),
                'POST',
                '/work',
                body,
                (b, again) => b && this.rules.submitted(id, b.status, this.time.now, again),
              ),
            );
        } else if (n < 60) this.time.after(1e6, () => attempt(n + 1));
      });
    };
    attempt(0);
    if (cancelAfter !== null) this.time.after(cancelAfter, () => this.cancel(id));
    return id;
  }

  private cancel(
    id: string,
    via = (): string => this.node(),
    confirmed: (by: string) => void = () => undefined,
  ): void {
    this.rules.askCancel(id);
    const by = via();
    this.call(by, 'POST', `/work/${id}/withdraw`, null, (a, got) => {
      if (a?.status === 200) {
        this.rules.answered(
          id,
          200,
          (JSON.parse(a.body.toString()) as { status: string }).status,
          this.time.now,
          undefined,
          got,
        );
        if (this.rules.state(id) === 'aborted') confirmed(by);
      } else this.time.after(1e6, () => this.cancel(id, via, confirmed));
    });
  }

  private poll(id: string): void {
    const sent = this.time.now;
    this.call(this.node(), 'GET', `/work/${id}`, null, (a, got) => {
      const answered = a !== null && (a.status === 200 || a.status === 404);
      this.rules.polled(id, answered && this.time.now - sent <= POLL_PATIENCE, this.time.now);
      if (this.storming && !answered) this.strike('storm');
      const said =
        a?.status === 200 ? (JSON.parse(a.body.toString()) as { status: string; done?: number }) : undefined;
      const state = said?.status;
      if (a) this.rules.answered(id, a.status, state, this.time.now, said?.done, got);
      if (a !== null && a.status !== 503) this.answersAt = this.time.now;
      if (state === 'done' || state === 'aborted') {
        // What is over is asked about to the day's end.
        if (this.meetings) this.time.after(6e6, () => this.poll(id));
        if (this.meetings?.overBefore(id)) return;
        this.over++;
        this.time.after(this.luck.between(1e6, 90e6), () =>
          this.call(this.node(), 'GET', `/work/${id}`, null, (b, later) => {
            if (b) {
              const s =
                b.status === 200 ? (JSON.parse(b.body.toString()) as { status: string }).status : undefined;
              this.rules.answered(id, b.status, s, this.time.now, undefined, later);
            }
          }),
        );
        return;
      }
      this.time.after(this.storming ? 0.3e6 : 3e6, () => this.poll(id));
    });
  }

  /** Asks about jobs that nobody has submitted. */
  private stranger(): void {
    const id = `job-9${String(this.luck.int(1e8)).padStart(10, '0')}`;
    this.call(this.node(), 'GET', `/work/${id}`, null, (a) => {
      if (a) this.rules.answered(id, a.status, undefined, this.time.now);
    });
  }

  private strike(what: keyof Troubles | 'relayed'): true {
    this.struck[what] = (this.struck[what] ?? 0) + 1;
    return true;
  }

  /** Three calendars a day; two operators apply the second at once, the leader crashing. */
  private plan(troubled: number): void {
    const l = this.luck;
    const parts = {
      time: this.time,
      state: this.state,
      dayBegins: DAY_BEGINS,
      views: () => this.up().flatMap(({ node }) => (node.doubt.active ? [] : [node.cache])),
      lostAt: () => this.lossAt[this.lossAt.length - 1] ?? Number.NEGATIVE_INFINITY,
      told: (id: string) => this.rules.isTold(id),
      broke: (rule: string, what: string) => void this.rules.broken.push(`${rule}: ${what}`),
    };
    const c = (this.cutoffs = new Cutoffs(parts));
    this.time.after(1e6, () => c.apply('operator', calendarOf(1, DAY_BEGINS)));
    this.time.after(l.between(20e6, troubled * 0.5), () => {
      this.strike('cutoffs');
      const leader = this.leader();
      if (leader !== null)
        this.time.after(l.between(0, 60_000), () => this.crash(leader as string, l.between(1e6, 6e6)));
      c.apply('operator', calendarOf(2, DAY_BEGINS));
      if (l.chance(0.5)) c.apply('other', calendarOf(2, DAY_BEGINS, 1));
    });
    this.time.after(l.between(troubled * 0.6, troubled), () => c.apply('other', calendarOf(3, DAY_BEGINS)));
    const look = (): void => {
      c.look();
      this.time.after(LOOK_EVERY, look);
    };
    look();
  }

  /** Some jobs, some troubles, then a quiet time in which everything should come to its end. */
  play(jobs: number, troubled: number, quiet: number): void {
    const l = this.luck;
    for (let i = 0; i < jobs; i++) {
      if (this.size.crowd) {
        const arrival = crowdArrival(l);
        this.time.after(l.between(0, troubled * 0.7), () => this.submit(null, undefined, arrival));
        continue;
      }
      const cancels = l.chance(0.25) ? l.between(1e6, 60e6) : null;
      this.time.after(l.between(0, troubled * 0.7), () => this.submit(cancels));
    }
    for (let i = 0; i < 5; i++) this.time.after(l.between(0, troubled), () => this.stranger());
    this.troubledUntil = troubled;
    if (this.troubles.lending)
      for (const c of coming(l, troubled, this.size === SMALL ? 1 : 2))
        this.time.after(c.at, () => this.submit(c.cancelAfter, undefined, c.arrival));
    const t = this.troubles;
    const kinds: (() => void)[] = [];
    const pick = () => this.node();
    if (t.quickRestart) kinds.push(...this.quickRestarts());
    if (t.machineRestart) kinds.push(...this.machineRestarts());
    if (t.storm) this.storm(troubled);
    if (t.nodeCrash) {
      kinds.push(() => this.crash(pick(), l.between(2e6, 12e6)));
      kinds.push(() => this.nodes.forEach((n) => this.crash(n, l.between(2e6, 8e6))));
    }
    if (t.stateOutage) {
      kinds.push(() => {
        if (this.state.out) return;
        this.state.outage(true);
        const lasts = l.between(3e6, 30e6);
        this.troubled(lasts);
        this.time.after(lasts, () => this.state.outage(false));
      });
    }
    if (t.stateCut) {
      kinds.push(() => {
        const n = pick();
        this.state.refusedTo.add(n);
        const lasts = l.between(3e6, 30e6);
        this.troubled(lasts);
        this.time.after(lasts, () => this.state.refusedTo.delete(n));
      });
    }
    if (t.netCut) {
      kinds.push(() => {
        const lasts = l.between(3e6, 30e6);
        if (l.chance(0.5)) this.isolate(pick(), lasts);
        else this.cut(`zone:${l.chance(0.5) ? 'a' : 'b'}`, pick(), 'held', lasts);
      });
    }
    if (t.freeze) {
      const freeze = (node: string) => {
        this.strike('freeze');
        const lasts = l.between(1e6, 45e6);
        this.troubled(lasts);
        this.host(node)?.freeze(this.time, lasts);
      };
      kinds.push(() => freeze(pick()));
      kinds.push(() => freeze(this.leader() ?? pick()));
    }
    const cutFor = (kind: 'workers' | 'peers', node: string) => {
      this.strike(`${kind}Cut`);
      const lasts = l.between(5e6, 40e6);
      const ends = kind === 'peers' ? this.nodes.filter((n) => n !== node) : ZONES.map((z) => `zone:${z}`);
      for (const end of ends) this.cut(node, end, 'held', lasts);
    };
    if (t.workersCut) kinds.push(() => cutFor('workers', this.leader() ?? pick()));
    if (t.peersCut) kinds.push(() => cutFor('peers', pick()));
    if (t.lateBoots) kinds.push(() => (this.lateUntil = this.time.now + l.between(10e6, 40e6)));
    if (t.guests) {
      this.time.after(l.between(10e6, 40e6), () => {
        this.strike('guests');
        this.submit(null, { tasks: 40 * this.size.arrays, cpus: 0.25 });
        for (let i = 0; i < 40; i++)
          this.time.after(l.between(0, 30e6), () => this.submit(null, { tasks: 1, cpus: 0.25 }));
      });
    }
    for (const plan of [...(t.links ?? []), ...(t.losses ?? [])])
      this.rules.calmAt = Math.max(this.rules.calmAt, plan.at[1]);
    for (const plan of t.links ?? [])
      this.time.after(l.between(plan.at[0], plan.at[1]), () => this.fault(plan));
    for (const plan of t.losses ?? [])
      this.time.after(l.between(plan.at[0], plan.at[1]), () => this.lose(plan));
    if (t.cutoffs) this.plan(troubled);
    if (t.clockSteps)
      kinds.push(() => {
        this.strike('clockSteps');
        this.clockOff.set(this.leader() ?? pick(), l.between(-10e6, 10e6));
      });
    if (t.everythingRestarts) {
      this.time.after(l.between(40e6, 60e6), () => {
        this.strike('everythingRestarts');
        this.state.outage(true);
        this.troubled(25e6);
        this.time.after(25e6, () => this.state.outage(false));
        for (const n of this.nodes) this.crash(n, l.between(2e6, 8e6));
        const up = [...this.workers.keys()];
        for (const id of up.filter((_, i) => i % 2 === 0))
          this.time.after(l.between(1e6, 10e6), () => this.take(id, false));
        for (let i = 0; i < 20; i++) this.time.after(l.between(0, 20e6), () => this.submit(null));
      });
    }
    if (t.flood) {
      kinds.push(() => {
        const node = l.chance(0.5) ? (this.leader() ?? pick()) : pick();
        this.host(node)?.freeze(this.time, 1.8e6);
        const ids = [...this.jobs.keys()];
        for (let i = 0; i < 400; i++)
          this.call(node, 'GET', `/work/${ids[l.int(ids.length)]}`, null, (a) => {
            if (a?.status === 503 && Number(a.headers?.['Retry-After']) >= 1) this.strike('flood');
          });
      });
    }
    const machine = () => [...this.workers.values()][l.int(Math.max(1, this.workers.size))];
    if (t.machineDie) {
      kinds.push(() => {
        const w = machine();
        if (w) this.take(w.place.id, false);
      });
      kinds.push(() => {
        const w = machine();
        if (!w?.place.spot) return;
        w.recallAt = this.time.now + l.between(4e6, 15e6);
        this.time.after(w.recallAt - this.time.now, () => this.take(w.place.id, true));
      });
    }
    if (t.machineHang) {
      kinds.push(() => {
        const w = machine();
        if (!w) return;
        w.hanging = true;
        const lasts = l.between(2e6, 40e6);
        this.troubled(lasts);
        this.time.after(lasts, () => (w.hanging = false));
      });
    }
    if (t.cloudOutage) {
      kinds.push(() => {
        this.cloudOut = true;
        const lasts = l.between(5e6, 40e6);
        this.troubled(lasts);
        this.time.after(lasts, () => (this.cloudOut = false));
      });
    }
    const { meetings } = this;
    if (meetings) {
      if (t.meetings) meetings.together(troubled);
      for (const m of MEETINGS.filter((x) => t[x] && x !== 'gap')) kinds.push(meetings.kinds[m]);
      // Twice, far enough apart for the first to be over.
      if (t.gap) for (const part of [0.08, 0.6]) this.time.after(part * troubled, meetings.kinds.gap);
    }
    if (kinds.length > 0) {
      for (let at = 15e6; at < troubled; at += l.between(5e6, 25e6)) {
        this.rules.calmAt = Math.max(this.rules.calmAt, at);
        this.time.after(at, () => kinds[l.int(kinds.length)]!());
      }
    }
    const end = troubled + quiet;
    for (let at = 0; at < end && !this.spoilt(); at += 1e6) {
      this.time.run(at);
      this.settleLoss();
      this.second();
      this.lookForWaiting();
      if (at % 5e6 === 0) this.rules.broken.push(...this.accountsApart());
      this.judge();
      // Long enough for a job that nobody answers for to show.
      if (meetings && at < this.rules.calmAt + 90e6) continue;
      if (this.paysAttention() && this.charged.open) continue;
      if (at > troubled + 60e6 && this.unfinished().length === 0) break;
    }
    if (this.diedIn === 0) this.rules.broken.push(...this.accountsWrong());
    if (this.loans && this.unfinished().length === 0) this.loans.end();
  }

  /** A step of a loan: now and then the leader dies just after it, and the next one too; all are back soon. */
  step(what: Step, machine: string): void {
    if (!this.troubles.lending || this.time.now > this.troubledUntil) return;
    const l = this.luck;
    const key = `after_${what}` as const;
    const strike = (): void => void (this.struck[key] = (this.struck[key] ?? 0) + 1);
    const fall = (): void => {
      const leader = this.leader();
      if (leader !== undefined) this.crash(leader, 200_000);
    };
    if (l.chance(0.06)) {
      strike();
      this.time.after(l.between(0, 20_000), fall);
      if (l.chance(0.5)) this.time.after(l.between(300_000, 3e6), fall);
    }
    if (what === 'stopped' && l.chance(0.05)) this.time.after(1e6, () => this.take(machine, false));
  }

  /** Once the troubles are over: who waits although there is room. */
  private lookForWaiting(): void {
    const { now } = this.time;
    const calm = now >= this.rules.calmAt;
    if (!calm) this.waiting.troubled();
    if (!calm && !this.paysAttention()) return;
    const on = new Map<string, Map<string, { readonly zone: string }>>();
    const used = new Map<string, Amounts>();
    const rooms: RoomOn[] = [];
    for (const { place, ...w } of this.upWorkers()) {
      for (const key of w.held) {
        const id = key.slice(0, key.indexOf('/'));
        const tasks = on.get(id) ?? new Map<string, { readonly zone: string }>();
        on.set(id, tasks.set(key, place));
        const { team, cpus, gpus } = this.jobs.get(id)!;
        const [c, g, m] = used.get(team) ?? [0, 0, 0];
        const need = amounts(cpus, gpus, TASK_MEM_GB);
        used.set(team, [c + need[0], g + need[1], m + need[2]]);
      }
      if (w.spare !== null) rooms.push({ machine: place.id, ...place, free: w.spare });
    }
    const wants = (jobs: readonly JobTruth[]): Wanted[] =>
      jobs.map((j): Wanted => {
        const tasks = on.get(j.id) ?? new Map<string, { readonly zone: string }>();
        let waiting = 0;
        for (let i = 0; i < j.tasks; i++) if (!j.finished.has(i) && !tasks.has(`${j.id}/${i}`)) waiting++;
        const need = amounts(j.cpus, j.gpus, TASK_MEM_GB);
        return { spec: j, shape: j.shape, waiting, on: tasks, need };
      });
    const all = [...this.jobs.values()];
    if (this.paysAttention()) {
      // A controller may know of a job before its user does, and of a cancellation after.
      const known = all.filter((j) => ['accepted', undefined].includes(this.rules.state(j.id)));
      this.lookAtCharges(wants(known), rooms);
    }
    if (!calm) return;
    const wanted = all
      .filter((j) => this.rules.state(j.id) === 'accepted' && !this.rules.cancelAsked(j.id) && !j.broken)
      .filter((j) => this.remembered(j.id));
    const limits = new Map(Object.entries(this.limits).map(([team, l]) => [team, [l.cpus, l.gpus] as const]));
    this.waiting.look(now, wants(wanted), rooms, used, limits);
  }

  /** What is paid for is looked at on days whose troubles are about that. */
  private paysAttention(): boolean {
    return this.troubles.fastBoots === true || this.troubles.machineMute === true;
  }

  private lookAtCharges(wanted: readonly Wanted[], rooms: readonly RoomOn[]): void {
    const { now } = this.time;
    const paid = [...this.hired.values()].filter((h) => !h.deleted && h.status !== 'failed');
    const booting = paid
      .filter((h) => h.status === 'booting' && now - h.at < 1.5 * h.type.boot)
      .map(({ id, type, zone, spot }): RoomOn => {
        const free = amounts(type.cpus, type.gpus, type.memGb);
        return { machine: id, type: type.name, zone, spot, free };
      });
    this.charged.look(
      now,
      this.rules.calmAt,
      paid.map((h) => ({
        id: h.id,
        rentedAt: h.at,
        boot: h.type.boot,
        up: h.status === 'running',
        used: (this.workers.get(h.id)?.held().length ?? 0) > 0,
      })),
      wanted,
      [...rooms, ...booting],
    );
  }

  private upWorkers() {
    return [...this.workers.values()]
      .filter((w) => w.alive)
      .map((w) => ({ place: w.place, held: w.held(), spare: w.spare() }));
  }

  private second(): void {
    if (!this.loans) return;
    this.loans.check(
      this.time.now,
      this.up().map((x) => x.node.cache),
      this.leader() !== undefined,
    );
    const on = new Map<string, number>();
    for (const w of this.workers.values())
      for (const t of w.tasks.values()) {
        if (t.status !== 'running') continue;
        const id = t.key.slice(0, t.key.indexOf('/'));
        on.set(id, (on.get(id) ?? 0) + 1);
      }
    for (const j of this.jobs.values()) {
      if (j.shape !== 'daemon' || j.gpus === 0 || !j.image.startsWith('w-')) continue;
      if (this.rules.state(j.id) === 'accepted' && !this.rules.cancelAsked(j.id))
        this.serving.second(this.time.now, j, on.get(j.id) ?? 0);
    }
  }

  /** Each crashes controllers that are back at once. */
  private quickRestarts(): (() => void)[] {
    const l = this.luck;
    const at = (delay: number, node: () => string | undefined): void => {
      this.troubled(delay);
      this.time.after(delay, () => {
        const n = node();
        if (n === undefined) return;
        this.strike('quickRestart');
        this.crash(n, l.between(...AT_ONCE));
      });
    };
    const some = (): string[] => {
      const n = [1, Math.ceil(this.nodes.length / 2), this.nodes.length][l.int(3)]!;
      return [...this.nodes].sort(() => l.next() - 0.5).slice(0, n);
    };
    return [
      () => some().forEach((n) => at(l.between(0, 400_000), () => n)),
      // Loops: each comes up for a while, sometimes not for long enough to read the store.
      () => {
        const up = l.chance(0.5) ? 700_000 : 4e6;
        for (const n of some())
          for (let i = 0, t = 0; i < 3 + l.int(10); i++, t += l.between(100_000, up)) at(t, () => n);
      },
      // The leader, and whoever leads next, a few times: elections and first turns break off in the middle.
      () => {
        for (let i = 0, t = 0; i < 2 + l.int(4); i++, t += l.between(300_000, 6e6))
          at(t, () => this.leader() ?? this.node());
      },
      // All, again and again, within the second in which the state service is back.
      () => {
        if (this.state.out) return;
        const lasts = l.between(2e6, 12e6);
        this.state.outage(true);
        this.troubled(lasts);
        this.time.after(lasts, () => this.state.outage(false));
        for (const n of this.nodes) for (let i = 0; i < 3; i++) at(lasts + l.between(-500_000, 1e6), () => n);
      },
    ];
  }

  private machineRestarts(): (() => void)[] {
    const l = this.luck;
    const again = (w: Worker): void => {
      if (!w.alive || w.hanging) return;
      this.strike('machineRestart');
      this.echoesOf(w.place.id);
      w.restart(l.between(...AT_ONCE));
    };
    const some = (part: number): Worker[] => [...this.workers.values()].filter(() => l.chance(part));
    return [
      () => some([0.1, 0.5, 1][l.int(3)]!).forEach((w) => this.time.after(l.between(0, 1e6), () => again(w))),
      () => {
        for (const w of some(0.3))
          for (let i = 0, t = 0; i < 2 + l.int(5); i++, t += l.between(600_000, 5e6))
            this.time.after(t, () => again(w));
      },
    ];
  }

  /** All timers of all controllers fire late from some moment on, and users poll ten times as often. */
  private storm(until: number): void {
    const begins = this.luck.between(15e6, 25e6);
    this.time.after(begins, () => {
      this.storming = true;
      const late = (ms: number): void => {
        for (const n of this.nodes) {
          const host = this.host(n);
          if (host) host.late = Duration.millis(ms);
        }
      };
      const again = (): void => {
        this.storming = this.time.now < until;
        late(this.storming ? this.luck.between(850, 1000) : 0);
        if (this.storming) this.time.after(1e6, again);
      };
      again();
    });
  }

  private fault(plan: LinkPlan): void {
    const end = (name: string): string =>
      name === 'leader' ? (this.leader() ?? this.node()) : name === 'any' ? this.node() : name;
    const [a, b] = [end(plan.from), end(plan.to)];
    const lasts = this.luck.between(plan.lasts[0], plan.lasts[1]);
    this.strike('links');
    if (plan.both) this.cut(a, b, plan.state, lasts);
    else {
      this.troubled(lasts);
      this.links.set(a, b, plan.state, lasts);
    }
  }

  private lose(plan: LossPlan): void {
    const l = this.luck;
    this.strike('losses');
    this.troubled(plan.out);
    if (plan.loss.kind === 'copies') this.troubled(plan.out + plan.loss.lasts);
    if (plan.out > 0) this.state.outage(true);
    const leader = this.leader();
    const order = [...this.nodes].sort(() => l.next() - 0.5);
    const crash = {
      none: [],
      one: order.slice(0, 1),
      leader: [leader ?? order[0]!],
      'all but one': order.slice(1),
      all: order,
    }[plan.crash];
    for (const n of crash) {
      const at = l.between(plan.within[0], plan.within[1]);
      this.time.after(Math.max(0, plan.out + at), () => this.crash(n, l.between(plan.back[0], plan.back[1])));
    }
    this.time.after(plan.out, () => {
      this.lossAt.push(this.time.now);
      this.survivors = new Set(this.up().flatMap((x) => (x.node.doubt.incarnation ? [x.node] : [])));
      const { loss } = plan;
      this.incarnation = this.up()[0]?.node.doubt.incarnation?.id ?? null;
      const kept =
        loss.kind === 'window' ? this.time.now - loss.since : loss.kind === 'copies' ? Infinity : 0;
      this.memory.lose(this.time.now, kept);
      this.state.lose(loss);
      if (plan.out > 0) this.state.outage(false);
    });
  }

  /** Whether the last loss is made good, as far as the store tells; once it is, who lived through it is counted. */
  /** A rule is broken that the day must keep. */
  private spoilt(): boolean {
    const { broken } = this.rules;
    return this.diedIn === 0 ? broken.length > 0 : broken.some((b) => !BY_MEMORY.test(b));
  }

  /** Rules that rest on memory are broken for good, or not, once it is known who lived on. */
  private judge(): void {
    const rebuilt = this.rebuilt(this.incarnation) && !this.state.keys.has(REBUILD);
    const open = !this.memory.settle(this.time.now, rebuilt);
    if (open) return;
    for (const d of this.rules.doubtful.splice(0))
      if (this.memory.promised(d.facts, d.at, d.present)) this.rules.broken.push(d.what);
      else this.excused++;
  }

  /** How each controller that is up stands, ten times a second. */
  private watch(): void {
    const ok = (a: string, b: string): boolean =>
      this.links.state(a, b) === null && this.links.state(b, a) === null;
    const up = [...this.live.values()];
    this.memory.look(
      this.time.now,
      up.map((l) => ({
        process: l,
        fine:
          !l.host.still &&
          l.node.unready() === null &&
          !this.state.out &&
          !this.state.refusedTo.has(l.label) &&
          ok(l.label, 'state'),
        reaches: new Set(up.flatMap((o) => (o !== l && ok(l.label, o.label) ? [o.label] : []))),
      })),
    );
    this.time.after(100_000, () => this.watch());
  }

  private settleLoss(): void {
    if (this.survivors === null || this.survivors.size === 0) {
      if (this.survivors !== null) this.diedIn++;
      this.survivors = null;
      return;
    }
    if (this.time.now - this.lossAt[this.lossAt.length - 1]! < 20e6) return;
    this.livedThrough++;
    this.survivors = null;
  }

  /** The controllers that are up. */
  up(): { readonly name: string; readonly node: Node }[] {
    return [...this.live].map(([name, x]) => ({ name, node: x.node }));
  }

  leader(): string | undefined {
    return this.nodes.find((n) => this.live.get(n)?.node.leadership.acting());
  }

  /** The node says that it can take requests. */
  ready(node: string): boolean {
    const l = this.live.get(node);
    return l !== undefined && l.node.unready() === null;
  }

  /** Accepted jobs that nobody withdrew and that are not called done. */
  unfinished(): string[] {
    return [...this.jobs.values()]
      .filter((j) => this.rules.state(j.id) === 'accepted' && j.shape !== 'daemon' && !j.broken)
      .filter((j) => this.remembered(j.id))
      .map((j) => j.id);
  }

  /** The job's acceptance was promised to be known still. */
  private remembered(id: string): boolean {
    const facts = this.rules.accepted(id);
    const all = new Set<Process>(this.live.values());
    return facts.length === 0 || this.memory.promised(facts, this.time.now, all);
  }

  /** The store is of another incarnation than `before`, and all that the controllers heard from knew is durable in it. */
  rebuilt(before: string | null): boolean {
    const marks = [...this.state.keys.keys()].filter((k) => k.startsWith(INCARNATION));
    const rebuild = this.state.keys.get(REBUILD);
    return (
      marks.length > 0 &&
      !marks.includes(`${INCARNATION}${before ?? ''}`) &&
      (rebuild === undefined || (JSON.parse(rebuild.value) as { phase: string }).phase === 'wait')
    );
  }

  get lastStart(): number {
    return this.rules.startedAt;
  }

  /** The part of the accepted jobs of each team that came to their end, those cancelled or broken left out. */
  served(): Record<string, number> {
    const of = new Map<string, { all: number; ended: number }>();
    for (const j of this.jobs.values()) {
      const state = this.rules.state(j.id);
      if (state === undefined || state === 'aborted' || j.shape === 'daemon' || j.broken) continue;
      if (state === 'accepted' && !this.remembered(j.id)) continue;
      let n = of.get(j.team);
      if (!n) of.set(j.team, (n = { all: 0, ended: 0 }));
      n.all++;
      if (state === 'done') n.ended++;
    }
    return Object.fromEntries([...of].sort().map(([team, n]) => [team, n.ended / n.all]));
  }

  /** Served and begun in time, by class, team and each class's largest. */
  least(): LeastRow[] {
    return this.begun.rows((id) => this.rules.state(id));
  }

  private kindOf(machine: string): string {
    const h = this.hired.get(machine)!;
    return h.spot ? `${h.type.name}-spot` : h.type.name;
  }

  /** Controllers whose view is of the store as it is. */
  private sound(): { readonly name: string; readonly node: Node }[] {
    return this.up().filter(
      ({ node }) =>
        node.unready() === null &&
        node.doubt.incarnation !== null &&
        !node.doubt.active &&
        node.cache.rebuild === null,
    );
  }

  /** What the controllers' accounts have otherwise than one another. */
  accountsApart(): string[] {
    const out: string[] = [];
    const first = new Map<string, { readonly name: string; readonly text: string }>();
    for (const { name, node } of this.sound()) {
      const a = node.cache.accounts;
      const at = `life ${a.life}, record ${a.upTo}`;
      const text = JSON.stringify([a.at, a.closed, encodeRows(a.rows), encodeRows(a.current), a.gaps]);
      const other = first.get(at);
      if (other === undefined) first.set(at, { name, text });
      else if (other.text !== text) out.push(`accounts: ${name} has others than ${other.name} as of ${at}`);
    }
    return out;
  }

  /**
   * Holds the accounts of every controller against the world's own count, exactly; after a loss through which not all
   * was known, within the gaps that they name.
   */
  accountsWrong(): string[] {
    const out = this.count.early.map((e) => `accounts: ${e}`);
    if (this.count.forked) return out;
    for (const { name, node } of this.sound()) {
      const { accounts, jobs } = node.cache;
      const open: Held['open'][number][] = [];
      for (const { spec, placed } of jobs.values())
        for (const p of placed.values())
          open.push({
            group: JSON.stringify([spec.team, spec.jobClass, this.kindOf(p.machine)]),
            since: p.since,
            shape: [spec.cpus * 1000, spec.gpus * 1000, spec.memGb * 1000],
          });
      const told = sumsOf({ accounts, open });
      const placed = this.count.placed(accounts.upTo);
      const world = placed.total();
      const wrong =
        accounts.gaps.length === 0 ? differences(world, told) : beyondGaps(world, told, accounts.gaps);
      // As of its own view: a page that was written a moment ago may not have come to it yet.
      if (this.lossAt.length === 0)
        wrong.push(...pagesWrong(this.state.entriesAt(node.cache.revision), accounts, placed));
      out.push(...wrong.map((w) => `accounts: ${name} as of ${accounts.upTo}: ${w}`));
    }
    return out;
  }

  stop(): void {
    for (const l of this.live.values()) this.time.fork(Fiber.interruptFork(l.fiber));
    this.time.run(this.time.now + 1e6);
  }
}
