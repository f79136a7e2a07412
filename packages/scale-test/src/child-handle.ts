/** The parent process's handle of a child process. */
import { type ChildProcess, fork } from 'node:child_process';
import { CHILD_ENVIRONMENT_KEY, type ChildSetup, type FromChild, type ToChild } from './messages.js';

/** The kind of a message from a child process. */
export type FromChildKind = FromChild['kind'];

/** Forks a child process, which exits after `end` or with its parent. */
export class ChildHandle {
  private readonly process: ChildProcess;
  private readonly waitersByKind = new Map<FromChildKind, ((message: FromChild) => void)[]>();
  /** Receives the messages that are not a response to a request. */
  onMessage: (message: FromChild) => void = () => undefined;

  constructor(program: string) {
    this.process = fork(program, [], {
      env: { ...process.env, [CHILD_ENVIRONMENT_KEY]: '1' },
      serialization: 'advanced',
      execArgv: [],
    });
    this.process.on('message', (message) => this.receive(message as FromChild));
  }

  get pid(): number {
    return this.process.pid ?? 0;
  }

  /**
   * Sends the setup message and waits until the child is ready. Returns the address of its server; null if it has none.
   */
  async setUp(setup: ChildSetup): Promise<string | null> {
    const ready = this.nextOfKind('ready');
    this.send({ kind: 'setup', setup });
    return (await ready).address;
  }

  send(message: ToChild): void {
    if (this.process.connected) this.process.send(message);
  }

  /** Sends a message and returns the response, which is the next message of the given kind. */
  async request<K extends FromChildKind>(
    message: ToChild,
    kind: K,
  ): Promise<Extract<FromChild, { readonly kind: K }>> {
    const response = this.nextOfKind(kind);
    this.send(message);
    return response;
  }

  end(): void {
    this.send({ kind: 'end' });
  }

  private nextOfKind<K extends FromChildKind>(kind: K): Promise<Extract<FromChild, { readonly kind: K }>> {
    return new Promise((resolve) => {
      const waiters = this.waitersByKind.get(kind) ?? [];
      waiters.push((message) => resolve(message as Extract<FromChild, { readonly kind: K }>));
      this.waitersByKind.set(kind, waiters);
    });
  }

  private receive(message: FromChild): void {
    const waiter = this.waitersByKind.get(message.kind)?.shift();
    if (waiter === undefined) this.onMessage(message);
    else waiter(message);
  }
}
