/** Connects scenarios of compound faults to the simulation: observations of controllers, and actions on the simulation. */
import type { Settings } from '@lilacvalve/controller/settings/settings';
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Cloud } from './cloud.js';
import type { Controllers } from './controllers.js';
import type { FaultInjector } from './fault-injector.js';
import type { FaultLog } from './fault-log.js';
import type { Links } from './links.js';
import type { ScenarioWorld } from './scenarios/scenario-kit.js';
import type { Rules } from './rules.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';
import type { Users } from './users.js';
import type { Worker } from './worker/worker.js';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';

/** The components of the simulation that scenarios observe and act on. */
export interface ScenarioHostOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly rules: Rules;
  readonly controllers: Controllers;
  readonly cloud: Cloud;
  readonly workers: Map<string, Worker>;
  readonly users: Users;
  readonly log: FaultLog;
  readonly settings: Settings['workers'];
  /** Created after the scenarios. Not used before the day begins. */
  readonly injector: () => FaultInjector;
}

/** By task that the acting leader counts against a team's limit: its attempt; null: no controller acts as leader. */
const countedAgainstLimit = (controllers: Controllers, team: string): Map<string, number> | null => {
  const controller = controllers.leaderProcess()?.controller;
  const registry = controller?.registry() ?? null;
  if (controller === undefined || registry === null) return null;
  const counted = new Map<string, number>();
  for (const { spec, placed } of controller.jobState.jobs.values())
    if (spec.team === team)
      for (const placement of placed.values())
        if (!registry.hasObservedExit(spec.id, placement.task))
          counted.set(`${spec.id}/${placement.task}`, placement.attempt);
  return counted;
};

/** Creates the interface through which scenarios access the simulation. */
export const createScenarioWorld = (options: ScenarioHostOptions): ScenarioWorld => {
  const { cloud, controllers, links, log, random, rules, settings, state, time, users, workers } = options;
  return {
    cloud: cloud.bootModes,
    time,
    random,
    state,
    rules,
    jobs: users.jobs,
    workers,
    nodes: controllers.labels,
    zones: ZONES,
    lease: settings.lease,
    cancelTimeout: settings.cancel,
    recordInjection: (what) => log.recordInjected(what),
    markDisruption: (lasts) => log.disruptedFor(lasts),
    leader: () => controllers.leader(),
    term: () => controllers.leaderProcess()?.controller.leadership.currentTermNumber() ?? null,
    process: (label) => controllers.process(label),
    isResponding: (label) =>
      (controllers.process(label)?.controller.leadership.respondingTerm() ?? null) !== null,
    hasReported: (machine) =>
      controllers.leaderProcess()?.controller.registry()?.machines.get(machine)?.reported === true,
    countedAgainstLimit: (team) => countedAgainstLimit(controllers, team),
    hasPlaced: (label, job) =>
      (controllers.process(label)?.controller.jobState.jobs.get(job)?.placed.size ?? 0) > 0,
    placedOn: (machine) => [
      ...(controllers.leaderProcess()?.controller.jobState.placementsByMachine.get(machine)?.keys() ?? []),
    ],
    isDeleted: (machine) => cloud.isDeleted(machine),
    anyController: () => controllers.randomLabel(),
    cacheSizes: () =>
      controllers.up().map(({ controller: { jobState } }) => ({
        jobs: jobState.jobs.size,
        tail: jobState.logTail.size,
        finals: jobState.finalStates.size,
      })),
    crash: (label, back) => controllers.crash(label, back),
    freeze: (label, lasts) => {
      log.disruptedFor(lasts);
      controllers.freeze(label, lasts);
    },
    stepDown: (label, forMicros) => {
      const process = controllers.process(label);
      if (process) time.fork(process.controller.leadership.stepDown('handover', forMicros), process.host);
    },
    cut: (one, other, linkState, lasts) => options.injector().cut(one, other, linkState, lasts),
    link: (from, to, linkState, lasts) => {
      log.disruptedFor(lasts);
      links.set(from, to, linkState, lasts);
    },
    loseMachine: (machine) => cloud.failMachine(machine),
    submit: (arrival, via) => users.submit({ arrival, via }),
    submissions: users.bodies,
    call: (label, method, path, body, then) => users.call(label, method, path, body, then),
    cancel: (id, via, confirmed) => users.cancel(id, via, confirmed),
    ask: (what, id, label, then) => users.ask(what, id, label, then),
  };
};
