import { createServer, type Server } from 'node:http';
import Koa, { type Middleware } from 'koa';
import type { Logger } from 'pino';
import { parseAddress } from '../transport/address.js';
import { REQUEST_TIMEOUT_MS } from './constants.js';
import { InboundConnections } from './socket-budget.js';

/** How connections of workers and users are bounded. */
export interface ConnectionLimits {
  /** connections at once */
  readonly maxConnections: number;
  /** ms after which an idle connection is closed */
  readonly idleTimeoutMs: number;
  /** told of each connection that was closed at once for want of room */
  readonly onDropped: () => void;
}

/** The HTTP server that workers, users and health checks reach. */
export class HttpServer {
  #server: Server | null = null;

  constructor(private readonly log: Logger) {}

  /** Serves on `address` (`HOST:PORT`); resolves once it listens. */
  async listen(
    routes: readonly Middleware[],
    address: string,
    limits: ConnectionLimits,
  ): Promise<void> {
    const app = new Koa();
    app.on('error', (error: Error) => this.log.debug({ error: error.message }, 'request failed'));
    for (const route of routes) app.use(route);
    const handler = app.callback();
    const server = createServer((request, response) => {
      connections.beforeResponse(response);
      void handler(request, response);
    });
    const connections = new InboundConnections(server, limits.maxConnections);
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.on('drop', limits.onDropped);
    this.#server = server;
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Ends all connections. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
