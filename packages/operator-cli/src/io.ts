/**
 * Input, output and exit codes of all commands, and their access to the state service. Exit codes are stable: 0 success; 1 the
 * change was refused, or the checked condition does not hold; 2 invalid input; 3 the state service did not respond or refused
 * a request.
 */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { Data, Effect, Either } from 'effect';
import { logLayer } from '@lilacvalve/runtime/log';
import { readSettings, type Settings } from '@lilacvalve/controller/settings/settings';
import { StateStore, type StateFailure } from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';

/** Exit codes of commands that fail. */
export const EXIT = { refused: 1, invalidInput: 2, stateService: 3 } as const;

/** A flag, a file or an address is invalid. The message names it and states what is valid. Exit code 2. */
export class InvalidInput extends Data.TaggedError('InvalidInput')<{ readonly message: string }> {}

/** The command was refused, or the condition that it checks does not hold. Exit code 1. */
export class CommandRefused extends Data.TaggedError('CommandRefused')<{ readonly message: string }> {}

/** Failures that commands raise themselves. Failures of the state service are a separate type (`StateFailure`). */
export type CommandFailure = InvalidInput | CommandRefused;

/** The operations of the state service that commands use. */
export type Store = Pick<StatePort, 'get' | 'page' | 'transact' | 'follow'>;
/** Limits of the state service for a transaction: bytes of a value, operations. */
export type Limits = Pick<Settings['state'], 'valueBytes' | 'txnOps'>;
/** A client of the state service, with the limits of the service. */
export interface OpenedState {
  readonly store: Store;
  readonly limits: Limits;
  /** The settings file; null: the command was started without `--config`. */
  readonly settings: Settings | null;
}
/** Values of the options that `stateOptions` adds. */
export interface StateOptions {
  readonly state?: string;
  readonly config?: string;
}

/** The environment of a command: output, files, clock, state service. Tests substitute their own. */
export interface Io {
  readonly print: (line: string) => void;
  /** Prints to standard error: diagnostics that are not output of the command. */
  readonly printDiagnostic: (line: string) => void;
  readonly read: (path: string) => Effect.Effect<string, InvalidInput>;
  readonly open: (options: StateOptions) => Effect.Effect<OpenedState, InvalidInput>;
  /** Time of day, microseconds. */
  readonly dayTime: () => number;
  /** Runs a command. If it fails, prints the failure and ends the process with its exit code. */
  readonly run: (command: Effect.Effect<void, StateFailure | CommandFailure>) => Promise<void>;
}

/** Limits assumed without a settings file: every known state service accepts at least these. */
const DEFAULT_LIMITS: Settings['state'] = {
  rps: 20,
  writeRps: 20,
  valueBytes: 32 * 1024,
  txnOps: 16,
};
/**
 * Fraction of the state service's request rate that a command uses: the controllers need the rest. A command may always make
 * `MIN_RPS` requests and `MIN_WRITE_RPS` writes per second.
 */
const RATE_FRACTION = 0.05;
const MIN_RPS = 5;
const MIN_WRITE_RPS = 10;

const readConfig = (file: string | undefined): Either.Either<Settings | null, InvalidInput> =>
  file === undefined
    ? Either.right(null)
    : Either.mapLeft(readSettings(file), (reason) => new InvalidInput({ message: `--config: ${reason}` }));

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
    const limits = settings?.state ?? DEFAULT_LIMITS;
    const rateFraction = settings === null ? 1 : RATE_FRACTION;
    const store = new StateStore({
      stateAddress: address,
      controllerCount: 1,
      state: {
        ...limits,
        rps: Math.max(MIN_RPS, limits.rps * rateFraction),
        writeRps: Math.max(MIN_WRITE_RPS, limits.writeRps * rateFraction),
      },
    });
    return { store, limits, settings };
  });

/** Returns the line that a failed command prints, and its exit code. */
export const failureExit = (
  failure: StateFailure | CommandFailure,
): { readonly line: string; readonly status: number } => {
  switch (failure._tag) {
    case 'InvalidInput':
      return { line: failure.message, status: EXIT.invalidInput };
    case 'CommandRefused':
      return { line: failure.message, status: EXIT.refused };
    case 'Refused':
      return {
        line: `state service: refused (${failure.status}): ${failure.reason}`,
        status: EXIT.stateService,
      };
    case 'Rejected':
      return { line: `state service: rejected: ${failure.reason}`, status: EXIT.stateService };
    case 'NoResponse':
      return { line: `state service: no response: ${failure.reason}`, status: EXIT.stateService };
  }
};

/** The environment of a real process: its files, output streams, clock and exit. */
export const processIo: Io = {
  print: (text) => void process.stdout.write(`${text}\n`),
  printDiagnostic: (text) => void process.stderr.write(`${text}\n`),
  read: (path) =>
    Effect.try({
      try: () => readFileSync(path, 'utf8'),
      catch: (error) => new InvalidInput({ message: `cannot read ${path}: ${(error as Error).message}` }),
    }),
  open,
  dayTime: () => Date.now() * 1000,
  run: async (command) => {
    const result = await Effect.runPromise(Effect.either(command).pipe(Effect.provide(logLayer('error'))));
    if (Either.isRight(result)) process.exit(process.exitCode ?? 0);
    const { line, status } = failureExit(result.left);
    processIo.printDiagnostic(line);
    process.exit(status);
  },
};

/** Adds the options `--state` and `--config` to a command that uses the shared state. */
export const stateOptions = (command: Command): Command =>
  command
    .option('--state <host:port>', 'address of the state service')
    .option(
      '--config <file>',
      "the platform's settings file (TOML), which has the address and the limits of the state service",
    );
