/** Reduces a failing day: removes its faults and jobs one step at a time, as long as the day still fails. */
import type { Experiment } from './experiment.js';

/** Every variant of an experiment with one fault, crash, loss or link less, or with half of the jobs. */
export const smallerExperiments = (
  experiment: Experiment,
): { readonly without: string; readonly experiment: Experiment }[] => {
  const variants: { without: string; experiment: Experiment }[] = [];
  const { losses = [], links = [], ...flags } = experiment.troubles;
  for (const flag of Object.keys(flags)) {
    const rest = Object.fromEntries(Object.entries(flags).filter(([name]) => name !== flag));
    variants.push({ without: flag, experiment: { ...experiment, troubles: { ...rest, losses, links } } });
  }
  losses.forEach((loss, index) => {
    variants.push({
      without: `loss ${index + 1}`,
      experiment: {
        ...experiment,
        troubles: { ...experiment.troubles, losses: losses.filter((_, other) => other !== index) },
      },
    });
    if (loss.crash !== 'none')
      variants.push({
        without: `crash at loss ${index + 1}`,
        experiment: {
          ...experiment,
          troubles: {
            ...experiment.troubles,
            losses: losses.map((entry, other) =>
              other === index ? { ...entry, crash: 'none' as const } : entry,
            ),
          },
        },
      });
  });
  links.forEach((_, index) =>
    variants.push({
      without: `link ${index + 1}`,
      experiment: {
        ...experiment,
        troubles: { ...experiment.troubles, links: links.filter((_link, other) => other !== index) },
      },
    }),
  );
  if (experiment.jobs > 1)
    variants.push({
      without: `half of ${experiment.jobs} jobs`,
      experiment: { ...experiment, jobs: Math.floor(experiment.jobs / 2) },
    });
  return variants;
};

/**
 * Returns the smallest experiment found for which `fails` is true. `onRemoved` is called with the description of each removed
 * item.
 */
export const shrink = (
  experiment: Experiment,
  fails: (experiment: Experiment) => boolean,
  onRemoved: (without: string) => void = () => undefined,
): Experiment => {
  for (let current = experiment; ;) {
    const failing = smallerExperiments(current).find((variant) => fails(variant.experiment));
    if (failing === undefined) return current;
    onRemoved(failing.without);
    current = failing.experiment;
  }
};
