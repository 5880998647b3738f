import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_CLOUD_SOCKETS } from '../cloud/constants.js';
import {
  CLOSE_AFTER_RESPONSE_THRESHOLD,
  DIRECT_COMMAND_SOCKET_SHARE,
  SOCKETS_PER_PEER,
  RESERVED_SOCKETS,
} from './constants.js';
import { MAX_STORE_SOCKETS } from '../store/constants.js';

/**
 * Inbound connections of a server. Workers and users keep theirs open, and one survivor may have more workers
 * than sockets: so from some share of the limit on each answer closes its connection, and the sockets go
 * round. Then a report costs a connection of its own, but every worker is heard.
 */
export class InboundConnections {
  #openConnections = 0;

  constructor(
    server: Server,
    private readonly maxConnections: number,
  ) {
    // Beyond this a connection is closed at once, and its worker or the load balancer tries another node.
    server.maxConnections = maxConnections;
    server.on('connection', (socket: Socket) => {
      this.#openConnections += 1;
      socket.once('close', () => (this.#openConnections -= 1));
    });
  }

  /** To be called with each response before it is sent. */
  beforeResponse(response: Pick<ServerResponse, 'setHeader'>): void {
    if (this.#openConnections > this.maxConnections * CLOSE_AFTER_RESPONSE_THRESHOLD)
      response.setHeader('Connection', 'close');
  }
}

/** How the sockets of this process are shared out. */
export interface SocketBudget {
  /** direct commands to workers at the same time */
  readonly directCommands: number;
  /** connections of workers and users */
  readonly inboundConnections: number;
}

/** What each use may have of the sockets that the platform allows this process. */
export const socketBudget = (maxConnections: number, peers: number): SocketBudget => {
  const direct = Math.max(1, Math.floor(maxConnections * DIRECT_COMMAND_SOCKET_SHARE));
  const others =
    direct + MAX_STORE_SOCKETS + MAX_CLOUD_SOCKETS + peers * SOCKETS_PER_PEER + RESERVED_SOCKETS;
  return { directCommands: direct, inboundConnections: Math.max(1, maxConnections - others) };
};
