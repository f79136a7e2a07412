/**
 * Computes how well a day of the regression served each class of jobs: the fraction of its jobs that started, that completed,
 * and that started within four minutes. A large day fails if less than half of a class or team is served, or if less than
 * half of the largest jobs of a class start in time.
 */

/** A day fails if the served fraction of a class or team is below this. */
export const FAILED_BELOW = 0.5;
/** A served fraction below this is marked as low. */
export const LOW_BELOW = 0.75;

/** Deadline for the start of a job, in seconds after the first attempt to submit it. */
export const START_DEADLINE_S = 240;
/**
 * Returns the fraction of the started jobs that had started by `START_DEADLINE_S`, by linear interpolation between the percentiles
 * of their waits.
 */
const fractionStartedInTime = (waits = {}) => {
  let [fraction, wait] = [0, 0];
  for (const [percentile, nextWait] of Object.entries(waits)) {
    const nextFraction = percentile === 'max' ? 1 : Number(percentile.slice(1)) / 100;
    if (nextWait > START_DEADLINE_S)
      return fraction + ((nextFraction - fraction) * (START_DEADLINE_S - wait)) / (nextWait - wait);
    [fraction, wait] = [nextFraction, nextWait];
  }
  return fraction;
};

/** Returns the teams of a run's report with the fraction of their jobs that started. */
export const teamsOfReport = (report) =>
  Object.entries(report.teams ?? {}).map(([name, { jobs, started }]) => ({
    name,
    jobs,
    started: jobs > 0 ? Math.min(1, started / jobs) : 1,
  }));

/**
 * Whether the largest jobs of a class may have started late. The report does not say which jobs waited longest. If at most two
 * jobs of the class started late, at least three of its five largest jobs started in time; otherwise this is unknown.
 */
export const largestMayBeLate = ({ jobs, startedInTime }) => jobs * (1 - startedInTime) > 2.5;

/** Returns the classes of a run's report with exact fractions. Cancelled jobs are not expected to complete. */
export const servedOfReport = (report) =>
  Object.entries(report.classes ?? {}).map(
    ([name, { accepted, started, cancelled, done, wait_s: waits }]) => {
      const startedFraction = accepted > 0 ? Math.min(1, started / accepted) : 1;
      return {
        name,
        jobs: accepted,
        started: startedFraction,
        completed: accepted > cancelled ? Math.min(1, done / (accepted - cancelled)) : 1,
        startedInTime: accepted > 0 ? fractionStartedInTime(waits) * startedFraction : 1,
        longestWaitS: waits?.max ?? 0,
      };
    },
  );

/** Text of an aim in a journal entry of the bench. */
const AIM = /^(wait|finished|deadline) (\S+) [^:]*: ([\d.]+) \(aim/;
/**
 * Returns the classes of a journal entry of the bench, which has only the results of aims: for each class, the largest fraction
 * that any of its aims names. The fractions are lower bounds, because the journal does not count jobs that were later than the
 * last aim.
 */
export const servedOfAims = (aims) => {
  const classes = new Map();
  for (const [text] of aims ?? []) {
    const match = AIM.exec(text);
    if (!match) continue;
    const [, kind, name, fraction] = match;
    const served = classes.get(name) ?? { name, jobs: null, started: null, completed: null };
    const field = kind === 'wait' ? 'started' : 'completed';
    served[field] = Math.max(served[field] ?? 0, Number(fraction));
    classes.set(name, served);
  }
  // A completed job had started.
  return [...classes.values()].map((served) => ({
    ...served,
    started: Math.max(served.started ?? 0, served.completed ?? 0),
  }));
};

/** Returns the class of a day with the smallest served fraction; null: the day has no figures of classes. */
export const leastServed = (classes) =>
  classes
    .map((served) => ({
      name: served.name,
      fraction: Math.min(served.started, served.completed ?? served.started),
    }))
    .sort((a, b) => a.fraction - b.fraction)[0] ?? null;
