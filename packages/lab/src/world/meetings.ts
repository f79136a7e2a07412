/**
 * Troubles that meet: what is late, held up, deaf, slow or refused while leaders change and users cancel. Each is drawn
 * with the others of the day, or laid over them by `together`. What really met is counted in `met`: a day that was meant to
 * bring a meeting about and did not shows nothing.
 */
import { decodeJob, decodeRecord } from '@lilacvalve/controller/jobs/codec';
import { activeKey, RECORD } from '@lilacvalve/controller/jobs/keys';
import type { Luck } from '@lilacvalve/controller/support/luck';
import type { Arrival } from './crowd.js';
import type { Rules } from './rules.js';
import type { StateService } from './state.js';
import type { Time } from './time.js';
import type { JobTruth, Worker } from './worker.js';

export const MEETINGS = [
  'lateWrites',
  'lateReports',
  'machineDeaf',
  'stateRefuses',
  'stateSlow',
  'gap',
  'leaderAlone',
  'farEnds',
  'heldMachine',
  'handover',
] as const;
export type Meeting = (typeof MEETINGS)[number];

/** What of the world they need. */
export interface Stage {
  readonly time: Time;
  readonly luck: Luck;
  readonly state: StateService;
  readonly rules: Rules;
  readonly jobs: Map<string, JobTruth>;
  readonly workers: Map<string, Worker>;
  readonly nodes: readonly string[];
  readonly lease: number;
  readonly cancelWithin: number;
  strike(what: Meeting): true;
  troubled(lasts: number): void;
  leader(): string | undefined;
  /** The term of whoever acts; null: nobody does. */
  term(): number | null;
  /** The process behind a label, to tell one life from another. */
  process(node: string): object | undefined;
  /** It answers reports, by its right or in a hold. */
  answering(node: string): boolean;
  /** The acting leader has had a report of the machine. */
  heardFrom(machine: string): boolean;
  node(): string;
  crash(node: string, back: number): void;
  giveWay(node: string, forMicros: number): void;
  cut(a: string, b: string, state: 'held' | 'reset', lasts: number): void;
  submit(job: Arrival, via: () => string): string | undefined;
  cancel(id: string, via: () => string, confirmed: (by: string) => void): void;
}

export class Meetings {
  readonly met: Record<string, number> = {};
  private copies = { until: 0, share: 0 };
  private held = { until: 0, machines: new Set<string>() };
  /** A leader that is cut from the state service and its peers. */
  private alone: string | null = null;
  /** Of jobs whose ends lie far apart: the term under which the first ended. */
  private readonly firstEnd = new Map<string, number | null>();
  private readonly far = new Set<string>();
  private readonly over = new Set<string>();

  constructor(private readonly w: Stage) {
    w.state.onMet = (what) => this.meet(what);
    w.state.watchesWait = true;
    w.state.onLate = (key) => {
      const then = w.term();
      const record = key.startsWith(RECORD);
      const leader = w.leader();
      // It ends before it knows what became of its record, and the next one writes its own first.
      if (record && leader !== undefined && w.luck.chance(0.1))
        this.at(w.luck.between(0, 1e6), () => this.change(leader));
      return () => {
        const now = w.term();
        if (then !== null && now !== null && now > then)
          this.meet(record ? 'record after a change of leader' : 'write after a change of leader');
      };
    };
  }

  meet(what: string): void {
    this.met[what] = (this.met[what] ?? 0) + 1;
  }

  /** Called at each answer that says that the job is over. */
  overBefore(id: string): boolean {
    const before = this.over.has(id);
    this.over.add(id);
    return before;
  }

  private at(delay: number, go: () => void): void {
    this.w.time.after(delay, go);
  }

  /** Leaders and others, in the shares that such troubles have. */
  private mostlyLeader(): string {
    const { w } = this;
    return w.luck.chance(0.75) ? (w.leader() ?? w.node()) : w.node();
  }

  private others(than: string): () => string {
    const rest = this.w.nodes.filter((n) => n !== than);
    return () => rest[this.w.luck.int(rest.length)]!;
  }

  /** Some that run for long, so that there is something to cancel. */
  private longJobs(n: number): string[] {
    const l = this.w.luck;
    return Array.from({ length: n }, () => {
      const job = { ...PLAIN, tasks: 1 + l.int(3), cpus: 1 + l.int(2), runUs: l.between(60e6, 130e6) };
      return this.w.submit({ job, urgency: 'high', due: null }, () => this.w.node());
    }).flatMap((id) => id ?? []);
  }

