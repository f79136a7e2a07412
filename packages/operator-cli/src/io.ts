/**
 * What all commands share: where they print, how they end, and how they reach the state service. Exit codes are stable:
 * 0 done; 1 it was refused, or what was looked for is not so; 2 the input is wrong; 3 the state service gave no answer.
 */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { Data, Effect, Either } from 'effect';
import { logLayer } from '@lilacvalve/runtime/log';
import { readSettings, type Settings } from '@lilacvalve/controller/settings/settings';
import { StateStore, type StateFailure } from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';

/** Exit codes of commands that are not done. */
export const EXIT = { refused: 1, input: 2, noAnswer: 3 } as const;

/** A flag, a file or an address is wrong. The message names it and what to write instead. Exit code 2. */
export class InvalidInput extends Data.TaggedError('InvalidInput')<{ readonly message: string }> {}

/** It was refused, or what was looked for is not so. Exit code 1. */
export class CommandRefused extends Data.TaggedError('CommandRefused')<{ readonly message: string }> {}

/** How a command fails by itself; the state service's failures are beside it. */
export type CommandFailure = InvalidInput | CommandRefused;

/** The calls of the state service that commands make. */
export type Store = Pick<StatePort, 'get' | 'page' | 'transact' | 'follow'>;
/** What the state service takes in one transaction. */
export type Limits = Pick<Settings['state'], 'valueBytes' | 'txnOps'>;
/** The state service, and what it takes. */
export interface OpenedState {
  readonly store: Store;
  readonly limits: Limits;
  /** Known from the settings file only. */
  readonly settings: Settings | null;
}
/** The flags that `stateOptions` adds. */
export interface StateOptions {
  readonly state?: string;
  readonly config?: string;
}

/** A command's surroundings; tests give their own. */
export interface Io {
  readonly print: (line: string) => void;
  /** To standard error: what is no part of the output. */
  readonly note: (line: string) => void;
  readonly read: (path: string) => Effect.Effect<string, InvalidInput>;
  readonly open: (options: StateOptions) => Effect.Effect<OpenedState, InvalidInput>;
  /** Time of day, microseconds. */
  readonly dayTime: () => number;
  /** Runs one command's effect; a failure ends the command with its status. */
  readonly run: (work: Effect.Effect<void, StateFailure | CommandFailure>) => Promise<void>;
}

/** Without a settings file: the least that a state service is known to take. */
const UNKNOWN_SERVICE_LIMITS: Settings['state'] = {
  rps: 20,
  writeRps: 20,
  valueBytes: 32 * 1024,
  txnOps: 16,
};
/** The controllers need the rate: commands take a small part of it, but at least so many requests and writes a second. */
const RATE_SHARE = 0.05;
const LEAST_RPS = 5;
const LEAST_WRITE_RPS = 10;

const readConfig = (file: string | undefined): Either.Either<Settings | null, InvalidInput> =>
  file === undefined
    ? Either.right(null)
    : Either.mapLeft(readSettings(file), (fault) => new InvalidInput({ message: `--config: ${fault}` }));

const addressOf = (
  { state }: StateOptions,
  settings: Settings | null,
): Either.Either<string, InvalidInput> => {
  const address = state ?? settings?.stateAddress;
  if (address === undefined)
    return Either.left(new InvalidInput({ message: '--state HOST:PORT or --config FILE is needed' }));
  return /^[^:\s]+:\d{1,5}$/.test(address)
    ? Either.right(address)
    : Either.left(new InvalidInput({ message: `--state: must be HOST:PORT, not ${address}` }));
};

const open = (options: StateOptions): Effect.Effect<OpenedState, InvalidInput> =>
  Effect.gen(function* () {
    const settings = yield* readConfig(options.config);
    const address = yield* addressOf(options, settings);
    const limits = settings?.state ?? UNKNOWN_SERVICE_LIMITS;
    const rate = settings === null ? 1 : RATE_SHARE;
    const store = new StateStore({
      stateAddress: address,
      controllerCount: 1,
      state: {
        ...limits,
        rps: Math.max(LEAST_RPS, limits.rps * rate),
        writeRps: Math.max(LEAST_WRITE_RPS, limits.writeRps * rate),
      },
    });
    return { store, limits, settings };
  });

/** The line that a failed command prints, and its exit code. */
export const failureEnd = (
  failure: StateFailure | CommandFailure,
): { readonly line: string; readonly status: number } => {
  switch (failure._tag) {
    case 'InvalidInput':
      return { line: failure.message, status: EXIT.input };
    case 'CommandRefused':
      return { line: failure.message, status: EXIT.refused };
    case 'Refused':
      return { line: `state service: refused (${failure.status}): ${failure.reason}`, status: EXIT.noAnswer };
    case 'NoResponse':
      return { line: `state service: no answer: ${failure.reason}`, status: EXIT.noAnswer };
  }
};

/** Of the process: its files, its output, its clock, its end. */
export const processIo: Io = {
  print: (text) => void process.stdout.write(`${text}\n`),
  note: (text) => void process.stderr.write(`${text}\n`),
  read: (path) =>
    Effect.try({
      try: () => readFileSync(path, 'utf8'),
      catch: (error) => new InvalidInput({ message: `cannot read ${path}: ${(error as Error).message}` }),
    }),
  open,
  dayTime: () => Date.now() * 1000,
  run: async (work) => {
    const result = await Effect.runPromise(Effect.either(work).pipe(Effect.provide(logLayer('error'))));
    if (Either.isRight(result)) process.exit(process.exitCode ?? 0);
    const { line, status } = failureEnd(result.left);
    processIo.note(line);
    process.exit(status);
  },
};

/** `--state` and `--config` of a command that reaches the shared state. */
export const stateOptions = (command: Command): Command =>
  command
    .option('--state <host:port>', 'address of the state service')
    .option('--config <file>', "the platform's settings file (TOML): address and limits are taken from it");
