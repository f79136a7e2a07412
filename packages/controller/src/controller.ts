/** One controller: connects its modules. All external effects are passed in as ports. */
import { supervise } from '@lilacvalve/runtime/supervise';
import type { HttpResponse, HttpRequest, FastPathHandler } from '@lilacvalve/runtime/http-server';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { sleepUntilTick } from '@lilacvalve/runtime/tick';
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
import { jsonBytes, maxValueBytes } from './state-store/transaction-limits.js';
import { snapshotTask } from './snapshots/snapshot-task.js';
import type { StatePort } from './state-store/port.js';
import type { WorkerRegistry } from './workers/worker-registry.js';
import { heartbeatReceiver } from './workers/heartbeat-handler.js';
import type { WorkerPort } from './workers/worker-client.js';
import type { RelayPort } from './workers/heartbeat-relay.js';

/** Interfaces to the other processes, the clocks and the file system, which tests and simulations replace. */
export interface ControllerPorts {
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly peers: PeerPort;
  readonly views: ViewPort;
  readonly relay: RelayPort;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
  /** Returns the fraction of its memory that the process uses; absent if unknown. */
  readonly memory?: () => number;
  /** Directory of the snapshots; null if none are kept. */
  readonly snapshots: Files | null;
  /** Half-life of the balance between teams (docs/accounts.md); absent if the balance is off. */
  readonly balance?: Micros;
}

/** One controller process. */
export interface Controller {
  readonly handle: (request: HttpRequest) => Effect.Effect<HttpResponse>;
  /** Handles workers' heartbeats; called before `handle`. */
  readonly quick: FastPathHandler;
  /** Handles requests of other controllers. */
  readonly handlePeer: (request: HttpRequest) => Effect.Effect<HttpResponse>;
  /** Handles peer heartbeats and relayed workers' heartbeats; called before `handlePeer`. */
  readonly quickPeer: FastPathHandler;
  readonly run: Effect.Effect<never>;
  readonly leadership: Leadership;
  /** The reason why this controller cannot serve requests; null if it can. */
  readonly unreadyReason: () => string | null;
  readonly peers: Peers;
  readonly lossDetector: DataLossDetector;
  readonly jobState: JobState;
  readonly registry: () => WorkerRegistry | null;
}