  readonly kinds: Readonly<Record<Meeting, () => void>> = {
    lateWrites: () => {
      const { w } = this;
      w.strike('lateWrites');
      const lasts = w.luck.between(8e6, 30e6);
      w.state.lateShare = w.luck.between(0.05, 0.4);
      w.troubled(lasts + 12e6);
      this.at(lasts, () => (w.state.lateShare = 0));
      // What the old leader has sent is carried out under the new one.
      const leader = w.leader();
      if (leader !== undefined && w.luck.chance(0.7))
        this.at(w.luck.between(2e6, lasts), () => this.change(leader));
    },
    lateReports: () => {
      const { w } = this;
      w.strike('lateReports');
      const l = w.luck;
      this.copies = { until: w.time.now + l.between(10e6, 40e6), share: l.between(0.1, 0.6) };
      if (l.chance(0.4)) return;
      // Some machines are silent while the leader changes: what the new one hears of them first are old copies.
      this.at(l.between(3e6, 10e6), () => {
        const lasts = w.lease * l.between(0.3, 0.9);
        w.troubled(lasts);
        for (const x of [...w.workers.values()].filter((m) => m.alive && !m.hanging && l.chance(0.5))) {
          x.hanging = true;
          this.at(lasts, () => (x.hanging = false));
        }
        const leader = w.leader();
        if (leader !== undefined) this.change(leader);
      });
    },
    machineDeaf: () => {
      const { w } = this;
      const l = w.luck;
      const lasts = w.lease * (l.chance(0.5) ? l.between(0.3, 0.95) : l.between(1.05, 3));
      const share = l.between(0.2, 0.7);
      const deaf = [...w.workers.values()].filter((x) => x.alive && !x.deaf && l.chance(share));
      if (deaf.length === 0) return;
      w.strike('machineDeaf');
      w.troubled(lasts);
      const before = w.term();
      for (const x of deaf) {
        x.deaf = true;
        this.at(lasts, () => (x.deaf = false));
      }
      const leader = w.leader();
      if (leader !== undefined && l.chance(0.7)) this.at(l.between(0, 3e6), () => this.change(leader));
      const hearing = new Set(deaf);
      const look = (): void => {
        const now = w.term();
        for (const x of hearing) {
          if (!x.alive || !x.deaf) hearing.delete(x);
          else if (now !== null && now !== before && x.token < now && x.running()) {
            this.meet('deaf machine under a new leader');
            hearing.delete(x);
          }
        }
        if (hearing.size > 0) this.at(500_000, look);
      };
      look();
    },
    stateRefuses: () => {
      const { w } = this;
      const node = this.mostlyLeader();
      if (w.state.refusedTo.has(node)) return;
      w.strike('stateRefuses');
      if (node === w.leader()) this.meet('leader refused');
      this.refuse(node, w.luck.between(2e6, 30e6));
    },
    stateSlow: () => {
      const { w } = this;
      w.strike('stateSlow');
      const lasts = w.luck.between(4e6, 25e6);
      w.state.slowUntil = w.time.now + lasts;
      w.troubled(lasts + 8e6);
    },
    gap: () => {
      const { w } = this;
      const l = w.luck;
      const ids = this.longJobs(8);
      w.troubled(25e6);
      this.at(l.between(18e6, 25e6), () => {
        const old = w.leader();
        if (old === undefined || w.state.out) return;
        w.strike('gap');
        const process = w.process(old);
        const began = w.time.now;
        const dark = l.between(1.2e6, 2.4e6);
        this.refuse(old, l.between(10e6, 18e6));
        const confirmed: string[] = [];
        for (const id of ids.filter((x) => w.rules.isOn(x) && l.chance(0.8)))
          this.at(l.between(100_000, 1.7e6), () =>
            w.cancel(id, this.others(old), (by) => {
              if (by !== old && w.time.now < began + dark) confirmed.push(id);
            }),
          );
        this.at(dark, () => {
          if (w.state.out) return;
          w.state.outage(true);
          // Short, now and then: then the one that holds loses its peers too as the others are served again.
          const short = l.chance(0.3);
          const lasts = short ? l.between(7e6, 18e6) : w.cancelWithin + l.between(2e6, 25e6);
          w.troubled(lasts);
          this.at(lasts, () => w.state.outage(false));
          if (short)
            this.at(lasts - l.between(0, 500_000), () => {
              const more = l.between(5e6, 25e6);
              for (const end of ['state', ...w.nodes.filter((n) => n !== old)]) w.cut(old, end, 'held', more);
              this.beside(old, w.time.now + more);
            });
          // The hold is on, by then: its right by lease is over.
          this.at(5e6, () => {
            const holds = w.process(old) === process && w.answering(old);
            for (const id of confirmed) if (holds && w.rules.isOn(id)) this.meet('cancelled beside a hold');
          });
        });
      });
    },
    leaderAlone: () => {
      const { w } = this;
      const l = w.luck;
      const ids = this.longJobs(5);
      w.troubled(15e6);
      this.at(l.between(10e6, 15e6), () => {
        const old = w.leader();
        if (old === undefined || this.alone !== null) return;
        w.strike('leaderAlone');
        this.alone = old;
        const lasts = l.between(12e6, 50e6);
        const mode = l.chance(0.5) ? 'held' : 'reset';
        for (const end of ['state', ...w.nodes.filter((n) => n !== old)]) w.cut(old, end, mode, lasts);
        for (const id of ids.filter((x) => w.rules.isOn(x) && l.chance(0.7)))
          this.at(l.between(1e6, lasts), () =>
            w.cancel(id, this.others(old), (by) => {
              if (this.alone === old && by !== old && w.rules.isOn(id))
                this.meet('cancelled beside a leader alone');
            }),
          );
        for (let i = 0; i < 2; i++)
          this.at(l.between(5e6, lasts), () => {
            const job = { ...PLAIN, tasks: 2, cpus: 1, runUs: l.between(5e6, 40e6) };
            w.submit({ job, urgency: 'high', due: null }, this.others(old));
          });
        this.at(lasts, () => (this.alone = null));
      });
    },
    farEnds: () => {
      const { w } = this;
      const l = w.luck;
      w.strike('farEnds');
      for (let i = 0; i < 3; i++) {
        const runs = [l.between(2e6, 6e6), l.between(20e6, 50e6), l.between(30e6, 70e6)].slice(
          0,
          2 + l.int(2),
        );
        const gang = l.chance(0.25);
        const job = {
          ...PLAIN,
          ...(gang ? { shape: 'ensemble', tasks: runs.length } : { tasks: runs.length, runs }),
          cpus: 1,
          runUs: gang ? l.between(5e6, 20e6) : runs[0]!,
        };
        const id = w.submit({ job, urgency: 'high', due: null }, () => w.node());
        if (id !== undefined) this.far.add(id);
      }
    },
    heldMachine: () => {
      const { w } = this;
      const l = w.luck;
      w.strike('heldMachine');
      const machines = [...w.workers.keys()].filter(() => l.chance(0.5));
      const lasts = l.between(10e6, 30e6);
      this.held = { until: w.time.now + lasts, machines: new Set(machines) };
      w.troubled(lasts + 1.4 * w.lease);
    },
    handover: () => {
      const { w } = this;
      const l = w.luck;
      w.strike('handover');
      if (l.chance(0.5)) {
        // Over and back.
        const first = w.leader();
        for (let i = 0, t = 0; i < 2 + l.int(5); i++, t += l.between(200_000, 5e6)) {
          w.troubled(t);
          this.at(t, () => {
            const now = w.leader();
            if (now === undefined) return;
            if (i > 0 && now === first) this.meet('led again');
            w.giveWay(now, l.between(0, 2e6));
          });
        }
        return;
      }
      // All end, some in order, and one is back at once.
      const back = w.node();
      for (const n of w.nodes) {
        const at = l.between(0, 300_000);
        if (l.chance(0.4)) this.at(at, () => w.giveWay(n, 0));
        this.at(at + l.between(0, 100_000), () =>
          w.crash(n, n === back ? l.between(50_000, 1e6) : l.between(3e6, 15e6)),
        );
      }
      w.troubled(2e6);
      const look = (times: number): void => {
        if (w.leader() === back && w.nodes.every((n) => n === back || w.process(n) === undefined))
          return this.meet('one back alone');
        if (times > 0) this.at(200_000, () => look(times - 1));
      };
      this.at(500_000, () => look(40));
    },
  };

