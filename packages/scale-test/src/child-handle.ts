/** The parent's end of a child process of a run. */
import { type ChildProcess, fork } from 'node:child_process';
import { CHILD_ENVIRONMENT_KEY, type ChildSetup, type FromChild, type ToChild } from './messages.js';

/** Kinds of messages of children. */
export type FromChildKind = FromChild['kind'];

/** Forks its process at construction; the process ends with `end`, or with its parent. */
export class ChildHandle {
  private readonly process: ChildProcess;
  private readonly waiting = new Map<FromChildKind, ((message: FromChild) => void)[]>();
  /** Messages that nobody waits for. */
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

  /** Its first message: it is ready. */
  async setUp(setup: ChildSetup): Promise<string | null> {
    const ready = this.next('ready');
    this.send({ kind: 'setup', setup });
    return (await ready).address;
  }

  send(message: ToChild): void {
    if (this.process.connected) this.process.send(message);
  }

  /** The answer to a message. */
  async ask<K extends FromChildKind>(
    message: ToChild,
    kind: K,
  ): Promise<Extract<FromChild, { readonly kind: K }>> {
    const answer = this.next(kind);
    this.send(message);
    return answer;
  }

  end(): void {
    this.send({ kind: 'end' });
  }

  private next<K extends FromChildKind>(kind: K): Promise<Extract<FromChild, { readonly kind: K }>> {
    return new Promise((done) => {
      const list = this.waiting.get(kind) ?? [];
      list.push((message) => done(message as Extract<FromChild, { readonly kind: K }>));
      this.waiting.set(kind, list);
    });
  }

  private receive(message: FromChild): void {
    const waiter = this.waiting.get(message.kind)?.shift();
    if (waiter === undefined) this.onMessage(message);
    else waiter(message);
  }
}
