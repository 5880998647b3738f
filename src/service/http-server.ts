/** The HTTP server of a node: one listener for workers, users and health checks. */
import { createServer, type Server } from 'node:http';
import Koa, { type Middleware } from 'koa';
import type { Logger } from 'pino';
import { parseAddress } from '../transport/address.js';
import { REQUEST_CHECK_INTERVAL_MS, REQUEST_TIMEOUT_MS } from './constants.js';
import { InboundConnections } from './socket-budget.js';

/** Limits on inbound connections. */
export interface ConnectionLimits {
  /** number of connections that may be open at a time */
  readonly maxConnections: number;
  /** time after which an idle connection is closed */
  readonly idleTimeoutMs: number;
  /** called for each connection that was closed on arrival because `maxConnections` were open */
  readonly onDropped: () => void;
}

/** Serves the routes of workers, users and health checks. */
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
    const timeouts = {
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: REQUEST_CHECK_INTERVAL_MS,
      keepAliveTimeout: limits.idleTimeoutMs,
    };
    const server = createServer(timeouts, (request, response) => {
      connections.beforeResponse(request, response);
      void handler(request, response);
    });
    const connections = new InboundConnections(server, limits.maxConnections);
    server.on('drop', limits.onDropped);
    this.#server = server;
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
