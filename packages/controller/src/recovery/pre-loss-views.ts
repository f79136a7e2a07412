/** Pre-loss views: views of an earlier incarnation, kept until their content is durable in the present incarnation. */
import type { Accounts } from '../accounts/model.js';
import type { JobState } from '../jobs/job-state.js';
import type { Job } from '../jobs/model.js';
import type { JobVersion } from './merge.js';

/** What a controller knew of the store when it left an incarnation. */
export interface PreLossView {
  /** Unique among the pre-loss views of all controllers. */
  readonly id: string;
  readonly generation: number;
  /** The revision of the view; -1 if the view was incomplete, so that parts of it may be of any revision. */
  readonly revision: number;
  readonly jobs: ReadonlyMap<string, Job>;
  /** The sequence of the last log entry in the view. */
  readonly lastSequence: number;
  readonly accounts: Accounts;
  /** The highest term in the view. */
  readonly term: number;
  /** The term the view's holder was acting for, without interruption, when the loss was suspected; null if none. */
  readonly ledTerm: number | null;
}

/** The pre-loss views that this controller keeps. */
export class PreLossViews {
  private views: PreLossView[] = [];
  private viewCount = 0;

  /**
   * `processId`: unique among all processes, earlier processes of the same controller included. A late notice that views are
   * durable names views by an id that begins with it, and must not make a restarted process discard its own views.
   */
  constructor(private readonly processId: string) {}

  get all(): readonly PreLossView[] {
    return this.views;
  }

  /** Captures the present view without keeping it. `complete`: the view has everything that it should have at its revision. */
  captureView(jobState: JobState, generation: number, ledTerm: number | null, complete = true): PreLossView {
    return {
      id: `${this.processId}/${++this.viewCount}`,
      generation,
      revision: complete ? jobState.revision : -1,
      jobs: new Map(jobState.jobs),
      lastSequence: jobState.lastSequence,
      accounts: jobState.accounts,
      term: jobState.term,
      ledTerm,
    };
  }

  /** Keeps a view. */
  add(view: PreLossView): void {
    this.views.push(view);
  }

  /** Discards the views with these ids, once their content is durable. */
  drop(ids: readonly string[]): void {
    this.views = this.views.filter((view) => !ids.includes(view.id));
  }
}

/** Returns the versions of each job by its id: those in `additional`, then those in `views`. */
export const versionsByJob = (
  views: readonly PreLossView[],
  additional: readonly JobVersion[] = [],
): Map<string, JobVersion[]> => {
  const versions = new Map<string, JobVersion[]>();
  for (const version of additional) {
    const list = versions.get(version.job.spec.id);
    if (list) list.push(version);
    else versions.set(version.job.spec.id, [version]);
  }
  for (const view of views)
    for (const [id, job] of view.jobs) {
      const version = { generation: view.generation, revision: view.revision, job };
      const list = versions.get(id);
      if (list) list.push(version);
      else versions.set(id, [version]);
    }
  return versions;
};
