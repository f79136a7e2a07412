/** The first step of a rebuild: the leader gathers what every controller remembers. */
import { Effect } from 'effect';
import type { Remembered } from '../calendar/calendars.js';
import type { FinalState } from '../jobs/model.js';
import type { Peer } from '../settings/settings.js';
import { joinCalendars } from './calendar-recovery.js';
import type { ViewHeader, ViewResponse } from './codec.js';
import { digestOf } from './digest.js';
import { type JobVersion, mergeVersions } from './merge.js';
import { versionsByJob } from './pre-loss-views.js';
import type { RebuildContext } from './rebuild-context.js';
import { addFinals } from './rebuild-plan.js';
import { fetchView } from './view-exchange.js';

/** What the other controllers have sent since this term began and is not known to be durable yet. */
export class GatheredViews {
  /** Labels of the controllers whose views are included. */
  readonly heard = new Set<string>();
  /** The pre-loss views received, by holder, who is told when their content is durable. */
  readonly headers = new Map<string, readonly ViewHeader[]>();
  private readonly versions: JobVersion[] = [];
  private readonly finals = new Map<string, FinalState>();
  private calendar: Remembered | null = null;

  /** Adds what the controller `label` remembers. */
  add(label: string, response: ViewResponse): void {
    this.heard.add(label);
    this.headers.set(label, response.headers);
    this.versions.push(...response.versions);
    addFinals(this.finals, response.finals);
    if (response.calendar !== null)
      this.calendar =
        this.calendar === null ? response.calendar : joinCalendars(this.calendar, response.calendar);
  }

  /** What is remembered of the calendar, this node's own included. */
  joinedCalendar(own: Pick<RebuildContext, 'jobState'>): Remembered {
    const mine = own.jobState.calendars.remembered();
    return this.calendar === null ? mine : joinCalendars(mine, this.calendar);
  }

  /** The versions of each job, this node's own included. */
  versionsByJob(own: Pick<RebuildContext, 'preLossViews' | 'evidenceStore'>): Map<string, JobVersion[]> {
    return versionsByJob(own.preLossViews.all, [...own.evidenceStore.versions(), ...this.versions]);
  }

  /** The final states, this node's own included. */
  finalStates(own: Pick<RebuildContext, 'jobState' | 'evidenceStore'>): Map<string, FinalState> {
    const out = new Map(this.finals);
    addFinals(out, own.jobState.finalStates.entries());
    addFinals(out, own.evidenceStore.finals());
    return out;
  }

  /** The headers of all pre-loss views, this node's own included. */
  allHeaders(own: Pick<RebuildContext, 'preLossViews'>): Omit<ViewHeader, 'id'>[] {
    return [...own.preLossViews.all, ...[...this.headers.values()].flat()];
  }

  /** Forgets all of it: its content is durable. `heard` stays. */
  clear(): void {
    this.versions.length = 0;
    this.finals.clear();
    this.calendar = null;
    this.headers.clear();
  }
}

/** Asks `peers` for their views; one that does not answer is left out, and can be asked again later. */
export const gatherViews = (
  context: RebuildContext,
  gathered: GatheredViews,
  peers: readonly Peer[],
): Effect.Effect<void> =>
  Effect.suspend(() => {
    const incarnation = context.lossDetector.incarnation?.id;
    if (incarnation === undefined || peers.length === 0) return Effect.void;
    const merged = [...gathered.versionsByJob(context).values()].map((versions) => mergeVersions(versions));
    const digest = digestOf(merged, gathered.finalStates(context));
    return Effect.forEach(
      peers,
      (peer) =>
        fetchView(context.viewPort, peer, incarnation, digest).pipe(
          Effect.map((response) => gathered.add(peer.label, response)),
          Effect.ignore,
        ),
      { concurrency: 'unbounded', discard: true },
    );
  });