/** Creates a controller; nothing runs before `run` is started. */
export const createController = (settings: Settings, ports: ControllerPorts): Controller => {
  const { clock } = ports;
  const jobState = new JobState();
  const preLossViews = new PreLossViews(`${settings.label}/${ports.dayTime()}`);
  const evidenceStore: EvidenceStore = new EvidenceStore(ports.views, (revision) =>
    lossDetector.incarnation === null
      ? []
      : peers
          .peersBehind(lossDetector.incarnation.id, revision)
          .sort(
            (a, b) =>
              Number(b.label === leadership.knownLeader()) - Number(a.label === leadership.knownLeader()),
          ),
  );
  const lossDetector: DataLossDetector = new DataLossDetector(clock, () => leadership.currentTermNumber());
  const store = new GuardedStore(ports.store, lossDetector, clock);
  const isLeader = (): boolean => leadership.currentTerm() !== null;
  const watcher: StoreWatcher = new StoreWatcher(
    jobState,
    store,
    clock,
    isLeader,
    lossDetector,
    maxViewAge(settings.workers),
  );
  const contacts = new Contacts(settings);
  const isServed = isServedBy(store, clock);
  const peers: Peers = new Peers(
    settings,
    ports.peers,
    () => ({
      term: jobState.term,
      servedByStore: isServed() && !lossDetector.suspected,
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
  peers.onHeartbeat = (heartbeat) => {
    if (heartbeat.term > 0) lossDetector.noteTerm(heartbeat.term, heartbeat.from);
    if (heartbeat.store)
      lossDetector.notePeerRevision(
        heartbeat.store.incarnation,
        heartbeat.store.generation,
        heartbeat.store.highestRevision,
      );
  };
  peers.onResponse = (response, requestedAt) => {
    // The peer itself has read the incarnation's key, at most `seenAgo` before it responded.
    if (response.store && response.store.incarnation === lossDetector.incarnation?.id)
      lossDetector.noteIncarnationSeen(plus(requestedAt, -response.store.seenAgo));
  };
  const admission = new Admission(
    settings.limits.maxConnections,
    clock,
    () => store.writeWait(),
    settings.limits.cores,
    ports.dayTime,
    ports.memory,
  );
  /**
   * Whether this controller's view has been compared with a peer's since it was read, or all peers were asked
   * without a result.
   */
  let verified = false;
  /**
   * Whether the latest verification had a result: a peer has compared the view with its own, or no reachable peer
   * has a view of its own.
   */
  let compared = false;
  const verifyTask = supervise(
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
        yield* verified ? sleepUntilTick(1500) : Effect.sleep(watcher.loaded ? 300 : 40);
        return;
      }
      const verification = { lossDetector, store, watcher, jobState, port: ports.views };
      const outcomes = yield* Effect.forEach(
        settings.peers,
        (peer) => verifyAgainstPeer(verification, peer),
        {
          concurrency: 'unbounded',
        },
      );
      // No response made a data loss suspected: no reachable peer knows more than this controller.
      verified = watcher.loaded && !lossDetector.suspected;
      compared = verified && (outcomes.includes('compared') || !outcomes.includes('silent'));
      // A peer that did not respond may know more once it is reachable.
      if (verified && !compared) yield* sleepUntilTick(1500);
    }).pipe(Effect.forever),
  );
  /**
   * Whether this controller's view is complete: a peer has compared it with its own since it was read, no value
   * was found damaged, and no peer has shown that a key was lost. A view read after log entries were lost looks
   * like the latest one but still contains placements of tasks that have exited. If it were merged as complete,
   * these tasks would be placed, and charged, a second time.
   */
  const isViewComplete = (): boolean =>
    compared && lossDetector.suspicion?.proven !== true && jobState.missingEntryKey() === null;
  /** Retires this controller's view when its store incarnation has ended. */
  const retireView = (): void => {
    if (lossDetector.incarnation !== null && (jobState.jobs.size > 0 || jobState.finalStates.size > 0))
      preLossViews.add(
        preLossViews.captureView(
          jobState,
          lossDetector.incarnation.generation,
          lossDetector.suspicion?.ledTerm ?? null,
          isViewComplete(),
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
    retireView,
    watcher,
    jobState,
    peers,
    contacts,
    clock,
  );
  let machineTypes: readonly MachineType[] | null = null;
  const knownMachineTypes = (): readonly MachineType[] | null =>
    machineTypes ?? (jobState.machineTypes as readonly MachineType[] | null);

  /**
   * The reason why this controller cannot serve requests; null if it can. If the state service serves no
   * controller, users gain nothing from trying another one.
   */
  const unreadyReason = (): string | null => {
    if (!watcher.loaded || (lossDetector.incarnation === null && !lossDetector.suspected)) return 'starting';
    if (knownMachineTypes() === null) return 'machine types unknown';
    if (!isServed() && peers.anyServedByStore()) return 'state service refuses this node';
    // The controller reaches neither the state service nor any other controller, so a controller that is served
    // should handle the users' requests.
    if (!isServed() && peers.isolated()) return 'cut off from the state service and the others';
    return null;
  };

  const machineTypesTask = supervise(
    'types',
    Effect.gen(function* () {
      const read = yield* Effect.option(ports.cloud.types());
      if (read._tag === 'Some') {
        machineTypes = read.value;
        const leaderTerm = leadership.currentTerm();
        const withoutSpotPrice = machineTypes.map((type) => ({ ...type, spotPrice: 0 }));
        const storedWithoutSpotPrice =
          (jobState.machineTypes as MachineType[] | null)?.map((type) => ({ ...type, spotPrice: 0 })) ?? null;
        // A cloud with more machine types than a value holds: a controller that starts during its outage waits for them.
        const isStorable = jsonBytes(machineTypes) <= maxValueBytes(settings.state);
        const isNew = JSON.stringify(withoutSpotPrice) !== JSON.stringify(storedWithoutSpotPrice);
        if (leaderTerm && isNew && isStorable) {
          yield* Effect.ignore(
            store.transact(
              [{ key: TERM, revision: leaderTerm.revision }],
              [{ set: MACHINE_TYPES, value: machineTypes }],
              Priority.Commit,
              1500,
            ),
          );
        }
      }
      yield* Effect.sleep(knownMachineTypes() === null ? 2000 : isLeader() ? 20_000 : 60_000);
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
    types: knownMachineTypes,
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
  const userHandler = userListener(
    {
      settings,
      store,
      watcher,
      jobState,
      lossDetector,
      evidenceStore,
      isVerified: () => verified,
      isDurable: () => !lossDetector.suspected && preLossViews.all.length === 0,
      isLeader,
      mayBeNew: (id) => sessions.mayBeNew(id),
      types: knownMachineTypes,
      clock,
      dayTime: ports.dayTime,
    },
    admission,
    unreadyReason,
  );
  const workerHandlers = workerListener({
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
            isViewComplete(),
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
  const peerHandlers = peerListener(peers, receive, views);
  const snapshotWriter =
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
  const detection: DetectionDependencies = {
    lossDetector,
    unguardedStore: ports.store,
    store,
    watcher,
    jobState,
    refoundStore: leadership.refoundStore,
    retireView,
    isLeader,
    clock,
  };
  return {
    handle: userHandler,
    quick: workerHandlers.quick,
    quickPeer: peerHandlers.quick,
    handlePeer: peerHandlers.handle,
    run: Effect.zipRight(
      snapshotWriter?.first ?? Effect.void,
      Effect.all(
        [
          ...(snapshotWriter === null ? [] : [snapshotWriter.run]),
          loadReport(isLeader),
          watcher.run,
          watcher.loadFinalStates,
          verifyTask,
          dataLossTask(detection),
          auditTask(detection),
          leadership.run,
          peers.run,
          workerHandlers.run,
          storeProbe(store, watcher, clock),
          eventLoopCheck(admission, isLeader),
          memoryCheck(admission),
          machineTypesTask,
          sessions.run,
        ],
        { concurrency: 'unbounded' },
      ),
    ).pipe(Effect.zipRight(Effect.never)),
    leadership,
    unreadyReason,
    peers,
    lossDetector,
    jobState,
    registry: () => sessions.registry(),
  };
};
