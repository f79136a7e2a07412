/**
 * What a day served of each class of jobs: the part that started, the part that ended, and the part that began within
 * four minutes. The operators call a large day failed when less than half of any one class or team is served, or less
 * than half of a class's largest jobs begins in time.
 */

/** Less is a failed day; less than `WARN` is worth finding out why. */
export const FAIL = 0.5;
/** See `FAIL`. */
export const WARN = 0.75;

/** Seconds from the first attempt to submit. */
export const BEGIN_BY = 240;
/** Of the jobs that began, the part that had by `BEGIN_BY`: by straight lines between the percentiles of their waits. */
const inTime = (waits = {}) => {
  let [part, wait] = [0, 0];
  for (const [name, to] of Object.entries(waits)) {
    const next = name === 'max' ? 1 : Number(name.slice(1)) / 100;
    if (to > BEGIN_BY) return part + ((next - part) * (BEGIN_BY - wait)) / (to - wait);
    [part, wait] = [next, to];
  }
  return part;
};

/** From a run's report: teams, with the part of their jobs that started. */
export const teamsOfReport = (report) =>
  Object.entries(report.teams ?? {}).map(([name, { jobs, started }]) => ({
    name,
    jobs,
    started: jobs > 0 ? Math.min(1, started / jobs) : 1,
  }));

/**
 * Which jobs waited longest, the report does not say. Of five largest, three began in time if no more than two jobs of
 * the class began late; otherwise the largest may be the late ones.
 */
export const lateLargest = ({ jobs, begun }) => jobs * (1 - begun) > 2.5;

/** From a run's report: exact counts, those that their users cancelled left out of what should end. */
export const servedOfReport = (report) =>
  Object.entries(report.classes ?? {}).map(
    ([name, { accepted, started, cancelled, done, wait_s: waits }]) => {
      const startedPart = accepted > 0 ? Math.min(1, started / accepted) : 1;
      return {
        name,
        jobs: accepted,
        started: startedPart,
        ended: accepted > cancelled ? Math.min(1, done / (accepted - cancelled)) : 1,
        begun: accepted > 0 ? inTime(waits) * startedPart : 1,
        longest: waits?.max ?? 0,
      };
    },
  );

const AIM = /^(wait|finished|deadline) (\S+) [^:]*: ([\d.]+) \(aim/;
/**
 * From a score's journal, which has the aims only: the largest part named for a class. What came later than the last aim
 * is not in it, so these are lower bounds.
 */
export const servedOfAims = (aims) => {
  const classes = new Map();
  for (const [text] of aims ?? []) {
    const match = AIM.exec(text);
    if (!match) continue;
    const [, kind, name, part] = match;
    const served = classes.get(name) ?? { name, jobs: null, started: null, ended: null };
    const field = kind === 'wait' ? 'started' : 'ended';
    served[field] = Math.max(served[field] ?? 0, Number(part));
    classes.set(name, served);
  }
  // Who ended had started.
  return [...classes.values()].map((served) => ({
    ...served,
    started: Math.max(served.started ?? 0, served.ended ?? 0),
  }));
};

/** The least served class of a day; null: the day says nothing of classes. */
export const leastServed = (classes) =>
  classes
    .map((c) => ({ name: c.name, part: Math.min(c.started, c.ended ?? c.started) }))
    .sort((a, b) => a.part - b.part)[0] ?? null;
