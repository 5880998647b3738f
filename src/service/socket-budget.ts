import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_CLOUD_SOCKETS } from '../cloud/constants.js';
import {
  CLOSE_AFTER_RESPONSE_SHARE,
  DIRECT_COMMAND_SOCKET_SHARE,
  PEER_SOCKETS,
  RESERVED_SOCKETS,
} from './constants.js';
import { MAX_STORE_SOCKETS } from '../store/constants.js';

/**
 * Inbound connections of a server. Workers and users keep theirs open, and one survivor may have more workers
 * than sockets: so from some share of the limit on each answer closes its connection, and the sockets go
 * round. Then a report costs a connection of its own, but every worker is heard.
 */
export class InboundConnections {
  #open = 0;

  constructor(
    server: Server,
    private readonly maxConnections: number,
  ) {
    // Beyond this a connection is closed at once, and its worker or the load balancer tries another node.
    server.maxConnections = maxConnections;
    server.on('connection', (socket: Socket) => {
      this.#open += 1;
      socket.once('close', () => (this.#open -= 1));
    });
  }

  /** To be called with each response before it is sent. */
  onResponse(response: Pick<ServerResponse, 'setHeader'>): void {
    if (this.#open > this.maxConnections * CLOSE_AFTER_RESPONSE_SHARE)
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
    direct + MAX_STORE_SOCKETS + MAX_CLOUD_SOCKETS + peers * PEER_SOCKETS + RESERVED_SOCKETS;
  return { directCommands: direct, inboundConnections: Math.max(1, maxConnections - others) };
};
