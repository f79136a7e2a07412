/** All that a scale run starts: the cloud, the state service, hollow workers in processes, and the real controllers. */
import { ChildHandle } from './child-handle.js';
import { Cloud } from './cloud.js';
import { controllerAddresses, ControllerProcess, settingsDirectory, settingsText } from './controllers.js';
import { HttpConnection } from './http-connection.js';
import { type JsonServer, serveJson } from './json-server.js';
import type { FromChild } from './messages.js';
import type { ControllerAddress, MachineDescription, MachineKind, Timing, WorkerCommand } from './model.js';
import type { Random } from './random.js';
import type { RunOptions } from './run-model.js';
import type { StateCounts } from './state-service.js';
import { mergeFigures, type WorkerFigures } from './worker-figures.js';
import { machineKinds, objectives, teamSettings } from './workload.js';

const BOOT_MS = 2000;
/** A controller that has ended is started again after so long, as a platform does. */
const CONTROLLER_BACK_MS = 6000;
const STOP_WITHIN_MS = 8000;
const LEADER_ANSWER_WITHIN_MS = 2000;
/** The leader lease in the state service. */
const LEADER_KEY = 's/leader';

/** What a cluster is made of and whom it tells. */
export interface TestClusterParts {
  readonly options: RunOptions;
  readonly timing: Timing;
  readonly random: Random;
  /** The program that serves this process as a child: hollow workers, or the state service. */
  readonly childProgram: string;
  /** Messages of the hollow workers' processes that answer no question. */
  readonly onWorkerMessage: (message: FromChild) => void;
}

/** Started once and ended once; what has been started is ended even if a later start failed. */
export class TestCluster {
  readonly unexpectedEnds: string[] = [];
  private readonly kinds: readonly MachineKind[];
  private readonly cloud: Cloud;
  private readonly machines = new Map<string, MachineDescription>();
  private readonly hostOf = new Map<string, ChildHandle>();
  private readonly state: ChildHandle;
  private readonly workers: readonly ChildHandle[];
  private controllers: readonly ControllerProcess[] = [];
  private cloudServer: JsonServer | null = null;
  private stateAddress = '';
  private leaderLabel: string | null = null;
  private ending = false;

  constructor(private readonly parts: TestClusterParts) {
    const { options, random, childProgram } = parts;
    this.kinds = machineKinds(options);
    this.cloud = new Cloud({
      kinds: this.kinds,
      bootMs: BOOT_MS,
      random,
      up: (machine) => this.machineUp(machine),
      down: (id) => this.hostOf.get(id)?.send({ kind: 'command', command: { kind: 'machine-down', id } }),
    });
    this.state = new ChildHandle(childProgram);
    const groups = Math.ceil(options.machines / options.workersPerProcess);
    this.workers = Array.from({ length: groups }, () => new ChildHandle(childProgram));
  }

  /** Machines that are rented. */
  get size(): number {
    return this.cloud.size;
  }

  get cloudCalls(): number {
    return this.cloud.calls;
  }

  /** A machine that is up, or was. */
  machine(id: string): MachineDescription | undefined {
    return this.machines.get(id);
  }

  isControllerUp(label: string): boolean {
    return this.controllers.find((controller) => controller.address.label === label)?.isUp === true;
  }

  /** Starts everything, the controllers last; returns where they listen. */
  async start(): Promise<readonly ControllerAddress[]> {
    const { options } = this.parts;
    const addresses = await controllerAddresses(options.controllers, options.zones);
    this.cloudServer = await serveJson((request, respond) => this.cloud.handle(request, respond));
    const { requestsPerS, writesPerS } = options;
    this.stateAddress =
      (await this.state.setUp({ role: 'state', limits: { requestsPerS, writesPerS } })) ?? '';
    await Promise.all(this.workers.map((child, i) => this.setUpWorkers(child, i, addresses)));
    this.controllers = this.controllersAt(addresses, this.cloudServer.address);
    for (const controller of this.controllers) controller.start();
    return addresses;
  }

  /** Tells all hollow workers. */
  broadcast(command: WorkerCommand): void {
    for (const child of this.workers) child.send({ kind: 'command', command });
  }

  /** The hollow workers count from here on. */
  resetFigures(): void {
    for (const child of this.workers) child.send({ kind: 'reset' });
  }

