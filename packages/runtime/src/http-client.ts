/**
 * HTTP client on Node's `http`. A missing response is a failure of its own type, because the server may have carried out the
 * request, or may still do so.
 */
import * as http from 'node:http';
import { Data, Effect } from 'effect';

/** No response was received. The server may have carried out the request, or may still do so. */
export class NoResponse extends Data.TaggedError('NoResponse')<{ readonly reason: string }> {}

/** A response with its whole body. */
export interface ReceivedResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Splits an address of the form `host:port`. */
export const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/** Returns an agent that keeps up to `maxSockets` connections to a server open between requests. */
export const keepAliveAgent = (maxSockets: number): http.Agent =>
  new http.Agent({ keepAlive: true, maxSockets, scheduling: 'fifo' });

/** Sends requests to one server. */
export class HttpClient {
  private readonly target: { host: string; port: number };

  constructor(
    address: string,
    private readonly agent: http.Agent,
    private readonly contentType = 'application/json',
  ) {
    this.target = parseAddress(address);
  }

  /** Sends a request; fails if the whole response is not received within `timeoutMs`. */
  request(
    method: string,
    path: string,
    body: string | Buffer | null,
    timeoutMs: number,
  ): Effect.Effect<ReceivedResponse, NoResponse> {
    return Effect.async<ReceivedResponse, NoResponse>((resume) => {
      let finished = false;
      const data = body === null ? null : Buffer.from(body);
      const clientRequest = http.request({
        host: this.target.host,
        port: this.target.port,
        method,
        path,
        agent: this.agent,
        headers: data === null ? {} : { 'Content-Type': this.contentType, 'Content-Length': data.length },
      });
      const finish = (outcome: Effect.Effect<ReceivedResponse, NoResponse>) => {
        if (finished) return;
        finished = true;
        clearTimeout(timer);
        resume(outcome);
      };
      const fail = (reason: string) => {
        finish(Effect.fail(new NoResponse({ reason })));
        clientRequest.destroy();
      };
      const timer = setTimeout(() => fail('timeout'), timeoutMs);
      clientRequest.on('error', (failure) => fail(failure.message));
      clientRequest.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', (failure) => fail(failure.message));
        response.on('aborted', () => fail('aborted'));
        response.on('end', () =>
          finish(Effect.succeed({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) })),
        );
      });
      if (data !== null) clientRequest.write(data);
      clientRequest.end();
      return Effect.sync(() => {
        finished = true;
        clearTimeout(timer);
        clientRequest.destroy();
      });
    });
  }
}
