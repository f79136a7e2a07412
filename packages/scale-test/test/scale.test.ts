/** Tests a small scale run with the built controller, and the validation of the flags. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { serveParent } from '../src/child.js';
import { deployedFlags } from '../src/controllers.js';
import { CHILD_ENVIRONMENT_KEY } from '../src/messages.js';
import { validateFlags } from '../src/flag-validation.js';
import { asJson, asTable } from '../src/report.js';
import { describeExceededLimit } from '../src/resource-guard.js';
import type { RunOptions } from '../src/run-model.js';
import { ScaleRun } from '../src/scale-run.js';

const SMALL_RUN: RunOptions = {
  machines: 10,
  slots: 4,
  zones: ['zone-0', 'zone-1'],
  teams: 4,
  starts: 5,
  runS: 3,
  tasks: 12,
  gangs: 0.2,
  urgent: 0.2,
  accelerated: 0,
  cancelled: 0.1,
  teamLimit: 0.6,
  controllers: 3,
  reportS: 1,
  leaseS: 8,
  cancelS: 25,
  requestsPerS: 180,
  writesPerS: 60,
  valueKb: 32,
  transactionOps: 24,
  cores: 1,
  memoryMb: 350,
  connections: 500,
  workersPerProcess: 5,
  warmupS: 12,
  lengthS: 15,
  seed: 1,
  fault: 'kill-leader',
  program: 'target/main.cjs',
  flags: deployedFlags('deploy/service.toml'),
  logLevel: 'error',
  resourceLimits: { memoryMb: 4000, processes: 20 },
};

const defineTests = (): void => {
  test('a small run continues after its leader is killed and violates no rule', async () => {
    const result = await new ScaleRun(SMALL_RUN, __filename, () => undefined).play();
    assert.deepEqual(result.violations, []);
    assert.deepEqual(result.unexpectedEnds, []);
    assert.equal(result.state.rejected, 0, 'no transaction exceeds a limit of the state service');
    assert.equal(result.stopped, null);
    assert.ok(result.startsPerS > 1, `${result.startsPerS} starts a second`);
    assert.ok(result.users.done > 0, 'at least one job is done');
    assert.ok(result.workers.counters.renewed > 0);
    assert.ok(result.workerBytesPerS.median > 50);
    assert.equal(result.roles.length, 5);
    assert.match(asTable(result), /rules broken +none/);
    assert.equal((JSON.parse(asJson(result)) as { machines: number }).machines, result.machines);
  });

  test('invalid flags, too few sockets and too many processes are rejected with a reason', () => {
    assert.equal(validateFlags(SMALL_RUN, 20_000), null);
    assert.match(
      validateFlags({ ...SMALL_RUN, gangs: 0.9, urgent: 0.2 }, 20_000)!,
      /the sum of --gangs, --urgent and --accelerated is more than 1/,
    );
    assert.match(
      validateFlags({ ...SMALL_RUN, machines: 5000, workersPerProcess: 5000 }, 1024)!,
      /need 10100 sockets/,
    );
    assert.match(
      validateFlags({ ...SMALL_RUN, machines: 5000, workersPerProcess: 10 }, 20_000)!,
      /processes, at most 300 are allowed/,
    );
    const limits = { memoryMb: 100, processes: 3 };
    assert.equal(describeExceededLimit({ memoryMb: 100, processes: 3 }, limits), null);
    assert.match(describeExceededLimit({ memoryMb: 101, processes: 3 }, limits)!, /101 MB/);
    assert.match(describeExceededLimit({ memoryMb: 1, processes: 4 }, limits)!, /4 processes/);
  });
};

// Child processes with the hollow workers and the state service run this same file.
if (process.env[CHILD_ENVIRONMENT_KEY] === undefined) defineTests();
else serveParent();
