/** Base class of stand-ins that are called over HTTP. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readStream } from '../../src/transport/http.js';
import { decodeCbor, encodeCbor } from '../../src/wire/cbor.js';

/** A request with its decoded body; null if there is none. */
export interface Request {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: unknown;
}
/** An answer, or `hang`: the request never gets one. */
export type Reply = { readonly status: number; readonly body: unknown } | 'hang';

/** An HTTP server on loopback that reads and writes CBOR bodies. */
export class StandInServer {
  #server: Server | null = null;
  /** `HOST:PORT` once it listens */
  address = '';
  /** loopback address to listen on */
  host = '127.0.0.1';

  /** Starts to listen on a free port of `host`. */
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

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
