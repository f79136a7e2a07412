/** Changes that are carried out at once and not answered: others read them before their sender knows. */
import { playScenarios } from './support/scenario-days.js';

const first = (kinds: readonly string[]): string[] => kinds.map((k) => `${k} read by another first`);
const unheard = (kinds: readonly string[]): string[] => kinds.map((k) => `${k} unheard`);

playScenarios([
  [
    'only the answer is lost',
    { lostResponses: true, cutoffs: true, lending: true },
    [
      ...first(['submission', 'withdrawal', 'record', 'closing of tied jobs', 'folding', 'campaign']),
      ...first(['calendar']),
      ...unheard(['record with loans', 'page of the accounts', 'what classes have shown', 'hint']),
      'lead taken up',
    ],
  ],
]);
