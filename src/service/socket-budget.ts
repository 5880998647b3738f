import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_CLOUD_SOCKETS } from '../cloud/constants.js';
import { CROWDED_SHARE, DIRECT_SHARE, PEER_SOCKETS, SPARE_SOCKETS } from './constants.js';
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
    private readonly most: number,
  ) {
    // Beyond this a connection is closed at once, and its worker or the load balancer tries another node.
    server.maxConnections = most;
    server.on('connection', (socket: Socket) => {
      this.#open += 1;
      socket.once('close', () => (this.#open -= 1));
    });
  }

  /** To be called with each response before it is sent. */
  answering(response: Pick<ServerResponse, 'setHeader'>): void {
    if (this.#open > this.most * CROWDED_SHARE) response.setHeader('Connection', 'close');
  }
}

export interface SocketShares {
  /** direct commands to workers at the same time */
  readonly direct: number;
  /** connections of workers and users */
  readonly inbound: number;
}

/** What each use may have of the sockets that the platform allows this process. */
export const shareSockets = (most: number, peers: number): SocketShares => {
  const direct = Math.max(1, Math.floor(most * DIRECT_SHARE));
  const others =
    direct + MAX_STORE_SOCKETS + MAX_CLOUD_SOCKETS + peers * PEER_SOCKETS + SPARE_SOCKETS;
  return { direct, inbound: Math.max(1, most - others) };
};
