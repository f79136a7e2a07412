/** HTTP with JSON bodies on loopback addresses: a server, and a client that sends one request at a time. */
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Starts a server on a free port. `handle(request, respond)` may respond later, or never. */
export const serveJson = (handle) =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const respond = (status, value) => {
          const bytes = Buffer.from(JSON.stringify(value));
          if (response.destroyed || response.headersSent) return;
          response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': bytes.length });
          response.end(bytes);
        };
        let body = {};
        try {
          if (chunks.length > 0) body = JSON.parse(Buffer.concat(chunks).toString());
        } catch {
          return respond(400, { error: 'not JSON' });
        }
        const url = new URL(request.url ?? '/', 'http://stand-in');
        return handle({ method: request.method ?? 'GET', url, body, socket: request.socket }, respond);
      });
    });
    server.keepAliveTimeout = 0;
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () =>
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      }),
    );
  });

/** A connection that stays open between requests, and is closed when the address changes or a request fails. */
export class Connection {
  constructor() {
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.address = null;
  }

  close() {
    this.agent.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Resolves with `{ status, text, headers }`, or with `{ status: 0, error }` without a response within `timeoutMs`. */
  request(address, method, path, body, timeoutMs) {
    if (this.address !== null && this.address !== address) this.close();
    this.address = address;
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      let finished = false;
      const finish = (outcome) => {
        if (finished) return;
        finished = true;
        clearTimeout(timer);
        resolve(outcome);
      };
      const bytes = body === null ? null : Buffer.from(body);
      const request = http.request({
        host,
        port: Number(port),
        method,
        path,
        agent: this.agent,
        headers: bytes === null ? {} : { 'Content-Type': 'application/json', 'Content-Length': bytes.length },
      });
      const fail = (error) => {
        finish({ status: 0, text: '', headers: {}, error });
        request.destroy();
      };
      const timer = setTimeout(() => fail('timeout'), timeoutMs);
      request.on('error', (error) => fail(error.code ?? error.message));
      request.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => fail('aborted'));
        response.on('aborted', () => fail('aborted'));
        response.on('end', () =>
          finish({
            status: response.statusCode ?? 0,
            text: Buffer.concat(chunks).toString(),
            headers: response.headers,
          }),
        );
      });
      request.end(bytes ?? undefined);
    });
  }
}

/** Parses JSON; an empty object if the text is not JSON. */
export const parsed = (text) => {
  try {
    return JSON.parse(text) ?? {};
  } catch {
    return {};
  }
};
