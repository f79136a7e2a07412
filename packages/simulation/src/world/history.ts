/**
 * Checks that the responses which users get about a job never go back in time, whichever controller sends them. A
 * response to a request that was sent after another response had arrived must not be older than that other response.
 * Responses to overlapping requests may arrive in either order. The state of a job only advances (accepted, more
 * tasks completed, one final state), so a request only needs to remember the newest state that had been reported when
 * it was sent.
 *
 * The checker has no dependencies: requests and responses are passed in, violations are returned.
 */

/** Kind of a user's request. */
export type RequestKind = 'submit' | 'poll' | 'cancel';
/** Final state of a job, as users see it. */
export type FinalState = 'done' | 'aborted';

/** A request that a user sent. */
export interface SentRequest {
  readonly ask: RequestKind;
  readonly id: string;
  /** Label of the controller that the request was sent to. */
  readonly controller: string;
  /** Time at which the request was sent, in microseconds. */
  readonly began: number;
}
/** A request that has no response yet. */
export interface PendingRequest extends SentRequest {
  /** The newest state of the job that had been reported when the request was sent. The response must not be older. */
  readonly floor: ReportedState;
}

/** The newest reported state of a job, and which controllers reported it. */
interface ReportedState {
  readonly accepted: Source | null;
  /** Number of completed tasks. */
  readonly done: number;
  readonly doneReportedBy: Source | null;
  readonly end: (Source & { readonly state: FinalState }) | null;
}
/** Which controller reported a state, and when. */
interface Source {
  readonly controller: string;
  readonly at: number;
}

/** The response to a user's request, as far as the checker needs it. */
export interface ReportedResponse {
  readonly status: number;
  /** State of the job in the response body; undefined: the body has none. */
  readonly state?: string | undefined;
  /** Number of completed tasks in the response body. */
  readonly done?: number | undefined;
}

const NOTHING_REPORTED: ReportedState = { accepted: null, done: 0, doneReportedBy: null, end: null };
const isFinal = (state: string | undefined): state is FinalState => state === 'done' || state === 'aborted';

/** Keeps the newest reported state of every job, and checks each response against it. */
export class History {
  private readonly reportedStates = new Map<string, ReportedState>();
  private readonly submitted = new Set<string>();
  private readonly cancelled = new Set<string>();

  /** Records that a request is sent. */
  requestSent(ask: RequestKind, id: string, controller: string, now: number): PendingRequest {
    if (ask === 'submit') this.submitted.add(id);
    if (ask === 'cancel') this.cancelled.add(id);
    return { ask, id, controller, began: now, floor: this.reportedStates.get(id) ?? NOTHING_REPORTED };
  }

  /**
   * Checks the response to a request and returns the violations, one line each. Responses without a result (such as
   * 429 or 503) are not checked, apart from 404, 400 and 422 for a job that was reported as accepted.
   */
  responseReceived(asked: PendingRequest, response: ReportedResponse, now: number): string[] {
    const { ask, id, controller, floor } = asked;
    const violations: string[] = [];
    const span = `${ask} of ${id} at ${controller}, ${asked.began} to ${now}`;
    const describe = (source: Source): string => `${source.controller} reported it at ${source.at}`;
    const unknown =
      response.status === 404 || (ask === 'submit' && (response.status === 400 || response.status === 422));
    if (unknown && floor.accepted !== null)
      violations.push(
        `forgotten: ${span}: status ${response.status}, although accepted: ${describe(floor.accepted)}`,
      );
    if (response.status !== 200 && response.status !== 201) return violations;
    // A job that no user has submitted, or cancelled, can't be known as such, in whatever order responses arrive.
    if (!this.submitted.has(id))
      violations.push(
        `invented: ${span}: never submitted, but reported as ${response.state ?? response.status}`,
      );
    if (response.state === 'aborted' && !this.cancelled.has(id))
      violations.push(`invented: ${span}: reported as aborted, but never cancelled`);
    if (response.status === 201 && floor.accepted !== null)
      violations.push(`accepted_twice: ${span}: already accepted: ${describe(floor.accepted)}`);
    if (floor.end !== null && response.state !== floor.end.state)
      violations.push(
        `older_answer: ${span}: state ${response.state}, but finished as ${floor.end.state}: ${describe(floor.end)}`,
      );
    if (floor.end === null && response.done !== undefined && response.done < floor.done)
      violations.push(
        `older_answer: ${span}: ${response.done} tasks completed, but ${floor.done} before: ${describe(floor.doneReportedBy!)}`,
      );
    const newest = this.reportedStates.get(id) ?? NOTHING_REPORTED;
    // A job can't have both final states, in whatever order responses report them.
    if (
      isFinal(response.state) &&
      newest.end !== null &&
      newest.end.state !== response.state &&
      floor.end === null
    )
      violations.push(
        `two_ends: ${span}: state ${response.state}, but also ${newest.end.state}: ${describe(newest.end)}`,
      );
    const source = { controller, at: now };
    const advanced = (response.done ?? 0) > newest.done;
    this.reportedStates.set(id, {
      accepted: newest.accepted ?? source,
      done: advanced ? response.done! : newest.done,
      doneReportedBy: advanced ? source : newest.doneReportedBy,
      end: newest.end ?? (isFinal(response.state) ? { ...source, state: response.state } : null),
    });
    return violations;
  }

  /** Returns the final state that a user was given for the job; null: none yet. */
  finalState(id: string): FinalState | null {
    return this.reportedStates.get(id)?.end?.state ?? null;
  }

  /** Whether a user got any result about the job. */
  isReported(id: string): boolean {
    return this.reportedStates.has(id);
  }
}
