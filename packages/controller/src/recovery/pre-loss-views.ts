/** Views of incarnations that are over, kept until their content is durable in the present one. */
import type { Accounts } from '../accounts/model.js';
import type { JobState } from '../jobs/job-state.js';
import type { Job } from '../jobs/model.js';
import type { JobVersion } from './merge.js';

export interface PreLossView {
  readonly id: string;
  readonly generation: number;
  /** The view is as of this revision; -1: part of it may be of any time. */
  readonly revision: number;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly lastSeq: number;
  readonly accounts: Accounts;
  /** The term it knew, and the one its holder was acting for without a gap when the doubt began; null: for none. */
  readonly term: number;
  readonly ledTerm: number | null;
}

export class PreLossViews {
  private views: PreLossView[] = [];
  private count = 0;

  /**
   * `life`: a name that no other process has, nor an earlier one of this controller. A late `durable` message names the
   * views of the process that was asked; by it another one's must not be forgotten.
   */
  constructor(private readonly processId: string) {}

  get all(): readonly PreLossView[] {
    return this.views;
  }

  /** The view as it stands, as a relic. `whole`: it has all that it should have at its revision. */
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

  add(relic: PreLossView): void {
    this.views.push(relic);
  }

  /** Their content is durable. */
  drop(ids: readonly string[]): void {
    this.views = this.views.filter((r) => !ids.includes(r.id));
  }
}

/** The versions of several views, by job. */
export const versionsByJob = (
  relics: readonly PreLossView[],
  more: readonly JobVersion[] = [],
): Map<string, JobVersion[]> => {
  const out = new Map<string, JobVersion[]>();
  for (const c of more) {
    const list = out.get(c.job.spec.id);
    if (list) list.push(c);
    else out.set(c.job.spec.id, [c]);
  }
  for (const r of relics)
    for (const [id, job] of r.jobs) {
      const version = { generation: r.generation, revision: r.revision, job };
      const list = out.get(id);
      if (list) list.push(version);
      else out.set(id, [version]);
    }
  return out;
};
