/** One controller node: wires the slices together. Effects of the outside world come in as ports. */
import { supervise } from '@lilacvalve/runtime/supervise';
import type { Answer, Incoming, Quick } from '@lilacvalve/runtime/http-server';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import type { Files } from '@lilacvalve/snapshot/files';
import { Effect } from 'effect';
import { DataLossDetector } from './recovery/data-loss-detector.js';
import { auditTask, type DetectionDependencies, dataLossTask } from './recovery/detection-task.js';
import { GuardedStore } from './recovery/guarded-store.js';
import { userListener, workerListener, peerListener } from './listeners.js';
import type { CloudPort } from './provisioning/cloud.js';
import type { MachineType } from './provisioning/model.js';
import { JobState } from './jobs/job-state.js';
import { StoreWatcher } from './jobs/store-watcher.js';
import { TERM, MACHINE_TYPES } from './jobs/keys.js';
import { Contacts } from './leadership/contacts.js';
import { maxViewAge } from './leadership/read-lease.js';
import { Leadership } from './leadership/leadership.js';
import { type PeerPort, Peers } from './leadership/peers.js';
import { Admission } from './overload/admission.js';
import { loadReport, storeProbe, eventLoopCheck, isServedBy, memoryCheck } from './health-check.js';
import type { ViewPort } from './recovery/model.js';
import { viewHandler } from './recovery/view-exchange.js';
import { PreLossViews } from './recovery/pre-loss-views.js';
import { respondToCheckRequest, verifyAgainstPeer } from './recovery/view-verification.js';
import { EvidenceStore } from './recovery/evidence-store.js';
import { LeaderSessions } from './leadership/leader-session.js';
import type { Settings } from './settings/settings.js';
import { Priority } from './state-store/budget.js';
import { snapshotTask } from './snapshots/snapshot-task.js';
import type { StatePort } from './state-store/port.js';
import type { WorkerRegistry } from './workers/worker-registry.js';
import { heartbeatReceiver } from './workers/heartbeat-handler.js';
import type { WorkerPort } from './workers/worker-client.js';
import type { RelayPort } from './workers/heartbeat-relay.js';

export interface Ports {
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly peers: PeerPort;
  readonly views: ViewPort;
  readonly relay: RelayPort;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
  /** The part of its memory that the process uses; left out: not known. */
  readonly memory?: () => number;
  /** Where snapshots are kept; null: nowhere. */
  readonly snapshots: Files | null;
  /** Half-life of the balance between teams (docs/accounts.md); off if left out. */
  readonly balance?: Micros;
}

export interface Node {
  readonly handle: (r: Incoming) => Effect.Effect<Answer>;
  /** Reports of workers, before `handle`. */
  readonly quick: Quick;
  /** What other controllers ask. */
  readonly handlePeer: (r: Incoming) => Effect.Effect<Answer>;
  /** Reports that other controllers pass on, before `handlePeer`. */
  readonly quickPeer: Quick;
  readonly run: Effect.Effect<never>;
  readonly leadership: Leadership;
  /** Why this node can't take requests; null: it can. */
  readonly unready: () => string | null;
  readonly peers: Peers;
  readonly lossDetector: DataLossDetector;
  readonly jobState: JobState;
  readonly registry: () => WorkerRegistry | null;
}

