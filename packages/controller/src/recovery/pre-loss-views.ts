/** Views from before a loss of data: of incarnations that are over, kept until their content is durable in the present one. */
import type { Accounts } from '../accounts/model.js';
import type { JobState } from '../jobs/job-state.js';
import type { Job } from '../jobs/model.js';
import type { JobVersion } from './merge.js';

/** What a controller knew of the store when its incarnation ended. */
export interface PreLossView {
  /** Names the view among those of all controllers. */
  readonly id: string;
  readonly generation: number;
  /** The view is as of this revision; -1: part of it may be of any time. */
  readonly revision: number;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly lastSeq: number;
  readonly accounts: Accounts;
  /** The highest term it knew. */
  readonly term: number;
  /** The term its holder was acting for, without a gap, when the loss was suspected; null: none. */
  readonly ledTerm: number | null;
}

/** The pre-loss views that this node keeps. */
export class PreLossViews {
  private views: PreLossView[] = [];
  private count = 0;

  /**
   * `processId`: a name that no other process has, nor an earlier one of this controller: a late `durable` message names the
   * views of the process that was asked, and must not make another process forget its own.
   */
  constructor(private readonly processId: string) {}

  get all(): readonly PreLossView[] {
    return this.views;
  }

  /** The present view, as one to be kept. `whole`: it has all that it should have at its revision. */
  viewOf(jobState: JobState, generation: number, led: number | null, whole = true): PreLossView {
    return {
      id: `${this.processId}/${++this.count}`,
      generation,
      revision: whole ? jobState.revision : -1,
      jobs: new Map(jobState.jobs),
      lastSeq: jobState.lastSequence,
      accounts: jobState.accounts,
      term: jobState.term,
      ledTerm: led,
    };
  }

  /** Keeps a view. */
  add(view: PreLossView): void {
    this.views.push(view);
  }

  /** Forgets views whose content is durable. */
  drop(ids: readonly string[]): void {
    this.views = this.views.filter((view) => !ids.includes(view.id));
  }
}

/** What several views have of each job, by the job's id. `more`: versions that stand before theirs. */
export const versionsByJob = (
  views: readonly PreLossView[],
  more: readonly JobVersion[] = [],
): Map<string, JobVersion[]> => {
  const out = new Map<string, JobVersion[]>();
  for (const c of more) {
    const list = out.get(c.job.spec.id);
    if (list) list.push(c);
    else out.set(c.job.spec.id, [c]);
  }
  for (const view of views)
    for (const [id, job] of view.jobs) {
      const version = { generation: view.generation, revision: view.revision, job };
      const list = out.get(id);
      if (list) list.push(version);
      else out.set(id, [version]);
    }
  return out;
};