  /** What the hollow workers have counted. */
  async workerFigures(): Promise<WorkerFigures> {
    const answers = await Promise.all(
      this.workers.map((child) => child.ask({ kind: 'figures' }, 'workers-figures')),
    );
    return mergeFigures(answers.map(({ figures }) => figures));
  }

  /** What the state service has counted since its start. */
  async stateCounts(): Promise<StateCounts> {
    return (await this.state.ask({ kind: 'figures' }, 'state-figures')).counts;
  }

  /** Processes by role; the leader is the one that was last looked for. */
  pidsByRole(): Map<string, number[]> {
    const pidsOf = (isLeader: boolean): number[] =>
      this.controllers.flatMap(({ address, pid }) =>
        pid === null || (address.label === this.leaderLabel) !== isLeader ? [] : [pid],
      );
    return new Map([
      ['leading controller', pidsOf(true)],
      ['other controllers', pidsOf(false)],
      ['hollow workers', this.workers.map((child) => child.pid)],
      ['state service', [this.state.pid]],
      ['users, cloud, checks', [process.pid]],
    ]);
  }

  /** All processes of the run. */
  pids(): number[] {
    return [...this.pidsByRole().values()].flat();
  }

  /** Reads who holds the leader lease; without an answer the former leader stays. */
  async lookForLeader(): Promise<void> {
    const connection = new HttpConnection();
    const path = `/kv/${LEADER_KEY}`;
    const reply = await connection.request(this.stateAddress, 'GET', path, '', LEADER_ANSWER_WITHIN_MS);
    connection.close();
    if (reply?.status !== 200) return;
    this.leaderLabel = (JSON.parse(reply.body) as { value: { node: string } }).value.node;
  }

  /** Kills the leader with SIGKILL; it is started again after a while. */
  async killLeader(): Promise<void> {
    await this.lookForLeader();
    const leader = this.controllers.find(({ address }) => address.label === this.leaderLabel);
    if (leader === undefined) return;
    leader.kill('SIGKILL');
    await leader.ended(STOP_WITHIN_MS);
    this.startLater(leader);
  }

  /** Ends all processes; resolves once the controllers are gone. */
  async end(): Promise<void> {
    this.ending = true;
    for (const controller of this.controllers) controller.kill('SIGTERM');
    await Promise.all(this.controllers.map((controller) => controller.ended(STOP_WITHIN_MS)));
    this.cloud.end();
    this.cloudServer?.close();
    for (const child of [...this.workers, this.state]) child.end();
  }

  private setUpWorkers(
    child: ChildHandle,
    index: number,
    controllers: readonly ControllerAddress[],
  ): Promise<string | null> {
    const { options, timing, onWorkerMessage } = this.parts;
    child.onMessage = onWorkerMessage;
    const seed = options.seed + index + 1;
    return child.setUp({ role: 'workers', kinds: this.kinds, controllers, timing, seed });
  }

  private controllersAt(addresses: readonly ControllerAddress[], cloud: string): ControllerProcess[] {
    const { options, timing } = this.parts;
    const settings = {
      cloud,
      state: this.stateAddress,
      zones: options.zones,
      teams: teamSettings(options),
      objectives: objectives(),
      timing,
      limits: options,
    };
    const directory = settingsDirectory();
    return addresses.map(
      (address) =>
        new ControllerProcess(address, settingsText(address, addresses, settings), directory, {
          program: options.program,
          flags: options.flags,
          logLevel: options.logLevel,
          ...(options.profileDir === undefined ? {} : { profileDir: options.profileDir }),
          onUnexpectedEnd: (label, code) => this.endedByItself(label, code),
        }),
    );
  }

  private endedByItself(label: string, code: number | null): void {
    this.unexpectedEnds.push(`${label} ended with status ${code}`);
    const controller = this.controllers.find(({ address }) => address.label === label);
    if (controller !== undefined) this.startLater(controller);
  }

  private startLater(controller: ControllerProcess): void {
    setTimeout(() => {
      if (!this.ending) controller.start();
    }, CONTROLLER_BACK_MS);
  }

  private machineUp(machine: MachineDescription): void {
    this.machines.set(machine.id, machine);
    const host = this.workers[this.machines.size % this.workers.length]!;
    this.hostOf.set(machine.id, host);
    host.send({ kind: 'command', command: { kind: 'machine-up', machine } });
  }
}
