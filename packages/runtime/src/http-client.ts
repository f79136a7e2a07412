/** HTTP client on Node's http. "No response" is a failure of its own: the request may still be carried out. */
import * as http from 'node:http';
import { Data, Effect } from 'effect';

/** No answer came; what was asked may have been done, or may be done later. */
export class NoAnswer extends Data.TaggedError('NoAnswer')<{ readonly reason: string }> {}

export interface Reply {
  readonly status: number;
  readonly body: Buffer;
}

export const parseAddress = (addr: string): { host: string; port: number } => {
  const at = addr.lastIndexOf(':');
  return { host: addr.slice(0, at), port: Number(addr.slice(at + 1)) };
};

/** Connections to one server, kept open between requests. */
export const keptOpen = (maxSockets: number): http.Agent =>
  new http.Agent({ keepAlive: true, maxSockets, scheduling: 'fifo' });

export class HttpClient {
  private readonly target: { host: string; port: number };

  constructor(
    address: string,
    private readonly agent: http.Agent,
    private readonly contentType = 'application/json',
  ) {
    this.target = parseAddress(address);
  }

  request(
    method: string,
    path: string,
    body: string | Buffer | null,
    timeoutMs: number,
  ): Effect.Effect<Reply, NoAnswer> {
    return Effect.async<Reply, NoAnswer>((resume) => {
      let over = false;
      const data = body === null ? null : Buffer.from(body);
      const req = http.request({
        host: this.target.host,
        port: this.target.port,
        method,
        path,
        agent: this.agent,
        headers: data === null ? {} : { 'Content-Type': this.contentType, 'Content-Length': data.length },
      });
      const finish = (outcome: Effect.Effect<Reply, NoAnswer>) => {
        if (over) return;
        over = true;
        clearTimeout(timer);
        resume(outcome);
      };
      const fail = (reason: string) => {
        finish(Effect.fail(new NoAnswer({ reason })));
        req.destroy();
      };
      const timer = setTimeout(() => fail('timeout'), timeoutMs);
      req.on('error', (e) => fail(e.message));
      req.on('response', (res) => {
        const parts: Buffer[] = [];
        res.on('data', (part: Buffer) => parts.push(part));
        res.on('error', (e) => fail(e.message));
        res.on('aborted', () => fail('aborted'));
        res.on('end', () =>
          finish(Effect.succeed({ status: res.statusCode ?? 0, body: Buffer.concat(parts) })),
        );
      });
      if (data !== null) req.write(data);
      req.end();
      return Effect.sync(() => {
        over = true;
        clearTimeout(timer);
        req.destroy();
      });
    });
  }
}
