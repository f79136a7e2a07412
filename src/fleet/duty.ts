/** The leader's dealings with the cloud: listing, renting, returning. */
import { Effect } from 'effect';
import { duty } from '../base/duty.js';
import { info } from '../base/log.js';
import { type Micros, seconds } from '../base/micros.js';
import type { CycleView, Turn } from '../scheduler/duty.js';
import type { CloudPort } from './cloud.js';
import { type Bin, type Demand, type Idle, type Offer, rentals, returns } from './plan.js';

/** A refusal for want of capacity is believed for this long. */
const REFUSED_FOR = seconds(12);
const IDLE = seconds(45);
const IDLE_SURPLUS = seconds(12);

export const fleetDuty = (t: Turn, view: CycleView, cloud: CloudPort) => {
  const refusedUntil = new Map<string, Micros>();
  const keyOf = (o: Offer): string => `${o.type}|${o.zone}|${o.spot}`;
  let hires = 0;
  let needed: ReadonlySet<string> = new Set();
  let listedOnce = false;
  let lastList = Number.NEGATIVE_INFINITY;
  const listEvery = Math.max(3e6, 1e6 / (t.settings.cloud.rps * 0.2));

  const list = Effect.gen(function* () {
    lastList = t.clock();
    const machines = yield* cloud.list();
    listedOnce = true;
    t.book.listing(machines, t.clock());
  });

  const remove = (candidates: readonly string[], reason: string, onlyEmpty = false) =>
    Effect.gen(function* () {
      if (candidates.length === 0 || !t.acting()) return;
      const holds = (id: string): boolean => (t.cache.byMachine.get(id)?.size ?? 0) > 0;
      const closed = candidates.slice(0, 100).filter((id) => !(onlyEmpty && holds(id)));
      for (const id of closed) {
        const m = t.book.machines.get(id);
        if (m) m.closed = reason;
      }
      if (onlyEmpty) {
        // A start decided just before the machine was closed may still be on its way into the record.
        yield* Effect.sleep(400);
        for (const id of closed) {
          const m = t.book.machines.get(id);
          if (m && holds(id) && m.closed === 'idle') m.closed = null;
        }
      }
      const ids = closed.filter((id) => !(onlyEmpty && holds(id)));
      if (ids.length === 0 || !t.acting()) return;
      yield* cloud.remove(ids);
      for (const id of ids) t.book.removed(id);
      yield* info('machines returned', { term: t.reign.term, count: ids.length, reason, machine: ids[0]! });
    });

  const clean = Effect.gen(function* () {
    const at = t.clock();
    const failed: string[] = [];
    const dead: string[] = [];
    const stuck: string[] = [];
    const idle: Idle[] = [];
    const boot = new Map(t.types().map((k) => [k.name, k.boot]));
    for (const m of t.book.machines.values()) {
      const on = t.cache.byMachine.get(m.id)?.size ?? 0;
      if (m.listed === 'failed') failed.push(m.id);
      else if (m.reported && at > t.book.leaseEnd(m) + 40e6) dead.push(m.id);
      else if (
        !m.reported &&
        at - m.since > Math.max(90e6, 5 * (boot.get(m.type) ?? 30e6)) &&
        at - t.reign.began > 30e6
      ) {
        stuck.push(m.id);
      } else if (
        m.emptySince !== null &&
        on === 0 &&
        m.recallAt === null &&
        !(m.closed === null && needed.has(m.id))
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
    yield* remove(stuck, 'never booted');
    // Only with a view of the demand from a recent cycle, and never while a start may be on its way.
    const back = returns(idle, (m) =>
      t.book.machines.get(m.id)?.closed ? (0 as Micros) : view.surplus.has(m.id) ? IDLE_SURPLUS : IDLE,
    );
    yield* remove(back, 'idle', true);
  });

  const rent = Effect.gen(function* () {
    const at = t.clock();
    const result = view.result;
    if (result === null || !listedOnce) return;
    // Machines that are up report within a round or two of a new term.
    if (t.cache.byMachine.size > 0 && at - t.reign.began < t.settings.workers.report * 1.5 + 2e6) return;
    const bins: Bin[] = [];
    const types = new Map(t.types().map((k) => [k.name, k]));
    let silent = false;
    for (const m of t.book.machines.values()) {
      const k = types.get(m.type);
      if (!k || m.closed !== null || m.listed === 'failed' || m.recallAt !== null) continue;
      const free = result.free.get(m.id);
      if (t.book.open(m, at) && free) bins.push({ id: m.id, type: m.type, zone: m.zone, spot: m.spot, free });
      else if (!m.reported || !m.confirmed) {
        if (m.listed === 'running') silent = true;
        bins.push({ type: m.type, zone: m.zone, spot: m.spot, free: [k.cpus, k.gpus, k.memGb] });
      }
    }
    if (silent && at - t.reign.began < 10e6) return;
    const demand: Demand[] = result.unplaced
      .filter((u) => !u.job.withdrawn)
      .sort((a, b) => b.job.spec.urgency - a.job.spec.urgency || a.job.spec.submitted - b.job.spec.submitted);
    const plan = rentals({
      types: t.types(),
      bins,
      demand,
      companions: view.companions,
      surplus: view.surplus,
      refused: (o) => at < (refusedUntil.get(keyOf(o)) ?? 0),
      most: 40,
    });
    needed = plan.needed;
    for (const w of plan.rent) {
      if (!t.acting()) return;
      // A name is never used again: it carries the term, which only one node ever holds.
      const name = `h-${t.reign.term}-${++hires}`;
      const got = yield* cloud.hire({
        name,
        type: w.type,
        zone: w.zone,
        spot: w.spot,
        count: Math.min(50, w.count),
      });
      if (got === null || got.length < w.count)
        refusedUntil.set(keyOf(w), (t.clock() + REFUSED_FOR) as Micros);
      if (got !== null) {
        const since = t.clock();
        for (const id of got) {
          const m = t.book.machine(id, since, { addr: '', type: w.type, zone: w.zone, spot: w.spot });
          m.listed ??= 'booting';
        }
        yield* info('machines rented', {
          term: t.reign.term,
          type: w.type,
          zone: w.zone,
          spot: w.spot,
          count: got.length,
          asked: w.count,
        });
      }
    }
  });

  return duty(
    'fleet',
    Effect.gen(function* () {
      if (!t.acting()) return;
      if (t.clock() - lastList >= listEvery) yield* list;
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
