/** An HTTP server with JSON bodies on a loopback port, used by the simulated services and workers. */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/** An HTTP request with a JSON body. */
export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  /** The parsed body; an empty object if the request has no body. */
  readonly body: unknown;
}
/** Sends the response, immediately or later, and returns the number of bytes of its body. Must be called once. */
export type Respond = (status: number, value: unknown) => number;

/** A listening server. */
export interface JsonServer {
  /** Address in the form `127.0.0.1:port`. */
  readonly address: string;
  close(): void;
}

const parseBody = (text: string): unknown => {
  if (text === '') return {};
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return null;
  }
};

/** Starts a server on a free port. A request whose body is not JSON gets status 400. */
export const serveJson = (handle: (request: JsonRequest, respond: Respond) => void): Promise<JsonServer> =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const respond: Respond = (status, value) => {
          const bytes = Buffer.from(JSON.stringify(value));
          response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length });
          response.end(bytes);
          return bytes.length;
        };
        const body = parseBody(Buffer.concat(chunks).toString());
        if (body === null) return void respond(400, { error: 'not JSON' });
        handle(
          { method: request.method ?? 'GET', url: new URL(request.url ?? '/', 'http://stand-in'), body },
          respond,
        );
      });
    });
    server.keepAliveTimeout = 0;
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({
        address: `127.0.0.1:${port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      });
    });
  });