export const makeNode = (settings: Settings, ports: Ports): Node => {
  const { clock } = ports;
  const jobState = new JobState();
  const preLossViews = new PreLossViews(`${settings.label}/${ports.dayTime()}`);
  const evidenceStore: EvidenceStore = new EvidenceStore(ports.views, (revision) =>
    lossDetector.incarnation === null
      ? []
      : peers
          .behind(lossDetector.incarnation.id, revision)
          .sort(
            (a, b) =>
              Number(b.label === leadership.knownLeader()) - Number(a.label === leadership.knownLeader()),
          ),
  );
  const lossDetector: DataLossDetector = new DataLossDetector(clock, () => leadership.currentTermNumber());
  const store = new GuardedStore(ports.store, lossDetector, clock);
  const leads = (): boolean => leadership.currentTerm() !== null;
  const watcher: StoreWatcher = new StoreWatcher(
    jobState,
    store,
    clock,
    leads,
    lossDetector,
    maxViewAge(settings.workers),
  );
  const contacts = new Contacts(settings);
  const served = isServedBy(store, clock);
  const peers: Peers = new Peers(
    settings,
    ports.peers,
    () => ({
      term: jobState.term,
      servedByStore: served() && !lossDetector.suspected,
      viewLoaded: watcher.loaded,
      reachableWorkers: contacts.recentCount(clock()),
      store:
        lossDetector.incarnation === null
          ? null
          : {
              incarnation: lossDetector.incarnation.id,
              generation: lossDetector.incarnation.generation,
              highestRevision: lossDetector.revisionFloor(),
              viewRevision: jobState.revision,
              seenAgo: lossDetector.timeSinceIncarnationSeen(),
            },
      hasPreLossViews: preLossViews.all.length > 0,
      ...(leadership.currentTerm() === null ? {} : { provisioning: sessions.fleet.news }),
    }),
    clock,
  );
  peers.onHeartbeat = (b) => {
    if (b.term > 0) lossDetector.noteTerm(b.term, b.from);
    if (b.store)
      lossDetector.notePeerRevision(b.store.incarnation, b.store.generation, b.store.highestRevision);
  };
  peers.onResponse = (b, asked) => {
    // It has seen the key itself, at most so long before it answered.
    if (b.store && b.store.incarnation === lossDetector.incarnation?.id)
      lossDetector.noteIncarnationSeen(plus(asked, -b.store.seenAgo));
  };
  const admission = new Admission(
    settings.limits.maxConnections,
    clock,
    () => store.writeWait(),
    settings.limits.cores,
    ports.dayTime,
    ports.memory,
  );
  /** This node's view has been held against a peer's since it was read, or all have been asked in vain. */
  let verified = false;
  /** Not in vain: one has compared it, or none that lives has a view of its own. */
  let compared = false;
  const verify = supervise(
    'verify',
    Effect.gen(function* () {
      if (
        lossDetector.incarnation !== null &&
        lossDetector.revisionFloor() === jobState.revision &&
        evidenceStore.size > 0
      )
        evidenceStore.dropCovered(lossDetector.incarnation.id, jobState.revision);
      if (watcher.loaded && lossDetector.incarnation === null && !lossDetector.suspected) {
        yield* Effect.ignore(leadership.foundStore);
        yield* Effect.sleep(40);
        return;
      }
      if (
        !watcher.loaded ||
        lossDetector.incarnation === null ||
        lossDetector.suspected ||
        (verified && compared)
      ) {
        yield* verified ? tick(1500) : Effect.sleep(watcher.loaded ? 300 : 40);
        return;
      }
      const parts = { lossDetector, store, watcher, jobState, port: ports.views };
      const told = yield* Effect.forEach(settings.peers, (peer) => verifyAgainstPeer(parts, peer), {
        concurrency: 'unbounded',
      });
      // None could tell, or all have been asked in vain: nobody who answers knows better.
      verified = watcher.loaded && !lossDetector.suspected;
      compared = verified && (told.includes('compared') || !told.includes('silent'));
      // Those who were silent may know better once they can be reached.
      if (verified && !compared) yield* tick(1500);
    }).pipe(Effect.forever),
  );
  /**
   * This node's view has all that it should have: a peer has compared it with its own since it was read, no value was found
   * damaged, no peer has shown a key to be lost. One that was read after records were lost looks like the latest, and says
   * what has ended to be placed still: joined as such, it would be placed, and booked, a second time.
   */
  const whole = (): boolean =>
    compared && lossDetector.suspicion?.proven !== true && jobState.missingRecord() === null;
  /** This node's view is of an incarnation that is over. */
  const leaveView = (): void => {
    if (lossDetector.incarnation !== null && (jobState.jobs.size > 0 || jobState.finalStates.size > 0))
      preLossViews.add(
        preLossViews.captureView(
          jobState,
          lossDetector.incarnation.generation,
          lossDetector.suspicion?.ledTerm ?? null,
          whole(),
        ),
      );
    leadership.abandonIncarnation();
    verified = false;
    compared = false;
    jobState.clear();
    watcher.reset();
    lossDetector.leaveIncarnation();
  };
  const leadership: Leadership = new Leadership(
    settings,
    store,
    ports.store,
    lossDetector,
    leaveView,
    watcher,
    jobState,
    peers,
    contacts,
    clock,
  );
  let types: readonly MachineType[] | null = null;
  const knownTypes = (): readonly MachineType[] | null =>
    types ?? (jobState.types as readonly MachineType[] | null);

  /** Why this node can't take requests; null: it can. With the state service out for all, leaving helps nobody. */
  const unready = (): string | null => {
    if (!watcher.loaded || (lossDetector.incarnation === null && !lossDetector.suspected)) return 'starting';
    if (knownTypes() === null) return 'machine types unknown';
    if (!served() && peers.anyServedByStore()) return 'state service refuses this node';
    // Neither the state service nor any other controller: whoever of them is served answers users better.
    if (!served() && peers.isolated()) return 'cut off from the state service and the others';
    return null;
  };

  const learnTypes = supervise(
    'types',
    Effect.gen(function* () {
      const read = yield* Effect.option(ports.cloud.types());
      if (read._tag === 'Some') {
        types = read.value;
        const leaderTerm = leadership.currentTerm();
        const fixed = types.map((t) => ({ ...t, spotPrice: 0 }));
        const kept = (jobState.types as MachineType[] | null)?.map((t) => ({ ...t, spotPrice: 0 })) ?? null;
        if (leaderTerm && JSON.stringify(fixed) !== JSON.stringify(kept)) {
          yield* Effect.ignore(
            store.transact(
              [{ key: TERM, stamp: leaderTerm.stamp }],
              [{ set: MACHINE_TYPES, value: types }],
              Priority.Commit,
              1500,
            ),
          );
        }
      }
      yield* Effect.sleep(knownTypes() === null ? 2000 : leads() ? 20_000 : 60_000);
    }).pipe(Effect.forever),
  );

  const sessions = new LeaderSessions({
    settings,
    store,
    cloud: ports.cloud,
    workers: ports.workers,
    viewPort: ports.views,
    watcher,
    jobState,
    lossDetector,
    preLossViews,
    evidenceStore,
    peers,
    leadership,
    admission,
    types: knownTypes,
    clock,
    dayTime: ports.dayTime,
    balance: ports.balance ?? null,
  });
  const receive = heartbeatReceiver(
    leadership,
    () => sessions.heartbeatService,
    clock,
    contacts,
    lossDetector,
  );
  const users = userListener(
    {
      settings,
      store,
      watcher,
      jobState,
      lossDetector,
      evidenceStore,
      isVerified: () => verified,
      isDurable: () => !lossDetector.suspected && preLossViews.all.length === 0,
      isLeader: leads,
      mayBeNew: (id) => sessions.mayBeNew(id),
      types: knownTypes,
      clock,
      dayTime: ports.dayTime,
    },
    admission,
    unready,
  );
  const workers = workerListener({
    settings,
    leadership,
    sessions,
    peers,
    contacts,
    admission,
    relay: ports.relay,
    receive,
    clock,
  });
  const views = viewHandler(
    preLossViews,
    (incarnation) =>
      lossDetector.incarnation === null || lossDetector.incarnation.id === incarnation
        ? null
        : preLossViews.captureView(
            jobState,
            lossDetector.incarnation.generation,
            lossDetector.suspicion?.ledTerm ?? leadership.currentTermNumber(),
            whole(),
          ),
    jobState,
    evidenceStore,
    (body) =>
      respondToCheckRequest(
        body,
        jobState,
        watcher.loaded ? (lossDetector.incarnation?.id ?? null) : null,
        lossDetector.revisionFloor(),
      ),
  );
  const others = peerListener(peers, receive, views);
  const snapshots =
    ports.snapshots === null
      ? null
      : snapshotTask({
          files: ports.snapshots,
          store,
          watcher,
          jobState,
          lossDetector,
          preLossViews,
        });
  const parts: DetectionDependencies = {
    lossDetector,
    unguardedStore: ports.store,
    store,
    watcher,
    jobState,
    refoundStore: leadership.refoundStore,
    retireView: leaveView,
    isLeader: leads,
    clock,
  };
  return {
    handle: users,
    quick: workers.quick,
    quickPeer: others.quick,
    handlePeer: others.handle,
    run: Effect.zipRight(
      snapshots?.first ?? Effect.void,
      Effect.all(
        [
          ...(snapshots === null ? [] : [snapshots.run]),
          loadReport(leads),
          watcher.run,
          watcher.loadFinalStates,
          verify,
          dataLossTask(parts),
          auditTask(parts),
          leadership.run,
          peers.run,
          workers.run,
          storeProbe(store, watcher, clock),
          eventLoopCheck(admission, leads),
          memoryCheck(admission),
          learnTypes,
          sessions.run,
        ],
        { concurrency: 'unbounded' },
      ),
    ).pipe(Effect.zipRight(Effect.never)),
    leadership,
    unready,
    peers,
    lossDetector,
    jobState,
    registry: () => sessions.registry(),
  };
};
