/**
 * Plays simulated days and records the bytes that the controllers store and send to each other. Used by capture.ts, which
 * writes the fixture of `stored-data.test.ts`, and by that test.
 */
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Effect } from 'effect';
import { encodePeerHeartbeat } from '@lilacvalve/controller/leadership/codec';
import { readExperiment } from '../../src/experiment.js';
import { World } from '../../src/world/world.js';

/** The kinds of keys, by their prefixes; the longest matching prefix decides. */
export const KINDS = [
  's/j/a/',
  's/j/z/',
  's/r/',
  's/leader',
  's/term',
  's/types',
  's/types/weights',
  's/types/largest',
  's/a/now',
  's/a/p/',
  's/l/i/',
  's/l/founded',
  's/l/rebuild',
  's/l/calm',
  's/l/settled',
  's/l/w/',
  's/l/o/',
  's/p/',
  's/y/',
  's/c/head',
  's/c/p/',
  's/c/o/',
  's/c/e',
] as const;
/** Returns the kind of a key. */
export const kindOf = (key: string): string =>
  [...KINDS].filter((kind) => key.startsWith(kind)).sort((one, other) => other.length - one.length)[0] ??
  `unknown: ${key}`;

/** Names of fields that are IDs of jobs, machines, images or classes. */
const DATA_NAME = /^(job-|vm-|img|m\d|[a-z-]+\d)/;
/** Paths of texts with a fixed set of values, which belong to the format like the names of fields. */
const ENUM_VALUES = /^(s\/l\/rebuild\.phase|s\/a\/now\.x\.#\.#)$/;
/** Kinds whose top-level fields all have names from the data. */
const KINDS_WITH_DATA_NAMES = new Set(['s/types/weights', 's/types/largest']);

/** Returns the paths of all fields of a value; `#` stands for an element of an array, `*` for a name from the data. */
export const fieldsOf = (kind: string, value: unknown): Set<string> => {
  const fields = new Set<string>();
  const walk = (path: string, current: unknown, depth: number): void => {
    if (typeof current === 'string' && ENUM_VALUES.test(path)) fields.add(`${path}=${current}`);
    if (Array.isArray(current)) for (const item of current) walk(`${path}.#`, item, depth + 1);
    else if (typeof current === 'object' && current !== null && !(current instanceof Uint8Array))
      for (const [name, item] of Object.entries(current)) {
        const isDataName = DATA_NAME.test(name) || (depth === 0 && KINDS_WITH_DATA_NAMES.has(kind));
        const childPath = `${path}.${isDataName ? '*' : name}`;
        fields.add(childPath);
        walk(childPath, item, depth + 1);
      }
  };
  walk(kind, value, 0);
  return fields;
};

/** The data that a day stored and sent. */
export interface Recorded {
  /** Each put, in order: the key and the JSON of the value. */
  readonly puts: (readonly [key: string, json: string])[];
  /** Each request between controllers with its response, as sent on the wire. */
  readonly messages: (readonly [path: string, request: Buffer, response: Buffer])[];
  /** A digest of all puts and messages, the same in every run of one version. */
  readonly digest: string;
}

/** A request between controllers. */
interface PeerRequest {
  readonly path: string;
  readonly body: Buffer | null;
}

/** Records one day of an experiment in the directory `experiments`; `jobs` replaces the experiment's number of jobs. */
export const recordDay = (experiments: string, name: string, seed: number, jobs?: number): Recorded => {
  const parsed = readExperiment(readFileSync(`${experiments}/${name}.toml`, 'utf8'));
  if (parsed._tag !== 'Right') throw new Error(`${name}: expected a valid experiment`);
  const experiment = parsed.right;
  const world = new World(seed, experiment.troubles, experiment.size);
  const puts: (readonly [string, string])[] = [];
  const messages: (readonly [string, Buffer, Buffer])[] = [];
  const { onPut } = world.state;
  world.state.onPut = (key, value) => {
    if (value !== undefined) puts.push([key, value]);
    onPut(key, value);
  };
  // Controllers crash and restart: each process is observed from the first step in which it runs.
  const observed = new WeakSet<object>();
  const { onStep } = world.time;
  world.time.onStep = () => {
    onStep();
    for (const { controller } of world.up()) {
      if (observed.has(controller)) continue;
      observed.add(controller);
      const { peers } = controller;
      const receive = peers.receive.bind(peers);
      peers.receive = (heartbeat) => {
        const request = Buffer.from(encodePeerHeartbeat(heartbeat));
        const response = receive(heartbeat);
        messages.push(['/beat', request, Buffer.from(encodePeerHeartbeat(response))]);
        return response;
      };
      const writable = controller as { -readonly [K in keyof typeof controller]: (typeof controller)[K] };
      const quickPeer = controller.quickPeer;
      writable.quickPeer = (request, reply) =>
        quickPeer(request, (response) => {
          recordMessage(request, response);
          reply(response);
        });
      const handle = controller.handlePeer;
      writable.handlePeer = (request) => {
        const effect = handle(request);
        return Effect.tap(effect, (response) => Effect.sync(() => recordMessage(request, response)));
      };
    }
  };
  const recordMessage = (
    request: PeerRequest,
    response: { readonly status: number; readonly body: Uint8Array | string },
  ): void => {
    if (response.status === 200 && request.body !== null)
      messages.push([request.path, request.body, Buffer.from(response.body)]);
  };
  world.play(jobs ?? experiment.jobs, experiment.troubledUs, experiment.quietUs);
  world.stop();
  const hash = createHash('sha256');
  for (const put of puts) hash.update(JSON.stringify(put));
  for (const [path, requestBody, responseBody] of messages)
    hash.update(path).update(requestBody).update(responseBody);
  return { puts, messages, digest: hash.digest('hex') };
};
