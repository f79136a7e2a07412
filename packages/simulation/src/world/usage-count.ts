/**
 * The world's own count of machine time: reads the records as they reach the state service, byte for byte, with no code
 * of the controllers', and knows of jobs and machines by itself. Held against the accounts that the controllers keep.
 */
import { joinRows, subtractRows } from '@lilacvalve/controller/accounts/aggregate';
import { parsePages } from '@lilacvalve/controller/accounts/pages';
import { type Accounts, UNKNOWN_KIND } from '@lilacvalve/controller/accounts/model';

/** Placed time of one group: tasks, thousandths of CPUs, GPUs and GB of memory, each times microseconds. */
type Sums = [tasks: bigint, cpus: bigint, gpus: bigint, mem: bigint];
interface Change {
  readonly d?: string;
  readonly g?: string;
  readonly p?: Readonly<Record<string, string>>;
}
interface Seen {
  readonly seq: number;
  readonly value: Readonly<Record<string, unknown>>;
}
export interface CountedJob {
  readonly team: string;
  readonly jobClass: string;
  readonly shape: readonly [cpus: number, gpus: number, mem: number];
}

const numbers = (text: string | undefined): number[] =>
  (text === undefined || text === '' ? [] : text.split(',')).flatMap((part) => {
    const [from, to = from] = part.split('-').map(Number);
    return Array.from({ length: to! - from! + 1 }, (_, i) => from! + i);
  });

const RECORDS = 's/r/';
const CHECKPOINT = 's/a/now';

/** What a list of records places, and when. */
export class Placed {
  readonly sums = new Map<string, Sums>();
  /** `job/task` -> when, where. */
  readonly open = new Map<string, { readonly at: number; readonly machine: string }>();
  at = 0;
  /** Every placement that has ended: what it took, from when to when. */
  readonly spans: { readonly shape: readonly number[]; readonly from: number; readonly to: number }[] = [];

  constructor(
    private readonly jobOf: (id: string) => CountedJob | undefined,
    private readonly kindOf: (machine: string) => string,
  ) {}

  private registry(key: string, at: number): void {
    const p = this.open.get(key);
    if (!p) return;
    this.open.delete(key);
    const job = this.jobOf(key.slice(0, key.indexOf('/')))!;
    const group = JSON.stringify([job.team, job.jobClass, this.kindOf(p.machine)]);
    const sums = this.sums.get(group) ?? [0n, 0n, 0n, 0n];
    const us = BigInt(at - p.at);
    this.spans.push({ shape: [1, ...job.shape], from: p.at, to: at });
    [1, ...job.shape].forEach((n, i) => (sums[i] = sums[i]! + us * BigInt(n)));
    this.sums.set(group, sums);
  }

  take(value: Readonly<Record<string, unknown>>): void {
    const at = (value['@'] as { t: number }).t;
    if (at <= this.at) throw new Error(`a record of ${at} after one of ${this.at}`);
    this.at = at;
    for (const [id, c] of Object.entries(value) as [string, Change][]) {
      if (id === '@') continue;
      for (const task of [...numbers(c.d), ...numbers(c.g)]) this.registry(`${id}/${task}`, at);
      for (const [machine, tasks] of Object.entries(c.p ?? {}))
        for (const task of numbers(tasks)) this.open.set(`${id}/${task}`, { at, machine });
    }
  }

  /** Placed between two times of day, all groups together. */
  between(from: number, to: number): Sums {
    const out: Sums = [0n, 0n, 0n, 0n];
    for (const s of this.closed().spans) {
      const us = BigInt(Math.max(0, Math.min(to, s.to) - Math.max(from, s.from)));
      s.shape.forEach((n, i) => (out[i] = out[i]! + us * BigInt(n)));
    }
    return out;
  }

  /** Time placed so far, of what still is too. */
  total(): Map<string, Sums> {
    return this.closed().sums;
  }

