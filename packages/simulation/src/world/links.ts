/**
 * Simulates the network as a matrix of directed links between endpoints: controllers by their label, the workers of a
 * zone as `zone:a`, the state service as `state`, the cloud as `cloud`, users as `users`. A message is subject to the
 * state that its directed link has when the message is sent; its response is subject to the state of the opposite
 * direction.
 */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Time } from './time.js';

/**
 * States of a failed link.
 *
 * `held`: messages wait until the link heals and then arrive late.
 *
 * `reset`: the sender gets an error at once.
 *
 * `slow`: messages take hundreds of milliseconds.
 *
 * `lossy`: a third of the messages is lost and retransmitted a second later.
 *
 * `unanswered`: requests arrive, responses are lost.
 */
export const LINK_STATES = ['held', 'reset', 'slow', 'lossy', 'unanswered'] as const;
export type LinkState = (typeof LINK_STATES)[number];

/** The links of the simulated network and their states. */
export class Links {
  private readonly failures = new Map<string, LinkState>();
  /** Deliveries that wait for a held link to heal, by link. */
  private readonly heldDeliveries = new Map<string, (() => void)[]>();

  constructor(
    private readonly time: Time,
    private readonly random: RandomSource,
  ) {}

  /** Returns the state of the directed link; null: it works. */
  state(from: string, to: string): LinkState | null {
    return this.failures.get(`${from}>${to}`) ?? null;
  }

  /** Puts a directed link into a failed state for `durationUs`. The link heals then, unless it was set to another state. */
  set(from: string, to: string, state: LinkState, durationUs: number): void {
    const key = `${from}>${to}`;
    this.failures.set(key, state);
    this.time.after(durationUs, () => {
      if (this.failures.get(key) !== state) return;
      this.failures.delete(key);
      for (const deliver of this.heldDeliveries.get(key) ?? [])
        this.time.after(this.random.between(200, 50_000), deliver);
      this.heldDeliveries.delete(key);
    });
  }

  /**
   * Sends one message. `arrive` is called when the message is delivered, which may be late or never. `fail` is called
   * when the sender gets an error instead.
   */
  send(from: string, to: string, arrive: () => void, fail: () => void = () => undefined): void {
    const normalDelay = this.random.between(200, 3000);
    switch (this.state(from, to)) {
      case null:
      case 'unanswered':
        return void this.time.after(normalDelay, arrive);
      case 'slow':
        return void this.time.after(this.random.between(100_000, 900_000), arrive);
      case 'lossy':
        return void this.time.after(this.random.chance(0.33) ? normalDelay + 1e6 : normalDelay, arrive);
      case 'reset':
        return void this.time.after(normalDelay, fail);
      case 'held': {
        const key = `${from}>${to}`;
        const queue = this.heldDeliveries.get(key);
        if (queue) queue.push(arrive);
        else this.heldDeliveries.set(key, [arrive]);
      }
    }
  }

  /** Sends the response to a message that was sent from `from` to `to`. */
  sendResponse(from: string, to: string, arrive: () => void, fail?: () => void): void {
    if (this.state(from, to) === 'unanswered') return;
    this.send(to, from, arrive, fail);
  }
}
