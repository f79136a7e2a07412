/** A child process of a run, which runs hollow workers or the state service. It exits with its parent. */
import { serveJson } from './json-server.js';
import type { ChildSetup, FromChild, ToChild } from './messages.js';
import type { WorkerEvent } from './model.js';
import { seededRandom } from './random.js';
import { StateService } from './state-service.js';
import { WorkerGroup } from './worker-group.js';

/** Interval at which buffered events are sent. */
const SEND_EVENTS_EVERY_MS = 50;

interface Child {
  receive(message: ToChild): void;
}

const send = (message: FromChild): void => {
  process.send?.(message);
};

const createWorkersChild = (setup: ChildSetup & { readonly role: 'workers' }): Child => {
  let events: WorkerEvent[] = [];
  const group = new WorkerGroup({
    kinds: setup.kinds,
    controllers: setup.controllers,
    timing: setup.timing,
    random: seededRandom(setup.seed),
    emit: (event) => events.push(event),
    keepResult: (job, task) => send({ kind: 'result-kept', job, task }),
  });
  setInterval(() => {
    if (events.length === 0) return;
    send({ kind: 'events', events });
    events = [];
  }, SEND_EVENTS_EVERY_MS);
  send({ kind: 'ready', address: null });
  return {
    receive: (message) => {
      if (message.kind === 'command') group.apply(message.command);
      else if (message.kind === 'reset') group.resetFigures();
      else if (message.kind === 'figures') send({ kind: 'workers-figures', figures: group.figures() });
    },
  };
};

const createStateChild = async (setup: ChildSetup & { readonly role: 'state' }): Promise<Child> => {
  const service = new StateService(setup.limits);
  const { address } = await serveJson((request, respond) => service.handle(request, respond));
  send({ kind: 'ready', address });
  return {
    receive: (message) => {
      if (message.kind === 'figures') send({ kind: 'state-figures', counts: { ...service.counts } });
    },
  };
};

/** Serves the parent process until it sends `end` or disconnects. */
export const serveParent = (): void => {
  let child: Child | null = null;
  process.on('disconnect', () => process.exit(0));
  process.on('message', (message: ToChild) => {
    if (message.kind === 'end') process.exit(0);
    if (message.kind !== 'setup') return child?.receive(message);
    const { setup } = message;
    if (setup.role === 'workers') child = createWorkersChild(setup);
    else void createStateChild(setup).then((createdChild) => (child = createdChild));
  });
};
