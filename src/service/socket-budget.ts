/** Division of the process's sockets among their uses, and the limit on inbound connections. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_CLOUD_SOCKETS } from '../cloud/constants.js';
import {
  CLOSE_AFTER_RESPONSE_THRESHOLD,
  DIRECT_COMMAND_SOCKET_SHARE,
  INCOMPLETE_CLOSE_THRESHOLD,
  MIN_INCOMPLETE_AGE_MS,
  SOCKETS_PER_PEER,
  RESERVED_SOCKETS,
} from './constants.js';
import { IncompleteRequests } from './incomplete-requests.js';
import { MAX_STORE_SOCKETS } from '../store/constants.js';

/**
 * Limits the inbound connections of a server. Workers and users use persistent connections, and the only surviving
 * node may have more workers than sockets. Above `CLOSE_AFTER_RESPONSE_THRESHOLD` every response therefore closes its
 * connection: each heartbeat then costs a new connection, but every worker gets its turn. Connections that do not send
 * a whole request make room for others.
 */
export class InboundConnections {
  #openConnections = 0;
  readonly #incomplete = new IncompleteRequests();
  #reclaimTimer: NodeJS.Timeout | null = null;

  constructor(
    server: Server,
    private readonly maxConnections: number,
  ) {
    // The server closes connections above this limit on arrival; the worker or load balancer then tries another node.
    server.maxConnections = maxConnections;
    server.on('connection', (socket: Socket) => {
      this.#openConnections += 1;
      socket.once('close', () => (this.#openConnections -= 1));
      this.#incomplete.awaitHead(socket);
      this.#scheduleReclaim();
    });
  }

  /** Number of open connections beyond which those without a whole request are closed. */
  get #excess(): number {
    return this.#openConnections - Math.floor(this.maxConnections * INCOMPLETE_CLOSE_THRESHOLD);
  }

  #scheduleReclaim(): void {
    const isNeeded = this.#excess > 0 || this.#incomplete.excessBodies > 0;
    if (!isNeeded || this.#reclaimTimer !== null) return;
    this.#reclaimTimer = setTimeout(() => {
      this.#reclaimTimer = null;
      // After a pause of this process its timers end first, so what has arrived meanwhile is read before the decision.
      setImmediate(() => this.#reclaim());
    }, MIN_INCOMPLETE_AGE_MS);
    this.#reclaimTimer.unref();
  }

  #reclaim(): void {
    this.#incomplete.closeExcessBodies();
    this.#incomplete.close(this.#excess);
    if (this.#incomplete.excessBodies > 0) this.#scheduleReclaim();
  }

  /** Must be called for each request once its head is whole, before its body is read. */
  beforeResponse(request: IncomingMessage, response: Pick<ServerResponse, 'setHeader'>): void {
    this.#incomplete.receiveBody(request);
    this.#scheduleReclaim();
    if (this.#openConnections > this.maxConnections * CLOSE_AFTER_RESPONSE_THRESHOLD)
      response.setHeader('Connection', 'close');
  }
}

/** Number of sockets for each use. */
export interface SocketBudget {
  /** direct commands to workers that may be in flight at a time */
  readonly directCommands: number;
  /** connections from workers and users that may be open at a time */
  readonly inboundConnections: number;
}

/** Divides the `maxSockets` sockets that the platform allows this process among their uses. */
export const socketBudget = (maxSockets: number, peers: number): SocketBudget => {
  const directCommands = Math.max(1, Math.floor(maxSockets * DIRECT_COMMAND_SOCKET_SHARE));
  const reserved =
    directCommands +
    MAX_STORE_SOCKETS +
    MAX_CLOUD_SOCKETS +
    peers * SOCKETS_PER_PEER +
    RESERVED_SOCKETS;
  return { directCommands, inboundConnections: Math.max(1, maxSockets - reserved) };
};
