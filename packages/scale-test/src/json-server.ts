/** A JSON server on a loopback port, for the stand-ins. */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request with its parsed body. */
export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  /** The parsed body; an empty object where there is none. */
  readonly body: unknown;
}
/** Sends the answer once, at once or later, and returns the bytes of its body. */
export type Respond = (status: number, value: unknown) => number;

/** A server that listens. */
export interface JsonServer {
  /** `127.0.0.1:port`. */
  readonly address: string;
  close(): void;
}

const parse = (text: string): unknown => {
  if (text === '') return {};
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return null;
  }
};

/** Listens on a free port; a body that is not JSON is answered 400. */
export const serveJson = (handle: (request: JsonRequest, respond: Respond) => void): Promise<JsonServer> =>
  new Promise((done, fail) => {
    const server = http.createServer((req, res) => {
      const parts: Buffer[] = [];
      req.on('data', (part: Buffer) => parts.push(part));
      req.on('end', () => {
        const respond: Respond = (status, value) => {
          const out = Buffer.from(JSON.stringify(value));
          res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': out.length });
          res.end(out);
          return out.length;
        };
        const body = parse(Buffer.concat(parts).toString());
        if (body === null) return void respond(400, { error: 'not JSON' });
        handle(
          { method: req.method ?? 'GET', url: new URL(req.url ?? '/', 'http://stand-in'), body },
          respond,
        );
      });
    });
    server.keepAliveTimeout = 0;
    server.on('error', fail);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      done({
        address: `127.0.0.1:${port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
