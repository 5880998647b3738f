import {
  CLOUD_SOCKETS,
  DIRECT_SHARE,
  PEER_SOCKETS,
  SPARE_SOCKETS,
  STATE_SOCKETS,
} from './constants.js';

export interface SocketShares {
  /** direct commands to workers at the same time */
  readonly direct: number;
  /** connections of workers and users */
  readonly inbound: number;
}

/** What each use may have of the sockets that the platform allows this process. */
export const shareSockets = (most: number, peers: number): SocketShares => {
  const direct = Math.max(1, Math.floor(most * DIRECT_SHARE));
  const others = direct + STATE_SOCKETS + CLOUD_SOCKETS + peers * PEER_SOCKETS + SPARE_SOCKETS;
  return { direct, inbound: Math.max(1, most - others) };
};
