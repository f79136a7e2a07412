// A TCP proxy that passes, holds (silent: data and new connections wait and are delivered in order later), refuses or resets.
import net from 'node:net';

export class Proxy {
  constructor(target) {
    this.target = target;
    this.mode = 'pass';
    this.pairs = new Set();
  }
  async open() {
    this.server = net.createServer((client) => this.accept(client));
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }
  accept(client) {
    client.on('error', () => undefined);
    if (this.mode === 'refuse') return client.destroy();
    const [host, port] = this.target.split(':');
    const server = net.connect({ host, port: Number(port) });
    const pair = { client, server };
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      client.destroy();
      server.destroy();
    };
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', () => (this.mode === 'hold' ? (pair.closed = true) : end()));
      socket.on('end', () => (this.mode === 'hold' ? (pair.closed = true) : undefined));
    }
    client.on('data', (data) => server.write(data));
    server.on('data', (data) => client.writable && client.write(data));
    if (this.mode === 'hold') this.pause(pair);
    return undefined;
  }
  pause({ client, server }) {
    client.pause();
    server.pause();
  }
  set(mode) {
    this.mode = mode;
    for (const pair of [...this.pairs]) {
      if (mode === 'hold') this.pause(pair);
      else if (mode === 'refuse') {
        pair.client.resetAndDestroy();
        pair.server.resetAndDestroy();
      } else {
        pair.client.resume();
        pair.server.resume();
        if (pair.closed) setImmediateEnd(pair);
      }
    }
  }
  close() {
    this.server.close();
    for (const { client, server } of this.pairs) {
      client.destroy();
      server.destroy();
    }
  }
}

const setImmediateEnd = ({ client, server }) => {
  client.end();
  server.end();
};