  private closed(): Placed {
    const all = new Placed(this.jobOf, this.kindOf);
    all.spans.push(...this.spans);
    for (const [k, s] of this.sums) all.sums.set(k, [...s]);
    for (const [k, p] of this.open) all.open.set(k, p);
    for (const k of this.open.keys()) all.registry(k, this.at);
    return all;
  }
}

export class UsageCount {
  private records: Seen[] = [];
  private life = 0;
  /** The last record that the checkpoint in the store includes. */
  private checkpoint = 0;
  /** Records that went before the checkpoint had them. */
  readonly early: string[] = [];
  private readonly gaps = new Set<string>();
  /** Records that a rebuild went on without. */
  lost = 0;
  /** Records that nobody can read any more: a rebuild deletes them, and the accounts name a gap. */
  private readonly spoilt = new Set<string>();
  /**
   * A record was written under a number that another one had: the store had gone back, and a leader that did not know
   * went on. Whose sums hold then is not settled by a rebuild yet (docs/accounts.md), so they can't be asked for.
   */
  forked = false;

  constructor(
    private readonly jobOf: (id: string) => CountedJob | undefined,
    private readonly kindOf: (machine: string) => string,
  ) {}

  spoil(key: string): void {
    this.spoilt.add(key);
  }

  /** A transaction is being applied. */
  put(key: string, value: string | undefined): void {
    if (value === undefined) {
      const seq = Number(key.slice(RECORDS.length));
      if (key.startsWith(RECORDS) && seq > this.checkpoint && !this.spoilt.has(key))
        this.early.push(`record ${seq} deleted, the checkpoint is as of ${this.checkpoint}`);
      return;
    }
    if (key.startsWith(RECORDS)) {
      const seq = Number(key.slice(RECORDS.length));
      if (this.records.some((r) => r.seq === seq)) this.forked = true;
      this.records.push({ seq, value: JSON.parse(value) as Seen['value'] });
    } else if (key === CHECKPOINT) {
      const v = JSON.parse(value) as {
        l: number;
        g: number;
        x: [string, number, number, number, number][];
      };
      this.checkpoint = v.g;
      if (v.l <= this.life) return;
      this.life = v.l;
      // What the rebuild says it goes on without: the records of the gap that it has opened.
      const gap = v.x.pop();
      const id = gap === undefined ? '' : `${gap[3]} ${gap[1]}`;
      if (gap?.[0] !== 'loss' || this.gaps.has(id)) return;
      this.gaps.add(id);
      const kept = this.records.filter((r) => r.seq < gap[3]);
      this.lost += this.records.length - kept.length;
      this.records = kept;
    }
  }

  /** Of all records up to one. */
  placed(upTo: number): Placed {
    const out = new Placed(this.jobOf, this.kindOf);
    for (const r of this.records) if (r.seq <= upTo) out.take(r.value);
    return out;
  }
}

/**
 * What is wrong with the pages: together with what has none yet they are all that was booked; and what was booked in a
 * period, with what stood open at its end instead of at its begin, is what was placed in it.
 */
export const pagesWrong = (
  entries: Iterable<{ readonly key: string; readonly value: unknown }>,
  accounts: Accounts,
  placed: Placed,
): string[] => {
  const out: string[] = [];
  const pages = parsePages(entries).map((p) => p.page);
  const paged = joinRows(accounts.current, ...[...accounts.pending, ...pages.map((p) => ({ rows: p.booked }))].map((p) => p.rows)); // prettier-ignore
  const rest = subtractRows(accounts.rows, paged);
  if (rest.size > 0) out.push(`not on pages: ${[...rest.keys()].join()}`);
  pages.forEach((p, i) => {
    const before = pages[i - 1];
    if (before !== undefined && before.to !== p.from) out.push(`no page from ${before.to} to ${p.from}`);
    if (!before?.open || !p.open) return;
    const sums = subtractRows(joinRows(p.booked, p.open), before.open);
    const told = placedOf(sums.values());
    const world = placed.between(p.from, p.to);
    if (told.join() !== world.join())
      out.push(`from ${p.from}: ${told.join(' ')}, the world has ${world.join(' ')}`);
  });
  return out;
};

