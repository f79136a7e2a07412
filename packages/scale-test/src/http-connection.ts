/**
 * A persistent HTTP connection that carries one request at a time. It uses a raw socket, so that a thousand connections
 * cost little CPU time and all bytes, including headers, can be counted.
 */
import * as net from 'node:net';

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Value of the `Retry-After` header in seconds; 0 if there is none. */
  readonly retryAfterS: number;
}

/** Bytes sent and received through sockets. */
export interface ByteCount {
  sent: number;
  received: number;
}

const HEADER_END = '\r\n\r\n';
const STATUS_OFFSET = 'HTTP/1.1 '.length;
const STATUS_DIGITS = 3;

/** Connects at the first request, and reconnects when the address changes or the connection has failed. */
export class HttpConnection {
  private socket: net.Socket | null = null;
  private address: string | null = null;
  private onResponse: ((response: HttpResponse | null) => void) | null = null;
  private received: Buffer = Buffer.alloc(0);

  constructor(private readonly bytes: ByteCount = { sent: 0, received: 0 }) {}

  close(): void {
    const { socket } = this;
    this.socket = null;
    socket?.destroy();
    this.finish(null);
  }

  /** Returns the response; null if the connection failed or `timeoutMs` elapsed. Only one request may be in flight. */
  request(
    address: string,
    method: string,
    path: string,
    body: string,
    timeoutMs: number,
  ): Promise<HttpResponse | null> {
    return new Promise((resolve) => {
      if (this.address !== address) this.close();
      this.address = address;
      const socket = this.socket ?? this.connect(address);
      const timer = setTimeout(() => this.close(), timeoutMs);
      this.onResponse = (response) => {
        clearTimeout(timer);
        resolve(response);
      };
      const length = Buffer.byteLength(body);
      const request =
        `${method} ${path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n` +
        `Content-Length: ${length}${HEADER_END}${body}`;
      this.bytes.sent += request.length - body.length + length;
      socket.write(request);
    });
  }

  private connect(address: string): net.Socket {
    const [host, port] = address.split(':');
    const socket = net.connect(Number(port), host);
    this.socket = socket;
    socket.setNoDelay(true);
    this.received = Buffer.alloc(0);
    socket.on('data', (data) => {
      if (this.socket === socket) this.receive(data);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (this.socket !== socket) return;
      this.socket = null;
      this.finish(null);
    });
    return socket;
  }

  private receive(data: Buffer): void {
    this.bytes.received += data.length;
    this.received = this.received.length === 0 ? data : Buffer.concat([this.received, data]);
    const headerLength = this.received.indexOf(HEADER_END);
    if (headerLength < 0) return;
    const header = this.received.toString('latin1', 0, headerLength);
    const length = Number(/content-length: (\d+)/i.exec(header)?.[1] ?? 0);
    const end = headerLength + HEADER_END.length + length;
    if (this.received.length < end) return;
    const body = this.received.toString('utf8', headerLength + HEADER_END.length, end);
    this.received = this.received.subarray(end);
    this.finish({
      status: Number(header.slice(STATUS_OFFSET, STATUS_OFFSET + STATUS_DIGITS)),
      body,
      retryAfterS: Number(/retry-after: (\d+)/i.exec(header)?.[1] ?? 0),
    });
  }

  private finish(response: HttpResponse | null): void {
    const onResponse = this.onResponse;
    this.onResponse = null;
    onResponse?.(response);
  }
}
