/** Changes that are carried out at once and not answered: others read them before their sender knows. */
import { playScenarios } from './support/scenario-days.js';

const first = (kinds: readonly string[]): string[] => kinds.map((k) => `${k} read by another controller first`);
const unheard = (kinds: readonly string[]): string[] => kinds.map((k) => `${k} without a response`);

playScenarios([
  [
    'only the answer is lost',
    { lostResponses: true, cutoffs: true, lending: true },
    [
      ...first(['submission', 'cancellation', 'log entry', 'final state of jobs with cutoff bindings', 'compaction', 'campaign']),
      ...first(['calendar']),
      ...unheard(['log entry with loans', 'accounts page', 'class durations', 'hint']),
      'leadership begun by the unanswered campaign',
    ],
  ],
]);
