/**
 * The network as a matrix of directed links between ends: controllers by label, the workers of a zone as `zone:a`, the
 * state service as `state`, the cloud as `cloud`, users as `users`. A message from one end to another meets the state of
 * that one link at that moment; its answer meets the other direction's.
 */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Time } from './time.js';

/**
 * `held`: packets wait until the link heals, when they arrive late. `reset`: the sender is told at once. `slow`: hundreds
 * of milliseconds. `lossy`: a third is lost and sent again a second later. `unanswered`: requests arrive, answers do not.
 */
export const LINK_STATES = ['held', 'reset', 'slow', 'lossy', 'unanswered'] as const;
export type LinkState = (typeof LINK_STATES)[number];

export class Links {
  private readonly states = new Map<string, LinkState>();
  /** What waits for a held link to heal. */
  private readonly waiting = new Map<string, (() => void)[]>();

  constructor(
    private readonly time: Time,
    private readonly luck: RandomSource,
  ) {}

  state(from: string, to: string): LinkState | null {
    return this.states.get(`${from}>${to}`) ?? null;
  }

  set(from: string, to: string, state: LinkState, lasts: number): void {
    const key = `${from}>${to}`;
    this.states.set(key, state);
    this.time.after(lasts, () => {
      if (this.states.get(key) !== state) return;
      this.states.delete(key);
      for (const go of this.waiting.get(key) ?? []) this.time.after(this.luck.between(200, 50_000), go);
      this.waiting.delete(key);
    });
  }

  /** One message. `arrive`: now or late, or never. `fail`: the sender learns that it did not. */
  send(from: string, to: string, arrive: () => void, fail: () => void = () => undefined): void {
    const usual = this.luck.between(200, 3000);
    switch (this.state(from, to)) {
      case null:
      case 'unanswered':
        return void this.time.after(usual, arrive);
      case 'slow':
        return void this.time.after(this.luck.between(100_000, 900_000), arrive);
      case 'lossy':
        return void this.time.after(this.luck.chance(0.33) ? usual + 1e6 : usual, arrive);
      case 'reset':
        return void this.time.after(usual, fail);
      case 'held': {
        const key = `${from}>${to}`;
        const queue = this.waiting.get(key);
        if (queue) queue.push(arrive);
        else this.waiting.set(key, [arrive]);
      }
    }
  }

  /** The answer to a message that went from `from` to `to`. */
  answer(from: string, to: string, arrive: () => void, fail?: () => void): void {
    if (this.state(from, to) === 'unanswered') return;
    this.send(to, from, arrive, fail);
  }
}
