/** The processes and servers of a scale run: cloud, state service, hollow workers and real controllers. */
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
/** Delay before an exited controller is restarted, similar to the restart delay of a deployment platform. */
const CONTROLLER_RESTART_DELAY_MS = 6000;
const STOP_TIMEOUT_MS = 8000;
const LEADER_RESPONSE_TIMEOUT_MS = 2000;
/** Key of the leader lease in the state service. */
const LEADER_KEY = 's/leader';

/** Options and callbacks of a test cluster. */
export interface TestClusterDependencies {
  readonly options: RunOptions;
  readonly timing: Timing;
  readonly random: Random;
  /** Program file that is forked as a child process to run hollow workers or the state service. */
  readonly childProgram: string;
  /** Receives messages from the hollow workers' processes that are not responses to a request. */
  readonly onWorkerMessage: (message: FromChild) => void;
}

/** A cluster that is started and ended once. `end` also stops what was started before a failed `start`. */
export class TestCluster {
  readonly unexpectedEnds: string[] = [];
  private readonly kinds: readonly MachineKind[];
  private readonly cloud: Cloud;
  private readonly machines = new Map<string, MachineDescription>();
  private readonly processByMachine = new Map<string, ChildHandle>();
  private readonly state: ChildHandle;
  private readonly workers: readonly ChildHandle[];
  private controllers: readonly ControllerProcess[] = [];
  private cloudServer: JsonServer | null = null;
  private stateAddress = '';
  private leaderLabel: string | null = null;
  private ending = false;

  constructor(private readonly dependencies: TestClusterDependencies) {
    const { options, random, childProgram } = dependencies;
    this.kinds = machineKinds(options);
    this.cloud = new Cloud({
      kinds: this.kinds,
      bootMs: BOOT_MS,
      random,
      onMachineUp: (machine) => this.handleMachineUp(machine),
      onMachineDown: (id) =>
        this.processByMachine.get(id)?.send({ kind: 'command', command: { kind: 'machine-down', id } }),
    });
    this.state = new ChildHandle(childProgram);
    const groups = Math.ceil(options.machines / options.workersPerProcess);
    this.workers = Array.from({ length: groups }, () => new ChildHandle(childProgram));
  }

  /** Number of rented machines. */
  get size(): number {
    return this.cloud.size;
  }

  get cloudCalls(): number {
    return this.cloud.calls;
  }

  /** Returns a machine that is or was running; undefined if no machine with this id has booted. */
  machine(id: string): MachineDescription | undefined {
    return this.machines.get(id);
  }

  isControllerUp(label: string): boolean {
    return this.controllers.find((controller) => controller.address.label === label)?.isUp === true;
  }

  /** Starts all processes, the controllers last, and returns the controllers' addresses. */
  async start(): Promise<readonly ControllerAddress[]> {
    const { options } = this.dependencies;
    const addresses = await controllerAddresses(options.controllers, options.zones);
    this.cloudServer = await serveJson((request, respond) => this.cloud.handle(request, respond));
    const { requestsPerS, writesPerS, valueKb, transactionOps } = options;
    const limits = { requestsPerS, writesPerS, valueKb, transactionOps };
    this.stateAddress = (await this.state.setUp({ role: 'state', limits })) ?? '';
    await Promise.all(this.workers.map((child, i) => this.setUpWorkers(child, i, addresses)));
    this.controllers = this.createControllers(addresses, this.cloudServer.address);
    for (const controller of this.controllers) controller.start();
    return addresses;
  }

  /** Sends a command to all processes of hollow workers. */
  broadcast(command: WorkerCommand): void {
    for (const child of this.workers) child.send({ kind: 'command', command });
  }

  /** Resets the counters of all hollow workers. */
  resetFigures(): void {
    for (const child of this.workers) child.send({ kind: 'reset' });
  }

  /** Returns the merged figures of all hollow workers since the last reset. */
  async workerFigures(): Promise<WorkerFigures> {
    const responses = await Promise.all(
      this.workers.map((child) => child.request({ kind: 'figures' }, 'workers-figures')),
    );
    return mergeFigures(responses.map(({ figures }) => figures));
  }

  /** Returns the counters of the state service since its start. */
  async stateCounts(): Promise<StateCounts> {
    return (await this.state.request({ kind: 'figures' }, 'state-figures')).counts;
  }

  /** Process ids by role. The leader is the one found by the last `readLeader`. */
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

  /** Process ids of the whole run. */
  pids(): number[] {
    return [...this.pidsByRole().values()].flat();
  }

  /** Reads the holder of the leader lease from the state service. Without a response the previous leader is kept. */
  async readLeader(): Promise<void> {
    const connection = new HttpConnection();
    const path = `/kv/${LEADER_KEY}`;
    const response = await connection.request(this.stateAddress, 'GET', path, '', LEADER_RESPONSE_TIMEOUT_MS);
    connection.close();
    if (response?.status !== 200) return;
    this.leaderLabel = (JSON.parse(response.body) as { value: { node: string } }).value.node;
  }

  /** Kills the leader with SIGKILL and schedules its restart. */
  async killLeader(): Promise<void> {
    await this.readLeader();
    const leader = this.controllers.find(({ address }) => address.label === this.leaderLabel);
    if (leader === undefined) return;
    leader.kill('SIGKILL');
    await leader.waitForExit(STOP_TIMEOUT_MS);
    this.scheduleRestart(leader);
  }

  /** Stops all processes; resolves once the controllers have exited. */
  async end(): Promise<void> {
    this.ending = true;
    for (const controller of this.controllers) controller.kill('SIGTERM');
    await Promise.all(this.controllers.map((controller) => controller.waitForExit(STOP_TIMEOUT_MS)));
    this.cloud.end();
    this.cloudServer?.close();
    for (const child of [...this.workers, this.state]) child.end();
  }

  private setUpWorkers(
    child: ChildHandle,
    index: number,
    controllers: readonly ControllerAddress[],
  ): Promise<string | null> {
    const { options, timing, onWorkerMessage } = this.dependencies;
    child.onMessage = onWorkerMessage;
    const seed = options.seed + index + 1;
    return child.setUp({ role: 'workers', kinds: this.kinds, controllers, timing, seed });
  }

  private createControllers(addresses: readonly ControllerAddress[], cloud: string): ControllerProcess[] {
    const { options, timing } = this.dependencies;
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
          onUnexpectedExit: (label, code) => this.handleUnexpectedExit(label, code),
        }),
    );
  }

  private handleUnexpectedExit(label: string, code: number | null): void {
    this.unexpectedEnds.push(`${label} exited unexpectedly with status ${code}`);
    const controller = this.controllers.find(({ address }) => address.label === label);
    if (controller !== undefined) this.scheduleRestart(controller);
  }

  private scheduleRestart(controller: ControllerProcess): void {
    setTimeout(() => {
      if (!this.ending) controller.start();
    }, CONTROLLER_RESTART_DELAY_MS);
  }

  private handleMachineUp(machine: MachineDescription): void {
    this.machines.set(machine.id, machine);
    const child = this.workers[this.machines.size % this.workers.length]!;
    this.processByMachine.set(machine.id, child);
    child.send({ kind: 'command', command: { kind: 'machine-up', machine } });
  }
}