  /** Two to four kinds, overlapping, twice in the day. */
  together(troubled: number): void {
    const l = this.w.luck;
    const chosen = [...MEETINGS].sort(() => l.next() - 0.5).slice(0, 2 + l.int(3));
    for (const base of [l.between(0.12, 0.25), l.between(0.55, 0.7)])
      for (const kind of chosen) {
        const at = Math.max(10e6, base * troubled + l.between(-6e6, 20e6));
        this.w.rules.calmAt = Math.max(this.w.rules.calmAt, at);
        this.at(at, this.kinds[kind]);
      }
  }

  private change(leader: string): void {
    const { luck } = this.w;
    if (luck.chance(0.5)) this.w.crash(leader, luck.between(200_000, 8e6));
    else this.w.giveWay(leader, luck.between(0, 3e6));
  }

  /** Whether another leads while the old one still answers reports. */
  private beside(old: string, until: number): void {
    const { w } = this;
    const leader = w.leader();
    if (leader !== undefined && leader !== old && w.answering(old))
      return this.meet('new leader beside a hold');
    if (w.time.now < until) this.at(50_000, () => this.beside(old, until));
  }

  private refuse(node: string, lasts: number): void {
    const { w } = this;
    w.state.refusedTo.add(node);
    w.troubled(lasts);
    this.at(lasts, () => {
      w.state.refusedTo.delete(node);
      w.state.served();
    });
  }

