/** The leader's dealings with the cloud: listing, renting, returning. */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { dayOf } from '../calendar/cutoff-tracking.js';
import { pressing } from '../calendar/slack.js';
import type { CycleState, CycleContext } from '../scheduler/cycle-context.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from '../workers/machine.js';
import { type Awaited, BootTracker, countsFor, isOverdue, roomOnTheWay } from './boot-tracker.js';
import type { CloudPort } from './cloud.js';
import { RentalRequests } from './rental-requests.js';
import { offerKey } from './model.js';
import { type Bin, type Demand, type Idle, rentals, returns, typesWanted } from './scaling-plan.js';

/** A refusal for want of capacity is believed for this long. */
const REFUSED_FOR = seconds(12);
const IDLE = seconds(45);
const IDLE_SURPLUS = seconds(12);
/** A new leader hears of machines by and by: it gives none up before this. */
const SETTLED = seconds(30);
/** An overdue machine that nothing has counted on for this long is returned. */
const UNNEEDED = seconds(15);
const ANY_BOOT = seconds(30);
/** The list may be twice its lag old, and older than the one before. */
const LIST_MARGIN = seconds(10);

/** A worker whose lease has lapsed is given up after so much longer. */
const SILENT = seconds(40);

/**
 * It reports and has not shown this term's token, though what an older leader's hold and a lease after it last is over:
 * it serves nobody, is charged, and might go on like that for ever. An answered delete settles what was on it.
 */
export const isDeaf = (m: Machine, { lease, cancel }: Settings['workers'], at: Micros): boolean =>
  m.reported && !m.confirmed && at - m.unconfirmedSince > Math.max(lease, cancel) + SILENT;

/**
 * The cloud has called it running for as long, and no report of it has come: it is charged and can't be used. What it might
 * hold from an earlier leader an answered delete settles.
 */
export const isMute = (m: Machine, { lease, cancel }: Settings['workers'], at: Micros): boolean =>
  !m.reported && m.runningSince !== null && at - m.runningSince > Math.max(lease, cancel) + SILENT;

/** How long a machine that serves nobody yet has been waited for, as what counts as room on its way is told by. */
export const awaitedOf = (m: Machine, boot: Micros, at: Micros): Awaited => ({
  age: (at - m.since) as Micros,
  boot,
  runningFor: m.reported
    ? // Its reports may come and answers not reach it: counted from the latest, it was room on its way for ever.
      ((at - m.unconfirmedSince) as Micros)
    : m.runningSince === null
      ? null
      : ((at - m.runningSince) as Micros),
});

