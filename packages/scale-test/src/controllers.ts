/** The real controller processes of a run: their settings files, their starts and ends, and what they spend. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import * as net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse, stringify } from 'smol-toml';
import type { ControllerAddress, Timing } from './model.js';
import { type ProcessUsage, usageOf } from './process-usage.js';

/** A team as the settings files name it: without guarantees and limits. */
export interface TeamOfSettings {
  readonly name: string;
}
/** A team with what it is guaranteed of CPUs and GPUs and what it may use of them at most. */
export interface LimitedTeamOfSettings extends TeamOfSettings {
  readonly cpus: number;
  readonly cpus_max: number;
  readonly gpus: number;
  readonly gpus_max: number;
}
export interface ObjectiveOfSettings {
  readonly kind: string;
  readonly class: string;
  readonly within_s: number;
  readonly share: number;
}
/** What the settings files say, beside addresses. */
export interface ClusterSettings {
  readonly cloud: string;
  readonly state: string;
  readonly zones: readonly string[];
  readonly teams: readonly TeamOfSettings[];
  readonly objectives: readonly ObjectiveOfSettings[];
  readonly timing: Timing;
  readonly requestsPerS: number;
  readonly writesPerS: number;
  readonly valueKb: number;
  readonly transactionOps: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly connections: number;
}

const CLOUD_CALLS_PER_S = 12;
const CLOUD_LIST_LAG_S = 4;
const SKEW_MS = 5;

/** TOML writes a whole number as an integer; the platform writes amounts as decimals, which are read alike. */
export const settingsText = (
  self: ControllerAddress,
  all: readonly ControllerAddress[],
  s: ClusterSettings,
): string =>
  stringify({
    label: self.label,
    zone: self.zone,
    listen: self.listen,
    cluster_listen: self.peer,
    others: all.filter((c) => c !== self).map((c) => ({ label: c.label, zone: c.zone, peer_addr: c.peer })),
    services: { cloud: s.cloud, state: s.state },
    cluster: {
      nodes: all.length,
      zones: s.zones,
      skew_ms: SKEW_MS,
      teams: s.teams,
      objectives: s.objectives,
      workers: {
        report_s: s.timing.reportMs / 1000,
        lease_s: s.timing.leaseMs / 1000,
        gang_wait_s: s.timing.gangWaitMs / 1000,
        gang_peer_s: s.timing.gangPeerMs / 1000,
        cancel_s: s.timing.cancelMs / 1000,
      },
      state: {
        rps: s.requestsPerS,
        write_rps: s.writesPerS,
        value_kb: s.valueKb,
        txn_ops: s.transactionOps,
      },
      cloud: { rps: CLOUD_CALLS_PER_S, list_lag_s: CLOUD_LIST_LAG_S },
      machine_limits: {
        cores: s.cores,
        memory_mb: s.memoryMb,
        max_connections: s.connections,
      },
    },
  });

/** Below the ports that systems give to outgoing connections: a hollow worker's must not take a controller's. */
const PORTS = { from: 12_000, to: 32_000 };

const isFree = (port: number): Promise<boolean> =>
  new Promise((done) => {
    const server = net.createServer();
    server.on('error', () => done(false));
    server.listen(port, '127.0.0.1', () => server.close(() => done(true)));
  });

/** Ports that nobody listens on, other ones in each run at the same time. */
const freePorts = async (count: number): Promise<number[]> => {
  const out: number[] = [];
  const span = PORTS.to - PORTS.from;
  for (let port = PORTS.from + ((process.pid * 61) % span); out.length < count; port++) {
    const candidate = PORTS.from + ((port - PORTS.from) % span);
    if (await isFree(candidate)) out.push(candidate);
  }
  return out;
};

/** So many controllers, in the zones by turns. */
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

/** The interpreter's flags with which a platform starts the program: they decide as much as the code does. */
export const deployedFlags = (deployFile: string): string[] => {
  const { run } = parse(readFileSync(deployFile, 'utf8')) as { run: string };
  const words = run.split(' ');
  return words.slice(
    1,
    words.findIndex((word) => word.startsWith('target/')),
  );
};

export interface ControllerOptions {
  readonly program: string;
  readonly flags: readonly string[];
  readonly logLevel: string;
  /** Where processor profiles are written; undefined: none are. */
  readonly profileDir?: string;
  readonly arguments?: readonly string[];
  /** A controller has ended without having been told to. */
  readonly onUnexpectedEnd: (label: string, code: number | null) => void;
}

export class ControllerProcess {
  private process: ChildProcess | null = null;
  private readonly file: string;
  private ending = false;

  constructor(
    readonly address: ControllerAddress,
    settings: string,
    directory: string,
    private readonly options: ControllerOptions,
  ) {
    this.file = join(directory, `${address.label}.toml`);
    writeFileSync(this.file, settings);
  }

  get isUp(): boolean {
    return this.process !== null;
  }

  get pid(): number | null {
    return this.process?.pid ?? null;
  }

  start(): void {
    const { program, flags, profileDir, logLevel } = this.options;
    const { label } = this.address;
    const profile =
      profileDir === undefined
        ? []
        : ['--cpu-prof', `--cpu-prof-dir=${profileDir}`, `--cpu-prof-name=${label}.cpuprofile`];
    const args = [...profile, ...flags, program, ...(this.options.arguments ?? []), '--config', this.file];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: { ...process.env, LOG_LEVEL: logLevel },
    });
    this.ending = false;
    this.process = child;
    child.on('exit', (code) => {
      if (this.process !== child) return;
      this.process = null;
      if (!this.ending) this.options.onUnexpectedEnd(label, code);
    });
  }

  kill(signal: NodeJS.Signals): void {
    this.ending = true;
    this.process?.kill(signal);
  }

  /** It has ended; it is killed where that takes too long. */
  async ended(withinMs: number): Promise<void> {
    const child = this.process;
    if (child === null) return;
    const over = new Promise<void>((done) => child.once('exit', () => done()));
    const late = setTimeout(() => child.kill('SIGKILL'), withinMs);
    await over;
    clearTimeout(late);
  }

  usage(): ProcessUsage | null {
    return this.pid === null ? null : usageOf(this.pid);
  }
}

/** A directory for the settings files of one run. */
export const settingsDirectory = (): string => mkdtempSync(join(tmpdir(), 'scale-'));
