/** Entry point of the controller: command line, settings, wiring and orderly shutdown. */
import { Command, InvalidArgumentError } from 'commander';
import { Effect, Either, Fiber } from 'effect';
import { DiskFiles } from '@lilacvalve/snapshot/files';
import { parseAddress } from '@lilacvalve/runtime/http-client';
import { serve } from '@lilacvalve/runtime/http-server';
import { serveLinks } from '@lilacvalve/runtime/link';
import { error, info, logLayer } from '@lilacvalve/runtime/log';
import { micros, monotonicNow, seconds } from '@lilacvalve/runtime/micros';
import { CloudClient } from './provisioning/cloud.js';
import { Links } from './links.js';
import { createController } from './controller.js';
import { heapStatistics, memoryUsageRatio } from './overload/memory.js';
import { readSettings, type Settings } from './settings/settings.js';
import { StateStore } from './state-store/client.js';
import { WorkerClient } from './workers/worker-client.js';

const version = process.env.LILACVALVE_VERSION ?? 'unbuilt';

const program = (settings: Settings, { snapshots, balance }: { snapshots?: string; balance?: number }) =>
  Effect.scoped(
    Effect.gen(function* () {
      const links = new Links();
      const controller = createController(settings, {
        store: new StateStore(settings),
        cloud: new CloudClient(settings),
        workers: new WorkerClient(settings),
        peers: links,
        views: links,
        relay: links,
        clock: monotonicNow,
        dayTime: () => micros(Date.now() * 1000),
        memory: () => memoryUsageRatio(heapStatistics(), settings.limits.memoryMb),
        snapshots: snapshots === undefined ? null : new DiskFiles(snapshots),
        ...(balance === undefined ? {} : { balance: seconds(balance) }),
      });
      const maxConnections = settings.limits.maxConnections;
      yield* serve(parseAddress(settings.listen), Math.floor(maxConnections * 0.8), controller.handle, {
        fastPath: controller.quick,
      });
      const peerSockets = Math.max(16, Math.floor(maxConnections * 0.05));
      yield* serveLinks(
        parseAddress(settings.peerListen),
        peerSockets,
        controller.handlePeer,
        controller.quickPeer,
      );
      yield* info('listening', { node: settings.label, listen: settings.listen, version });
      yield* Effect.addFinalizer(() => controller.leadership.release);
      yield* controller.run;
    }),
  );

const cli = new Command()
  .name('lilacvalve')
  .description('Controller of the lilacvalve cluster scheduler')
  .version(version)
  .requiredOption('--config <file>', "the platform's settings file (TOML)")
  .option('--snapshots <dir>', 'keep snapshots of the state service in this directory, and rebuild from them')
  .option(
    '--balance <seconds>',
    'prefer teams by the fair share owed to them, with this half-life of the owed amount',
    (text) => {
      const halfLife = Number(text);
      if (!Number.isFinite(halfLife) || halfLife < 60)
        throw new InvalidArgumentError(`expected at least 60 seconds, got ${JSON.stringify(text)}`);
      return halfLife;
    },
  )
  .option('--check', 'only check the settings file, then exit')
  .showHelpAfterError(false)
  .parse();

const options = cli.opts<{ config: string; check?: boolean; snapshots?: string; balance?: number }>();
const settings = readSettings(options.config);
if (Either.isLeft(settings)) {
  process.stderr.write(`settings: ${settings.left}\n`);
  process.exit(2);
}
if (options.check === true) {
  process.stdout.write('settings ok\n');
  process.exit(0);
}

const level = process.env.LOG_LEVEL;
if (level !== undefined && !['error', 'info', 'debug'].includes(level)) {
  process.stderr.write(`LOG_LEVEL: must be error, info or debug, not ${JSON.stringify(level)}\n`);
  process.exit(2);
}

const main = Effect.runFork(
  program(settings.right, options).pipe(
    Effect.catchAllCause((cause) =>
      error('process exited', { reason: String(cause) }).pipe(Effect.as('failed' as const)),
    ),
    Effect.provide(logLayer(level)),
  ),
);
main.addObserver((exit) => {
  process.exit(exit._tag === 'Success' && exit.value !== 'failed' ? 0 : 1);
});
const stop = () => Effect.runFork(Fiber.interrupt(main));
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
