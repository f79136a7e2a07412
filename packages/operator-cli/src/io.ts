/**
 * What all commands share: where they print, how they end, and how they reach the state service. Exit codes are stable:
 * 0 done; 1 it was refused, or what was looked for is not so; 2 the input is wrong; 3 the state service gave no answer.
 */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { Effect, Either } from 'effect';
import { logLayer } from '@lilacvalve/runtime/log';
import { readSettings, type Settings } from '@lilacvalve/controller/settings/settings';
import { StateStore, type StateFailure } from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';

export const EXIT = { refused: 1, input: 2, noAnswer: 3 } as const;

/** Ends a command with one line and a status. */
export class Fail extends Error {
  constructor(
    message: string,
    readonly status: (typeof EXIT)[keyof typeof EXIT] = EXIT.refused,
  ) {
    super(message);
  }
}

export type Store = Pick<StatePort, 'get' | 'page' | 'transact' | 'follow'>;
export type Limits = Pick<Settings['state'], 'valueBytes' | 'txnOps'>;
/** The state service, and what it takes. */
export interface Opened {
  readonly store: Store;
  readonly limits: Limits;
  /** Known from the settings file only. */
  readonly settings: Settings | null;
}
export interface StateOptions {
  readonly state?: string;
  readonly config?: string;
}

export interface Io {
  readonly print: (line: string) => void;
  /** To standard error: what is no part of the output. */
  readonly note: (line: string) => void;
  readonly read: (path: string) => string;
  readonly open: (o: StateOptions) => Opened;
  /** Time of day, microseconds. */
  readonly dayTime: () => number;
  /** Runs one command's effect; a failure ends the command with its status. */
  readonly run: (work: () => Effect.Effect<void, StateFailure | Fail>) => Promise<void>;
}

/** Without a settings file: the least that a state service is known to take. */
const LEAST: Settings['state'] = { rps: 20, writeRps: 20, valueBytes: 32 * 1024, txnOps: 16 };
/** The controllers need the rate: commands take a small part of it. */
const PART = 0.05;

const open = (o: StateOptions): Opened => {
  let settings: Settings | null = null;
  if (o.config !== undefined) {
    const read = readSettings(o.config);
    if (Either.isLeft(read)) throw new Fail(`--config: ${read.left}`, EXIT.input);
    settings = read.right;
  }
  const address = o.state ?? settings?.stateAddress;
  if (address === undefined) throw new Fail('--state HOST:PORT or --config FILE is needed', EXIT.input);
  if (!/^[^:\s]+:\d{1,5}$/.test(address))
    throw new Fail(`--state: must be HOST:PORT, not ${address}`, EXIT.input);
  const state = settings?.state ?? LEAST;
  const rate = settings === null ? 1 : PART;
  const part = {
    ...state,
    rps: Math.max(5, state.rps * rate),
    writeRps: Math.max(10, state.writeRps * rate),
  };
  const store = new StateStore({ stateAddress: address, nodes: 1, state: part });
  return { store, limits: state, settings };
};

const line = (e: StateFailure | Fail): string =>
  e instanceof Fail
    ? e.message
    : e._tag === 'Refused'
      ? `state service: refused (${e.status}): ${e.reason}`
      : `state service: no answer: ${e.reason}`;

export const processIo: Io = {
  print: (text) => void process.stdout.write(`${text}\n`),
  note: (text) => void process.stderr.write(`${text}\n`),
  read: (path) => {
    try {
      return readFileSync(path, 'utf8');
    } catch (e) {
      throw new Fail(`cannot read ${path}: ${(e as Error).message}`, EXIT.input);
    }
  },
  open,
  dayTime: () => Date.now() * 1000,
  run: async (work) => {
    const made = Effect.try({ try: work, catch: (e) => (e instanceof Fail ? e : new Fail(String(e))) });
    const r = await Effect.runPromise(
      Effect.either(Effect.flatten(made)).pipe(Effect.provide(logLayer('error'))),
    );
    if (Either.isLeft(r)) end(r.left);
    else process.exit(process.exitCode ?? 0);
  },
};

const end = (e: StateFailure | Fail): never => {
  processIo.note(line(e));
  return process.exit(e instanceof Fail ? e.status : EXIT.noAnswer);
};

/** `--state`, `--config` and `--output` of a command that reads the shared state. */
export const stateOptions = (c: Command): Command =>
  c
    .option('--state <host:port>', 'address of the state service')
    .option('--config <file>', "the platform's settings file (TOML): address and limits are taken from it");
