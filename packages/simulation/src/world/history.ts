/**
 * What users were told of each job, by whatever controller, held against the order of time: an answer whose request began
 * after another answer had ended must not be older than that one. What overlaps may come in either order. A job's state
 * only grows (accepted, more tasks done, one end), so it is enough to know the newest that had been told when a request
 * began. Pure: requests and answers go in as they begin and end, what is wrong comes out.
 */

export type Ask = 'submit' | 'poll' | 'cancel';
export type End = 'done' | 'aborted';

export interface Asked {
  readonly ask: Ask;
  readonly id: string;
  /** Whom it went to. */
  readonly node: string;
  readonly began: number;
}
/** A request on its way, and what had been told of its job when it began. */
export interface Open extends Asked {
  readonly floor: Told;
}

/** The newest told of a job, and by whom. */
interface Told {
  readonly accepted: Said | null;
  /** Tasks done. */
  readonly done: number;
  readonly doneBy: Said | null;
  readonly end: (Said & { readonly how: End }) | null;
}
interface Said {
  readonly node: string;
  readonly at: number;
}

export interface Answered {
  readonly status: number;
  /** Of the body; undefined: it has none. */
  readonly state?: string | undefined;
  readonly done?: number | undefined;
}

const NOTHING: Told = { accepted: null, done: 0, doneBy: null, end: null };
const isEnd = (state: string | undefined): state is End => state === 'done' || state === 'aborted';

export class History {
  private readonly told = new Map<string, Told>();
  private readonly submitted = new Set<string>();
  private readonly cancelled = new Set<string>();

  /** A request is sent. */
  begins(ask: Ask, id: string, node: string, now: number): Open {
    if (ask === 'submit') this.submitted.add(id);
    if (ask === 'cancel') this.cancelled.add(id);
    return { ask, id, node, began: now, floor: this.told.get(id) ?? NOTHING };
  }

  /** Its answer has arrived. What is wrong with that; empty: nothing. Refusals (429, 503, ...) tell nothing. */
  ends(asked: Open, a: Answered, now: number): string[] {
    const { ask, id, node, floor } = asked;
    const wrong: string[] = [];
    const span = `${ask} of ${id} at ${node}, ${asked.began} to ${now}`;
    const after = (s: Said): string => `${s.node} had told at ${s.at}`;
    const unknown = a.status === 404 || (ask === 'submit' && (a.status === 400 || a.status === 422));
    if (unknown && floor.accepted !== null)
      wrong.push(`forgotten: ${span}: ${a.status}, accepted as ${after(floor.accepted)}`);
    if (a.status !== 200 && a.status !== 201) return wrong;
    // Whatever the order: what nobody asked for can't be.
    if (!this.submitted.has(id)) wrong.push(`invented: ${span}: ${a.state ?? a.status}`);
    if (a.state === 'aborted' && !this.cancelled.has(id))
      wrong.push(`invented: ${span}: cancelled by nobody`);
    if (a.status === 201 && floor.accepted !== null)
      wrong.push(`accepted_twice: ${span}: accepted as ${after(floor.accepted)}`);
    if (floor.end !== null && a.state !== floor.end.how)
      wrong.push(`older_answer: ${span}: ${a.state}, ${floor.end.how} as ${after(floor.end)}`);
    if (floor.end === null && a.done !== undefined && a.done < floor.done)
      wrong.push(`older_answer: ${span}: ${a.done} done, ${floor.done} as ${after(floor.doneBy!)}`);
    const before = this.told.get(id) ?? NOTHING;
    // Both ends can't be, in whatever order they were told.
    if (isEnd(a.state) && before.end !== null && before.end.how !== a.state && floor.end === null)
      wrong.push(`two_ends: ${span}: ${a.state}, ${before.end.how} as ${after(before.end)}`);
    const said = { node, at: now };
    const more = (a.done ?? 0) > before.done;
    this.told.set(id, {
      accepted: before.accepted ?? said,
      done: more ? a.done! : before.done,
      doneBy: more ? said : before.doneBy,
      end: before.end ?? (isEnd(a.state) ? { ...said, how: a.state } : null),
    });
    return wrong;
  }

  /** A user has been told that the job is over. */
  end(id: string): End | null {
    return this.told.get(id)?.end?.how ?? null;
  }

  isTold(id: string): boolean {
    return this.told.has(id);
  }
}
