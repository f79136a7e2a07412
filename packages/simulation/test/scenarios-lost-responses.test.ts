/** Transactions that are committed without a response: other controllers read them before their sender learns of them. */
import { playScenarios } from './support/scenario-days.js';

const readByAnother = (kinds: readonly string[]): string[] =>
  kinds.map((kind) => `${kind} read by another controller first`);
const withoutResponse = (kinds: readonly string[]): string[] =>
  kinds.map((kind) => `${kind} without a response`);

playScenarios([
  [
    'transactions are committed and only their responses are lost',
    { lostResponses: true, cutoffs: true, lending: true },
    [
      ...readByAnother([
        'submission',
        'cancellation',
        'log entry',
        'final state of jobs with cutoff bindings',
        'compaction',
        'campaign',
      ]),
      ...readByAnother(['calendar']),
      ...withoutResponse(['log entry with loans', 'accounts page', 'class durations', 'hint']),
      'leadership begun by the unanswered campaign',
    ],
  ],
]);