export const autoscaler = (t: CycleContext, view: CycleState, cloud: CloudPort) => {
  const refusedUntil = new Map<string, Micros>();
  /** Boot times are learnt by type and zone, whatever the price. */
  const bootKey = (o: { readonly type: string; readonly zone: string }): string => `${o.type}|${o.zone}`;
  const boots = new BootTracker();
  /** Machines seen before they reported, in this term: when they come, their boot time is known. */
  const awaited = new Set<string>();
  const overdue = new Set<string>();
  /** Overdue machines that no work counts on, and since when. */
  const unneeded = new Map<string, Micros>();
  /** Rented or removed, and not shown so by the list yet. */
  const rented = new Map<string, Micros>();
  const removed = new Map<string, Micros>();
  const bootOf = (type: string): Micros => t.types().find((k) => k.name === type)?.boot ?? ANY_BOOT;
  const shown = plus(0 as Micros, 2 * t.settings.cloud.listLag + LIST_MARGIN);
  const hires = new RentalRequests(shown, t.fleet.news, t.leaderTerm.began);
  let named = 0;
  let needed: ReadonlySet<string> = new Set();
  /** Types of machine that some waiting work could use. */
  let wanted: ReadonlySet<string> = new Set();
  let listedOnce = false;
  let lastList = Number.NEGATIVE_INFINITY;
  const listEvery = Math.max(3e6, 1e6 / (t.settings.cloud.rps * 0.2));

  const list = Effect.gen(function* () {
    lastList = t.clock();
    const machines = yield* cloud.list();
    listedOnce = true;
    t.fleet.listed = true;
    t.registry.applyListing(machines, t.clock());
    for (const l of machines) rented.delete(l.id);
  });

  const waitedFor = (m: Machine, at: Micros): Awaited => awaitedOf(m, bootOf(m.type), at);

  /** Follows machines from their rental to their first report. */
  const watch = Effect.gen(function* () {
    const at = t.clock();
    for (const m of t.registry.machines.values()) {
      if (m.reported) {
        if (!awaited.delete(m.id)) continue;
        // One that the list has called running may have been up for long, under an earlier leader.
        if (m.runningSince === null) boots.came(bootKey(m), (at - m.since) as Micros, at);
        if (overdue.has(m.id))
          yield* info('overdue machine came', { machine: m.id, afterS: Math.round((at - m.since) / 1e6) });
      } else {
        awaited.add(m.id);
        if (!overdue.has(m.id) && isOverdue(waitedFor(m, at))) {
          overdue.add(m.id);
          yield* info('machine overdue', {
            term: t.leaderTerm.number,
            machine: m.id,
            type: m.type,
            zone: m.zone,
            ageS: Math.round((at - m.since) / 1e6),
            listed: m.cloudStatus,
          });
        }
      }
    }
    for (const machine of t.registry.unreachableWorkers.splice(0))
      yield* info('answers do not reach machine', { term: t.leaderTerm.number, machine });
    const old = at - 3 * t.settings.cloud.listLag - LIST_MARGIN;
    for (const known of [rented, removed]) for (const [id, since] of known) if (since < old) known.delete(id);
    t.fleet.news = {
      rented: [...rented].flatMap(([id, since]) => {
        const m = t.registry.machines.get(id);
        return m ? [{ id, type: m.type, zone: m.zone, spot: m.spot, age: at - since }] : [];
      }),
      removed: [...removed.keys()],
      asked: hires.asked(at),
    };
  });

  const remove = (candidates: readonly string[], reason: string, onlyEmpty = false) =>
    Effect.gen(function* () {
      if (candidates.length === 0 || !t.mayAct()) return;
      const holds = (id: string): boolean => (t.jobState.placementsByMachine.get(id)?.size ?? 0) > 0;
      const closed = candidates.slice(0, 100).filter((id) => !(onlyEmpty && holds(id)));
      for (const id of closed) {
        const m = t.registry.machines.get(id);
        if (m) m.cordonReason = reason;
      }
      if (onlyEmpty) {
        // A start decided just before the machine was closed may still be on its way into the record.
        yield* Effect.sleep(400);
        for (const id of closed) {
          const m = t.registry.machines.get(id);
          if (m && holds(id) && m.cordonReason === reason) m.cordonReason = null;
        }
      }
      const ids = closed.filter((id) => !(onlyEmpty && holds(id)));
      if (ids.length === 0 || !t.mayAct()) return;
      let sent = false;
      const still = (): boolean => (sent ||= t.mayAct() && !(onlyEmpty && ids.some(holds)));
      yield* cloud.remove(ids, still).pipe(
        // Not sent, since one of them has work: it stayed closed, with room on it, for as long as that ran.
        Effect.tapError(() =>
          Effect.sync(() => {
            if (sent) return;
            for (const id of ids) {
              const m = t.registry.machines.get(id);
              if (m?.cordonReason === reason) m.cordonReason = null;
            }
          }),
        ),
      );
      for (const id of ids) {
        t.registry.removeMachine(id);
        removed.set(id, t.clock());
        for (const known of [awaited, overdue, unneeded, rented]) known.delete(id);
      }
      yield* info('machines returned', {
        term: t.leaderTerm.number,
        count: ids.length,
        reason,
        machine: ids[0]!,
      });
    });

  const clean = Effect.gen(function* () {
    const at = t.clock();
    const failed: string[] = [];
    const dead: string[] = [];
    const deaf: string[] = [];
    const mute: string[] = [];
    const stuck: string[] = [];
    const idle: Idle[] = [];
    const surplus: string[] = [];
    for (const m of t.registry.machines.values()) {
      const on = t.jobState.placementsByMachine.get(m.id)?.size ?? 0;
      if (m.cloudStatus === 'failed') failed.push(m.id);
      else if (m.reported && at > t.registry.leaseExpiry(m) + SILENT) dead.push(m.id);
      else if (isDeaf(m, t.settings.workers, at)) deaf.push(m.id);
      else if (isMute(m, t.settings.workers, at)) mute.push(m.id);
      else if (!m.reported) {
        if (
          at - m.since > boots.givenUpAfter(bootKey(m), bootOf(m.type), at) &&
          at - t.leaderTerm.began > SETTLED
        )
          stuck.push(m.id);
        // While work waits that could use it, a late machine may still come before its replacement.
        else if (!overdue.has(m.id) || needed.has(m.id) || wanted.has(m.type) || on > 0)
          unneeded.delete(m.id);
        else if (!unneeded.has(m.id)) unneeded.set(m.id, at);
        else if (at - unneeded.get(m.id)! > UNNEEDED) surplus.push(m.id);
      } else if (
        m.emptySince !== null &&
        on === 0 &&
        m.recallAt === null &&
        !(m.cordonReason === null && needed.has(m.id))
      ) {
        idle.push({
          id: m.id,
          type: m.type,
          zone: m.zone,
          spot: m.spot,
          idleFor: (at - m.emptySince) as Micros,
          age: (at - m.since) as Micros,
        });
      }
    }
    yield* remove(failed, 'failed');
    yield* remove(dead, 'silent');
    yield* remove(deaf, 'deaf');
    yield* remove(mute, 'mute');
    yield* remove(stuck, 'never booted');
    yield* remove(surplus, 'overdue and not needed', true);
    // Only with a view of the demand from a recent cycle, and never while a start may be on its way.
    const back = returns(idle, (m) =>
      t.registry.machines.get(m.id)?.cordonReason
        ? (0 as Micros)
        : view.idleNodes.has(m.id) || overdue.has(m.id)
          ? IDLE_SURPLUS
          : IDLE,
    );
    yield* remove(back, 'idle', true);
  });

  const rent = Effect.gen(function* () {
    const at = t.clock();
    const result = view.result;
    if (result === null || !listedOnce) return;
    // Machines that are up report within a round or two of a new term.
    if (
      t.jobState.placementsByMachine.size > 0 &&
      at - t.leaderTerm.began < t.settings.workers.report * 1.5 + 2e6
    )
      return;
    const bins: Bin[] = [];
    const types = new Map(t.types().map((k) => [k.name, k]));
    let silent = false;
    /** On their way, by what makes them alike. */
    const coming = new Map<string, { m: Machine; a: Awaited }[]>();
    for (const m of t.registry.machines.values()) {
      const k = types.get(m.type);
      if (!k || m.cordonReason !== null || m.cloudStatus === 'failed' || m.recallAt !== null) continue;
      const free = result.free.get(m.id);
      if (t.registry.isSchedulable(m, at) && free)
        bins.push({ id: m.id, type: m.type, zone: m.zone, spot: m.spot, free });
      else if (!m.reported || !m.confirmed) {
        if (m.cloudStatus === 'running') silent = true;
        const alike = coming.get(offerKey(m));
        const one = { m, a: waitedFor(m, at) };
        if (alike) alike.push(one);
        else coming.set(offerKey(m), [one]);
      }
    }
    const overdueOf = new Map<string, number>();
    for (const list of coming.values()) {
      list.sort((x, y) => countsFor(y.a) - countsFor(x.a));
      const { type, zone, spot } = list[0]!.m;
      const k = types.get(type)!;
      for (const { m } of list.slice(0, roomOnTheWay(list.map((x) => x.a))))
        bins.push({ id: m.id, type, zone, spot, free: [k.cpus, k.gpus, k.memGb] });
      const late = list.filter((x) => isOverdue(x.a)).length;
      overdueOf.set(bootKey({ type, zone }), (overdueOf.get(bootKey({ type, zone })) ?? 0) + late);
    }
    if (silent && at - t.leaderTerm.began < 10e6) return;
    for (const { type, zone, spot } of hires.mayCome(t.registry.machines.values(), at)) {
      const k = types.get(type);
      if (k) bins.push({ type, zone, spot, free: [k.cpus, k.gpus, k.memGb] });
    }
    const { current, classDurations: shown } = t.jobState.calendars;
    const day = dayOf(t);
    const classes = shown?.value ?? new Map<string, readonly number[]>();
    const demand: Demand[] = result.unplaced
      .filter((u) => !u.job.cancelled)
      .map((u) => ({ u, by: pressing(u.job, current, day, classes) ?? Number.POSITIVE_INFINITY }))
      // What would miss its cutoff is worth a machine sooner, by cutoff; the rest in the order of submission.
      .sort(
        (a, b) =>
          b.u.job.spec.urgency - a.u.job.spec.urgency ||
          (a.by === b.by ? 0 : a.by - b.by) ||
          a.u.job.spec.submitted - b.u.job.spec.submitted,
      )
      .map(({ u }) => u);
    const plan = rentals({
      types: t.types(),
      bins,
      demand,
      companions: view.coLocatedDemand,
      surplus: view.idleNodes,
      avoid: (job) => t.registry.avoidedMachines(job),
      refused: (o) => at < (refusedUntil.get(offerKey(o)) ?? 0),
      late: (o) => boots.late(bootKey(o), bootOf(o.type), overdueOf.get(bootKey(o)) ?? 0, at),
      most: 40,
    });
    needed = plan.needed;
    wanted = typesWanted(t.types(), demand);
    for (const w of plan.rent) {
      if (!t.mayAct()) return;
      // A name is never used again: it carries the term, which only one node ever holds, and the store's incarnation.
      // A term that a loss has taken and nobody remembers may come again, the time that its attempts begin at does not.
      const name = (): string =>
        `h-${t.lossDetector.incarnation?.id ?? ''}-${t.leaderTerm.number}.${t.jobState.attemptBase}-${++named}`;
      const hire = hires.ask({ ...w, count: Math.min(50, w.count) }, name, t.clock());
      t.fleet.news = { ...t.fleet.news, asked: hires.asked(t.clock()) };
      const got = yield* cloud.hire(hire, t.mayAct);
      hires.answered(hire);
      if (got === null || got.length < hire.count)
        refusedUntil.set(offerKey(w), (t.clock() + REFUSED_FOR) as Micros);
      if (got !== null) {
        const since = t.clock();
        for (const id of got)
          if (t.registry.addRentedMachine(id, since, { type: w.type, zone: w.zone, spot: w.spot }))
            rented.set(id, since);
        yield* info('machines rented', {
          term: t.leaderTerm.number,
          type: w.type,
          zone: w.zone,
          spot: w.spot,
          count: got.length,
          asked: hire.count,
        });
      }
    }
  });

  return supervise(
    'fleet',
    Effect.gen(function* () {
      if (!t.mayAct()) return;
      if (t.clock() - lastList >= listEvery) yield* list;
      yield* watch;
      yield* clean;
      yield* rent;
    }).pipe(
      Effect.catchAll((e) =>
        info('cloud unavailable', { reason: e.reason }).pipe(Effect.zipRight(Effect.sleep(1500))),
      ),
      Effect.zipRight(Effect.sleep(800)),
      Effect.forever,
    ),
  );
};
