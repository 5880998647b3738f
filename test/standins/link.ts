/** TCP proxies between the stand-ins of a test, to simulate network partitions. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';

/** A TCP proxy from one host to another that can be cut, as a packet filter between them would do. */
export class Link {
  readonly #sockets = new Set<Socket>();
  #server: Server | null = null;
  #cut = false;
  /** `HOST:PORT` on which the proxy listens */
  address = '';

  /** Starts to forward connections to `target`, a `HOST:PORT`. */
  async open(target: string, listenOn = '127.0.0.1'): Promise<void> {
    const colon = target.lastIndexOf(':');
    const [host, port] = [target.slice(0, colon), Number(target.slice(colon + 1))];
    const server = createServer((client) => {
      if (this.#cut) {
        client.destroy();
        return;
      }
      const upstream = connect(port, host);
      for (const [source, destination] of [
        [client, upstream],
        [upstream, client],
      ] as const) {
        this.#sockets.add(source);
        source.on('error', () => destination.destroy());
        source.on('close', () => {
          this.#sockets.delete(source);
          destination.destroy();
        });
        source.pipe(destination);
      }
    });
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(0, listenOn, resolve));
    this.address = `${listenOn}:${(server.address() as AddressInfo).port}`;
  }

  /** While true, open connections are destroyed and new ones are destroyed at once. */
  set cut(cut: boolean) {
    this.#cut = cut;
    if (cut) for (const socket of this.#sockets) socket.destroy();
  }

  /** Destroys all connections and stops listening. */
  close(): void {
    this.cut = true;
    this.#server?.close();
  }
}
