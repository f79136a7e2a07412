/**
 * The users' interface. Every controller serves it directly from the state store. A job is reported as accepted,
 * cancelled or done only after a committed compare-and-swap. Final states may be served from memory; any other
 * response requires a view at least as new as the request.
 */
import type { HttpResponse, HttpRequest } from '@lilacvalve/runtime/http-server';
import { Effect } from 'effect';
import type { ApiContext } from './api-context.js';
import { CancellationHandler } from './cancellation.js';
import { Confirmation } from './confirmation.js';
import { JobLookup } from './job-lookup.js';
import { stateUnavailable } from './responses.js';
import { SubmissionHandler } from './submission.js';
import { notReady } from './write-policy.js';

/** The operations of users. Each responds to every request and never fails. */
export interface UserHandlers {
  readonly submit: (request: HttpRequest) => Effect.Effect<HttpResponse>;
  readonly poll: (id: string) => Effect.Effect<HttpResponse>;
  readonly cancel: (id: string) => Effect.Effect<HttpResponse>;
}

/** Creates the user handlers of one controller. */
export const userHandlers = (context: ApiContext): UserHandlers => {
  const lookup = new JobLookup(context);
  const confirmation = new Confirmation(context);
  const submissions = new SubmissionHandler(context, lookup, confirmation);
  const cancellations = new CancellationHandler(context, lookup, confirmation);

  const poll = (id: string): Effect.Effect<HttpResponse> =>
    lookup.isReadable() || (context.jobState.finalStates.has(id) && context.isDurable())
      ? lookup.find(id).pipe(
          Effect.flatMap((found) => confirmation.respond(id, found)),
          Effect.catchAll(stateUnavailable),
        )
      : Effect.succeed(notReady(context.lossDetector));

  return {
    submit: (request) => submissions.submit(request),
    poll,
    cancel: (id) => cancellations.cancel(id),
  };
};