  reported(by: Worker, node: string, body: Buffer): void {
    const { w } = this;
    const l = w.luck;
    if (w.time.now >= this.copies.until || !l.chance(this.copies.share)) return;
    const { tenure, token } = by;
    const process = w.process(node);
    const late = l.chance(0.5) ? l.between(2e6, w.lease) : l.between(w.lease, 2.5 * w.lease);
    this.at(late, () => {
      const to = l.chance(0.5) ? node : w.node();
      if (by.alive && by.tenure > tenure) this.meet('report of an older tenure');
      if (by.token > token) this.meet('report of an older term');
      if (by.alive && w.leader() !== undefined && !w.heardFrom(by.place.id))
        this.meet('old report before any other');
      if (w.process(node) !== process) this.meet('report from before a restart');
      by.deliver(to, body, () => undefined);
    });
  }

  holds(by: Worker): number {
    const { w } = this;
    const l = w.luck;
    if (w.time.now >= this.held.until || !this.held.machines.has(by.place.id) || !l.chance(0.3)) return 0;
    return l.chance(0.6) ? l.between(500_000, 3.9e6) : l.between(3.9e6, 1.4 * w.lease);
  }

  wentOn(lapsed: boolean): void {
    this.meet(lapsed ? 'held beyond the lease' : 'held within the lease');
  }

  /** A controller gets a worker's report. */
  heard(node: string): void {
    const leader = this.alone === node ? this.w.leader() : undefined;
    if (leader !== undefined && leader !== node) this.meet('heard by a leader alone, beside the new one');
  }

  /** A task has completed: of some jobs the leader changes between the ends. */
  completed(task: string): void {
    const id = task.slice(0, task.indexOf('/'));
    if (!this.far.has(id)) return;
    const { w } = this;
    const term = w.term();
    const first = this.firstEnd.get(id);
    if (first === undefined) {
      this.firstEnd.set(id, term);
      const leader = w.leader();
      if (leader !== undefined && w.luck.chance(0.6))
        this.at(w.luck.between(0, 2.5e6), () => this.change(leader));
      w.troubled(8e6);
    } else if (first !== null && term !== null && term > first) this.meet('ends under two leaders');
  }

  reaped(task: string, done: boolean): void {
    const at = task.indexOf('/');
    const id = task.slice(0, at);
    if (!this.far.has(id)) return;
    const { rules } = this.w;
    if (this.firstEnd.has(id) && rules.state(id) === 'accepted') this.meet('reap between ends');
    if (done && !this.durable(id, Number(task.slice(at + 1))))
      rules.broken.push(`reaped_early: ${task} at ${this.w.time.now}`);
  }

  /** The state service has it that the task completed, or that its job is over. */
  private durable(id: string, task: number): boolean {
    const { keys } = this.w.state;
    const kept = keys.get(activeKey(id));
    if (kept === undefined) return true;
    const job = decodeJob(id, JSON.parse(kept.value), kept.stamp);
    if (job.withdrawn || job.done.has(task)) return true;
    for (const [key, { value, stamp }] of keys)
      if (key.startsWith(RECORD) && value.includes(id)) {
        const record = decodeRecord(Number(key.slice(RECORD.length)), JSON.parse(value), stamp);
        if (record.jobs.get(id)?.done?.includes(task)) return true;
      }
    return false;
  }
}

const PLAIN = {
  jobClass: 'x',
  team: 'blue',
  shape: 'array',
  gpus: 0,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: false,
  broken: false,
} as const;
