/** Makes a failing day smaller: leaves out what it fails without, one thing at a time, until nothing more can go. */
import type { Experiment } from './experiment.js';

/** Every experiment that lacks one thing that `x` has. */
export const smaller = (x: Experiment): { readonly without: string; readonly experiment: Experiment }[] => {
  const out: { without: string; experiment: Experiment }[] = [];
  const { losses = [], links = [], ...flags } = x.troubles;
  for (const flag of Object.keys(flags)) {
    const rest = Object.fromEntries(Object.entries(flags).filter(([f]) => f !== flag));
    out.push({ without: flag, experiment: { ...x, troubles: { ...rest, losses, links } } });
  }
  losses.forEach((l, i) => {
    out.push({
      without: `loss ${i + 1}`,
      experiment: { ...x, troubles: { ...x.troubles, losses: losses.filter((_, k) => k !== i) } },
    });
    if (l.crash !== 'none')
      out.push({
        without: `crash at loss ${i + 1}`,
        experiment: {
          ...x,
          troubles: {
            ...x.troubles,
            losses: losses.map((o, k) => (k === i ? { ...o, crash: 'none' as const } : o)),
          },
        },
      });
  });
  links.forEach((_, i) =>
    out.push({
      without: `link ${i + 1}`,
      experiment: { ...x, troubles: { ...x.troubles, links: links.filter((_l, k) => k !== i) } },
    }),
  );
  if (x.jobs > 1)
    out.push({ without: `half of ${x.jobs} jobs`, experiment: { ...x, jobs: Math.floor(x.jobs / 2) } });
  return out;
};

/** `fails`: whether a day still fails. `said`: called with each thing that could go. */
export const shrink = (
  x: Experiment,
  fails: (x: Experiment) => boolean,
  said: (without: string) => void = () => undefined,
): Experiment => {
  for (let at = x; ;) {
    const next = smaller(at).find((s) => fails(s.experiment));
    if (next === undefined) return at;
    said(next.without);
    at = next.experiment;
  }
};
