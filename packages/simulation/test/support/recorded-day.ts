/**
 * Plays simulated days and records, as bytes, what the controllers store and what they tell each other. Used to make the
 * fixture of `stored-data.test.ts` (see capture.ts) and by that test itself.
 */
import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Effect } from 'effect';
import { encodePeerHeartbeat } from '@lilacvalve/controller/leadership/codec';
import { readExperiment } from '../../src/experiment.js';
import { World } from '../../src/world/world.js';

/** Every kind of key, by what its keys begin with; the longer of two that match holds. */
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
export const kindOf = (key: string): string =>
  [...KINDS].filter((k) => key.startsWith(k)).sort((a, b) => b.length - a.length)[0] ?? `unknown: ${key}`;

/** Members that are named after jobs, machines, images or classes, not by the code. */
const GIVEN_NAME = /^(job-|vm-|img|m\d|[a-z-]+\d)/;
/** Texts that the code tells apart: they are part of the form as names are. */
const WORDS = /^(s\/l\/rebuild\.phase|s\/a\/now\.x\.#\.#)$/;
const NAMES_ONLY = new Set(['s/types/weights', 's/types/largest']);

/** The names of fields that a value has, each with those above it; `#`: an element of an array. */
export const fieldsOf = (kind: string, value: unknown): Set<string> => {
  const out = new Set<string>();
  const walk = (at: string, v: unknown, depth: number): void => {
    if (typeof v === 'string' && WORDS.test(at)) out.add(`${at}=${v}`);
    if (Array.isArray(v)) for (const x of v) walk(`${at}.#`, x, depth + 1);
    else if (typeof v === 'object' && v !== null && !(v instanceof Uint8Array))
      for (const [name, x] of Object.entries(v)) {
        const given = GIVEN_NAME.test(name) || (depth === 0 && NAMES_ONLY.has(kind));
        const below = `${at}.${given ? '*' : name}`;
        out.add(below);
        walk(below, x, depth + 1);
      }
  };
  walk(kind, value, 0);
  return out;
};

export interface Recorded {
  /** Each put, in order: key and value's JSON. */
  readonly puts: (readonly [key: string, json: string])[];
  /** Each question between controllers with its answer, as they are on the wire. */
  readonly messages: (readonly [path: string, question: Buffer, answer: Buffer])[];
  /** Over all of these: two runs of the same code have the same. */
  readonly digest: string;
}

interface Asked {
  readonly path: string;
  readonly body: Buffer | null;
}

/** One day of an experiment of the directory `experiments`; `jobs`: with so many in place of the experiment's number. */
export const recordDay = (experiments: string, name: string, seed: number, jobs?: number): Recorded => {
  const read = readExperiment(readFileSync(`${experiments}/${name}.toml`, 'utf8'));
  if (read._tag !== 'Right') throw new Error(`${name}: not an experiment`);
  const x = read.right;
  const world = new World(seed, x.troubles, x.size);
  const puts: (readonly [string, string])[] = [];
  const messages: (readonly [string, Buffer, Buffer])[] = [];
  const { onPut } = world.state;
  world.state.onPut = (key, value) => {
    if (value !== undefined) puts.push([key, value]);
    onPut(key, value);
  };
  // Nodes come and go: each is listened to from the first step on that it is there.
  const heard = new WeakSet<object>();
  const { onStep } = world.time;
  world.time.onStep = () => {
    onStep();
    for (const { node } of world.up()) {
      if (heard.has(node)) continue;
      heard.add(node);
      const { peers } = node;
      const receive = peers.receive.bind(peers);
      peers.receive = (beat) => {
        const question = Buffer.from(encodePeerHeartbeat(beat));
        const answer = receive(beat);
        messages.push(['/beat', question, Buffer.from(encodePeerHeartbeat(answer))]);
        return answer;
      };
      const open = node as { -readonly [K in keyof typeof node]: (typeof node)[K] };
      const quick = node.quickPeer;
      open.quickPeer = (asked, reply) =>
        quick(asked, (answer) => {
          note(asked, answer);
          reply(answer);
        });
      const handle = node.handlePeer;
      open.handlePeer = (asked) => {
        const effect = handle(asked);
        return Effect.tap(effect, (answer) => Effect.sync(() => note(asked, answer)));
      };
    }
  };
  const note = (
    asked: Asked,
    answer: { readonly status: number; readonly body: Uint8Array | string },
  ): void => {
    if (answer.status === 200 && asked.body !== null)
      messages.push([asked.path, asked.body, Buffer.from(answer.body)]);
  };
  world.play(jobs ?? x.jobs, x.troubledUs, x.quietUs);
  world.stop();
  const hash = createHash('sha256');
  for (const p of puts) hash.update(JSON.stringify(p));
  for (const [path, q, a] of messages) hash.update(path).update(q).update(a);
  return { puts, messages, digest: hash.digest('hex') };
};