/** Tasks, CPUs, GPUs, memory over all splits but the last, which bounds what is not known. */
const placedOf = (all: Iterable<readonly bigint[]>): Sums => {
  const by: Sums = [0n, 0n, 0n, 0n];
  for (const a of all) for (let i = 0; i < 24; i++) by[i % 4] = by[i % 4]! + a[i]!;
  return by;
};

export interface Held {
  readonly accounts: Accounts;
  /** What is placed: group, since when, and what each takes. */
  readonly open: readonly {
    readonly group: string;
    readonly since: number;
    readonly shape: CountedJob['shape'];
  }[];
}

/** Sums of a controller's accounts, what is still placed counted up to the last record. */
export const sumsOf = ({ accounts, open }: Held): Map<string, Sums> => {
  const out = new Map<string, Sums>();
  const add = (group: string, by: readonly bigint[]): void => {
    const s = out.get(group) ?? [0n, 0n, 0n, 0n];
    by.forEach((n, i) => (s[i] = s[i]! + n));
    out.set(group, s);
  };
  for (const [group, a] of accounts.rows) add(group, placedOf([a]));
  for (const p of open) {
    if (p.since === 0) continue;
    const us = BigInt(accounts.at - p.since);
    add(
      p.group,
      [1, ...p.shape].map((n) => us * BigInt(n)),
    );
  }
  return out;
};

/** Where a leader booked something on a machine that it did not know, groups are compared without their kinds. */
const unkinded = (told: ReadonlyMap<string, Sums>): Set<string> =>
  new Set(
    [...told.keys()].flatMap((g) => {
      const [team, jobClass, kind] = JSON.parse(g) as string[];
      return kind === UNKNOWN_KIND ? [JSON.stringify([team, jobClass])] : [];
    }),
  );
const without = (sums: ReadonlyMap<string, Sums>, kinds: ReadonlySet<string>): Map<string, Sums> => {
  const out = new Map<string, Sums>();
  for (const [g, s] of sums) {
    const [team, jobClass] = JSON.parse(g) as string[];
    const key = kinds.has(JSON.stringify([team, jobClass])) ? JSON.stringify([team, jobClass]) : g;
    const old = out.get(key) ?? [0n, 0n, 0n, 0n];
    out.set(key, s.map((n, i) => n + old[i]!) as Sums);
  }
  return out;
};

const text = (sums: ReadonlyMap<string, Sums>): string[] =>
  [...sums]
    .filter(([, s]) => s.some((n) => n !== 0n))
    .map(([g, s]) => `${g} ${s.join(' ')}`)
    .sort();

/** What differs between two counts, a line each; empty: nothing. */
export const differences = (world: ReadonlyMap<string, Sums>, told: ReadonlyMap<string, Sums>): string[] => {
  const kinds = unkinded(told);
  const [a, b] = [text(without(world, kinds)), text(without(told, kinds))];
  return [
    ...a.filter((x) => !b.includes(x)).map((x) => `world has ${x}`),
    ...b.filter((x) => !a.includes(x)).map((x) => `accounts have ${x}`),
  ];
};

/**
 * Which amounts of two counts are further apart, over all groups, than the gaps allow: each may hide or count twice what
 * the room of all machines is over its time.
 */
export const beyondGaps = (
  world: ReadonlyMap<string, Sums>,
  told: ReadonlyMap<string, Sums>,
  gaps: Accounts['gaps'],
): string[] => {
  const out: string[] = [];
  ['cpus', 'gpus', 'mem'].forEach((what, i) => {
    const all = (of: ReadonlyMap<string, Sums>): bigint =>
      [...of.values()].reduce((n, s) => n + s[i + 1]!, 0n);
    const apart = all(world) - all(told);
    const bound = gaps.reduce((n, g) => n + BigInt(g.room?.[i] ?? 0) * BigInt(g.to - g.from), 0n);
    if ((apart < 0n ? -apart : apart) > bound) out.push(`${what}: ${apart} apart, gaps allow ${bound}`);
  });
  return out;
};
