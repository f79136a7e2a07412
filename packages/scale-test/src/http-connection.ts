/**
 * One kept HTTP connection that carries one request after another. Raw sockets: a thousand of them cost a stand-in little,
 * and their bytes are counted as they pass, headers included.
 */
import * as net from 'node:net';

/** A whole reply. */
export interface HttpReply {
  readonly status: number;
  readonly body: string;
  /** Seconds; 0: not stated. */
  readonly retryAfterS: number;
}

/** Bytes that have passed through sockets. */
export interface ByteCount {
  sent: number;
  received: number;
}

const HEAD_END = '\r\n\r\n';
const STATUS_FROM = 'HTTP/1.1 '.length;
const STATUS_DIGITS = 3;

/** Connects at the first request, and anew when the address changes or the connection failed. */
export class HttpConnection {
  private socket: net.Socket | null = null;
  private address: string | null = null;
  private waiting: ((reply: HttpReply | null) => void) | null = null;
  private received: Buffer = Buffer.alloc(0);

  constructor(private readonly bytes: ByteCount = { sent: 0, received: 0 }) {}

  close(): void {
    const { socket } = this;
    this.socket = null;
    socket?.destroy();
    this.finish(null);
  }

  /** The reply; null: the connection failed, or none came within `timeoutMs`. One request at a time. */
  request(
    address: string,
    method: string,
    path: string,
    body: string,
    timeoutMs: number,
  ): Promise<HttpReply | null> {
    return new Promise((done) => {
      if (this.address !== address) this.close();
      this.address = address;
      const socket = this.socket ?? this.connect(address);
      const timer = setTimeout(() => this.close(), timeoutMs);
      this.waiting = (reply) => {
        clearTimeout(timer);
        done(reply);
      };
      const length = Buffer.byteLength(body);
      const request =
        `${method} ${path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n` +
        `Content-Length: ${length}${HEAD_END}${body}`;
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
      if (this.socket === socket) this.read(data);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      if (this.socket !== socket) return;
      this.socket = null;
      this.finish(null);
    });
    return socket;
  }

  private read(data: Buffer): void {
    this.bytes.received += data.length;
    this.received = this.received.length === 0 ? data : Buffer.concat([this.received, data]);
    const head = this.received.indexOf(HEAD_END);
    if (head < 0) return;
    const text = this.received.toString('latin1', 0, head);
    const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    const end = head + HEAD_END.length + length;
    if (this.received.length < end) return;
    const body = this.received.toString('utf8', head + HEAD_END.length, end);
    this.received = this.received.subarray(end);
    this.finish({
      status: Number(text.slice(STATUS_FROM, STATUS_FROM + STATUS_DIGITS)),
      body,
      retryAfterS: Number(/retry-after: (\d+)/i.exec(text)?.[1] ?? 0),
    });
  }

  private finish(reply: HttpReply | null): void {
    const waiting = this.waiting;
    this.waiting = null;
    waiting?.(reply);
  }
}
