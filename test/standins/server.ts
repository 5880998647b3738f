import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readStream } from '../../src/transport/http.js';
import { decodeCbor, encodeCbor } from '../../src/wire/cbor.js';

export interface Request {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}
export type Reply = { readonly status: number; readonly body: unknown } | 'hang';

/** A loopback HTTP server with CBOR bodies, for stand-ins. */
export class StandInServer {
  #server: Server | null = null;
  address = '';
  /** the loopback address to listen on */
  host = '127.0.0.1';

  async listen(handle: (request: Request) => Reply | Promise<Reply>): Promise<void> {
    const server = createServer((req, res) => {
      void (async () => {
        const bytes = await readStream(req, Infinity);
        const url = new URL(req.url ?? '/', 'http://stand-in');
        const body = bytes === null || bytes.length === 0 ? null : decodeCbor(bytes);
        const path = decodeURIComponent(url.pathname);
        const method = req.method ?? 'GET';
        const reply = await handle({ method, path, query: url.searchParams, body });
        if (reply === 'hang') return;
        res.writeHead(reply.status, { 'content-type': 'application/cbor' });
        res.end(Buffer.from(encodeCbor(reply.body)));
      })();
    });
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(0, this.host, resolve));
    this.address = `${this.host}:${(server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
