import { connect, createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';

/** A way from one host to another that can be cut, as a packet filter between them would. */
export class Link {
  readonly #sockets = new Set<Socket>();
  #server: Server | null = null;
  #cut = false;
  address = '';

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

  set cut(cut: boolean) {
    this.#cut = cut;
    if (cut) for (const s of this.#sockets) s.destroy();
  }

  close(): void {
    this.cut = true;
    this.#server?.close();
  }
}
