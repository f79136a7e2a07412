/** The real controller processes of a run: settings files, addresses, starting and stopping. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import * as net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse, stringify } from 'smol-toml';
import type { ControllerAddress, Timing } from './model.js';

/** A team in the settings file, without guarantees and limits. */
export interface TeamSettings {
  readonly name: string;
}
/** A team in the settings file, with its guaranteed and maximum numbers of CPUs and GPUs. */
export interface LimitedTeamSettings extends TeamSettings {
  readonly cpus: number;
  readonly cpus_max: number;
  readonly gpus: number;
  readonly gpus_max: number;
}
/** A service-level objective in the settings file. */
export interface ObjectiveSettings {
  readonly kind: string;
  readonly class: string;
  readonly within_s: number;
  readonly share: number;
}
/** Rate and size limits of the state service, and resource limits of each controller. */
export interface ClusterLimits {
  readonly requestsPerS: number;
  readonly writesPerS: number;
  readonly valueKb: number;
  readonly transactionOps: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly connections: number;
}
/** Settings that all controllers of a run share, apart from their addresses. */
export interface ClusterSettings {
  readonly cloud: string;
  readonly state: string;
  readonly zones: readonly string[];
  readonly teams: readonly TeamSettings[];
  readonly objectives: readonly ObjectiveSettings[];
  readonly timing: Timing;
  readonly limits: ClusterLimits;
}

const CLOUD_CALLS_PER_S = 12;
const CLOUD_LIST_LAG_S = 4;
const MAX_CLOCK_SKEW_MS = 5;

/**
 * Returns the settings file of one controller. Whole numbers are written as TOML integers; the deployment platform
 * writes decimals, which controllers read the same way.
 */
export const settingsText = (
  self: ControllerAddress,
  all: readonly ControllerAddress[],
  { cloud, state, zones, teams, objectives, timing, limits }: ClusterSettings,
): string =>
  stringify({
    label: self.label,
    zone: self.zone,
    listen: self.listen,
    cluster_listen: self.peer,
    others: all
      .filter((other) => other !== self)
      .map(({ label, zone, peer }) => ({ label, zone, peer_addr: peer })),
    services: { cloud, state },
    cluster: {
      nodes: all.length,
      zones,
      skew_ms: MAX_CLOCK_SKEW_MS,
      teams,
      objectives,
      workers: {
        report_s: timing.reportMs / 1000,
        lease_s: timing.leaseMs / 1000,
        gang_wait_s: timing.gangWaitMs / 1000,
        gang_peer_s: timing.gangPeerMs / 1000,
        cancel_s: timing.cancelMs / 1000,
      },
      state: {
        rps: limits.requestsPerS,
        write_rps: limits.writesPerS,
        value_kb: limits.valueKb,
        txn_ops: limits.transactionOps,
      },
      cloud: { rps: CLOUD_CALLS_PER_S, list_lag_s: CLOUD_LIST_LAG_S },
      machine_limits: {
        cores: limits.cores,
        memory_mb: limits.memoryMb,
        max_connections: limits.connections,
      },
    },
  });

/**
 * Port range below the ephemeral ports, so that an outgoing connection of a hollow worker cannot occupy a controller's
 * port.
 */
const PORT_RANGE = { from: 12_000, to: 32_000 };

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.on('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/**
 * Returns free ports. The search starts at a port that depends on the process id, so that concurrent runs get different
 * ones.
 */
const freePorts = async (count: number): Promise<number[]> => {
  const ports: number[] = [];
  const span = PORT_RANGE.to - PORT_RANGE.from;
  for (let port = PORT_RANGE.from + ((process.pid * 61) % span); ports.length < count; port++) {
    const candidate = PORT_RANGE.from + ((port - PORT_RANGE.from) % span);
    if (await isFree(candidate)) ports.push(candidate);
  }
  return ports;
};

/** Returns the addresses of `count` controllers, assigned to the zones round-robin. */
export const controllerAddresses = async (
  count: number,
  zones: readonly string[],
): Promise<ControllerAddress[]> => {
  const ports = await freePorts(count * 2);
  return Array.from({ length: count }, (_, i) => ({
    label: `node-${i}`,
    zone: zones[i % zones.length]!,
    listen: `127.0.0.1:${ports[2 * i]!}`,
    peer: `127.0.0.1:${ports[2 * i + 1]!}`,
  }));
};

/**
 * Returns the interpreter flags from the deploy file: they affect the controllers' CPU time and memory as much as the
 * code does.
 */
export const deployedFlags = (deployFile: string): string[] => {
  const { run } = parse(readFileSync(deployFile, 'utf8')) as { run: string };
  const commandWords = run.split(' ');
  return commandWords.slice(
    1,
    commandWords.findIndex((word) => word.startsWith('target/')),
  );
};

/** Options of a controller process. */
export interface ControllerOptions {
  readonly program: string;
  readonly flags: readonly string[];
  readonly logLevel: string;
  /** Directory for CPU profiles; undefined: no profiles are written. */
  readonly profileDir?: string;
  /** Arguments of the program before its settings file. */
  readonly arguments?: readonly string[];
  /** Called when a controller has exited although it was not killed. */
  readonly onUnexpectedExit: (label: string, code: number | null) => void;
}

/** A controller process that can be started, killed and restarted. */
export class ControllerProcess {
  private process: ChildProcess | null = null;
  private readonly settingsFile: string;
  private exitExpected = false;

  constructor(
    readonly address: ControllerAddress,
    settings: string,
    directory: string,
    private readonly options: ControllerOptions,
  ) {
    this.settingsFile = join(directory, `${address.label}.toml`);
    writeFileSync(this.settingsFile, settings);
  }

  get isUp(): boolean {
    return this.process !== null;
  }

  get pid(): number | null {
    return this.process?.pid ?? null;
  }

  /** Starts the controller. The exit of its previous process, if still running, is no longer reported. */
  start(): void {
    const { program, flags, profileDir, logLevel } = this.options;
    const { label } = this.address;
    const profile =
      profileDir === undefined
        ? []
        : ['--cpu-prof', `--cpu-prof-dir=${profileDir}`, `--cpu-prof-name=${label}.cpuprofile`];
    const args = [
      ...profile,
      ...flags,
      program,
      ...(this.options.arguments ?? []),
      '--config',
      this.settingsFile,
    ];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: { ...process.env, LOG_LEVEL: logLevel },
    });
    this.exitExpected = false;
    this.process = child;
    child.on('exit', (code) => {
      if (this.process !== child) return;
      this.process = null;
      if (!this.exitExpected) this.options.onUnexpectedExit(label, code);
    });
  }

  /** Sends a signal; the exit of the process is expected from now on. */
  kill(signal: NodeJS.Signals): void {
    this.exitExpected = true;
    this.process?.kill(signal);
  }

  /** Resolves once the process has exited; it is killed with SIGKILL after `timeoutMs`. */
  async waitForExit(timeoutMs: number): Promise<void> {
    const child = this.process;
    if (child === null) return;
    const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()));
    const killTimer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
    await exited;
    clearTimeout(killTimer);
  }
}

/** Creates a temporary directory for the settings files of one run. */
export const settingsDirectory = (): string => mkdtempSync(join(tmpdir(), 'scale-'));
