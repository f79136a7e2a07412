/**
 * What a day served of each class of jobs: the part that started and the part that ended. The operators call a large day
 * failed when less than half of any one class or team is served.
 */

/** Less is a failed day; less than `WARN` is worth finding out why. */
export const FAIL = 0.5;
export const WARN = 0.75;

/** From a run's report: exact counts, those that their users cancelled left out of what should end. */
export const servedOfReport = (report) =>
  Object.entries(report.classes ?? {}).map(([name, c]) => ({
    name,
    jobs: c.accepted,
    started: c.accepted > 0 ? Math.min(1, c.started / c.accepted) : 1,
    ended: c.accepted > c.cancelled ? Math.min(1, c.done / (c.accepted - c.cancelled)) : 1,
  }));

const AIM = /^(wait|finished|deadline) (\S+) [^:]*: ([\d.]+) \(aim/;
/**
 * From a score's journal, which has the aims only: the largest part named for a class. What came later than the last aim
 * is not in it, so these are lower bounds.
 */
export const servedOfAims = (aims) => {
  const classes = new Map();
  for (const [text] of aims ?? []) {
    const m = AIM.exec(text);
    if (!m) continue;
    const [, kind, name, part] = m;
    const c = classes.get(name) ?? { name, jobs: null, started: null, ended: null };
    const field = kind === 'wait' ? 'started' : 'ended';
    c[field] = Math.max(c[field] ?? 0, Number(part));
    classes.set(name, c);
  }
  // Who ended had started.
  return [...classes.values()].map((c) => ({ ...c, started: Math.max(c.started ?? 0, c.ended ?? 0) }));
};

/** The least served class of a day; null: the day says nothing of classes. */
export const leastServed = (classes) =>
  classes
    .map((c) => ({ name: c.name, part: Math.min(c.started, c.ended ?? c.started) }))
    .sort((a, b) => a.part - b.part)[0] ?? null;
