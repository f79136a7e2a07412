/** The first step of a rebuild: the leader gathers what the controllers remember from before the loss. */
import { Effect } from 'effect';
import type { RememberedCalendar } from '../calendar/calendars.js';
import type { FinalState } from '../jobs/model.js';
import type { Peer } from '../settings/settings.js';
import { mergeCalendars } from './calendar-recovery.js';
import type { ViewHeader, ViewResponse } from './codec.js';
import { digestOf } from './digest.js';
import { type JobVersion, mergeVersions } from './merge.js';
import { versionsByJob } from './pre-loss-views.js';
import type { RebuildContext } from './rebuild-context.js';
import { addFinals } from './rebuild-plan.js';
import { fetchView } from './view-exchange.js';

/** What the other controllers have sent during this term and what is not durable yet. */
export class GatheredViews {
  /** Labels of the controllers whose views are included. */
  readonly included = new Set<string>();
  /** Headers of the pre-loss views received, by the holder's label; the holders are notified when the content is durable. */
  readonly headers = new Map<string, readonly ViewHeader[]>();
  private readonly versions: JobVersion[] = [];
  private readonly finals = new Map<string, FinalState>();
  private calendar: RememberedCalendar | null = null;

  /** Adds the response of the controller `label`. */
  add(label: string, response: ViewResponse): void {
    this.included.add(label);
    this.headers.set(label, response.headers);
    this.versions.push(...response.versions);
    addFinals(this.finals, response.finals);
    if (response.calendar !== null)
      this.calendar =
        this.calendar === null ? response.calendar : mergeCalendars(this.calendar, response.calendar);
  }

  /** Returns what all gathered views and this controller remember of the calendar. */
  mergedCalendar(own: Pick<RebuildContext, 'jobState'>): RememberedCalendar {
    const ownCalendar = own.jobState.calendars.remembered();
    return this.calendar === null ? ownCalendar : mergeCalendars(ownCalendar, this.calendar);
  }

  /** Returns all versions of each job by the job's id, this controller's own included. */
  versionsByJob(own: Pick<RebuildContext, 'preLossViews' | 'evidenceStore'>): Map<string, JobVersion[]> {
    return versionsByJob(own.preLossViews.all, [...own.evidenceStore.versions(), ...this.versions]);
  }

  /** Returns the final states by job id, this controller's own included. */
  finalStates(own: Pick<RebuildContext, 'jobState' | 'evidenceStore'>): Map<string, FinalState> {
    const finals = new Map(this.finals);
    addFinals(finals, own.jobState.finalStates.entries());
    addFinals(finals, own.evidenceStore.finals());
    return finals;
  }

  /** Returns the headers of all pre-loss views, this controller's own included. */
  allHeaders(own: Pick<RebuildContext, 'preLossViews'>): Omit<ViewHeader, 'id'>[] {
    return [...own.preLossViews.all, ...[...this.headers.values()].flat()];
  }

  /** Drops everything but `included`, once the content is durable. */
  clear(): void {
    this.versions.length = 0;
    this.finals.clear();
    this.calendar = null;
    this.headers.clear();
  }
}

/** Requests the views of `peers` and adds them. A peer that does not respond is skipped and can be asked again later. */
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
