/**
 * Status gossip between the nodes: each node keeps one outbound connection to every peer and sends all of them the
 * same message once per interval.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { finished, pipeline } from 'node:stream';
import type { Logger } from 'pino';
import { SUMMARY_INTERVAL_MS } from '../constants.js';
import {
  MESSAGES_PER_DETAILED_STATUS,
  GOSSIP_INTERVAL_MS,
  PEER_TIMEOUT_MS,
  CANCELLATION_FLUSH_DELAY_MS,
} from './constants.js';
import { StatusDecoder, StatusEncoder, type Echo, type PeerStatus } from './frames.js';
import { InboundPeerConnections } from './inbound-connections.js';
import { parseAddress } from '../transport/address.js';

/** Another node of the service. */
export interface Peer {
  readonly node: string;
  readonly address: string;
}

/** The newest status of a peer. */
interface ReceivedStatus {
  readonly status: PeerStatus;
  /** time of arrival, monotonic ms */
  readonly receivedAt: number;
  /** `sentAt` of the newest message of this incarnation that the peer has acknowledged; -Infinity if none */
  readonly acknowledgedAt: number;
}

/** The part of a status that the node provides; `Gossip` adds the envelope. */
export type OwnStatus = Omit<PeerStatus, 'node' | 'incarnation' | 'sentAt' | 'echoes' | 'detailed'>;

/** Completes a status that is not detailed with job progress and images of the last detailed one, `last`. */
const mergeDetails = (status: PeerStatus, last: PeerStatus): PeerStatus => ({
  ...status,
  jobs: last.jobs,
  shards: status.shards.map((shard) => ({
    ...shard,
    images: last.shards.find((other) => other.shard === shard.shard)?.images ?? [],
  })),
});

/** Gossip intervals without traffic after which an outbound connection is closed. */
const IDLE_TIMEOUT_INTERVALS = 5;

/** Dependencies of `Gossip`. */
export interface GossipDependencies {
  readonly node: string;
  readonly incarnation: string;
  readonly peers: readonly Peer[];
  /** returns this node's status for the message that is sent at `sentAt`, monotonic ms */
  readonly ownStatus: (detailed: boolean, sentAt: number) => OwnStatus;
  /**
   * Called with every new status. `acknowledgedAt` is the `sentAt` of the newest message of this incarnation that the
   * peer had received when it sent the status; -Infinity if none.
   */
  readonly onStatus: (status: PeerStatus, acknowledgedAt: number) => void;
  /** monotonic clock, ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** Sends this node's status to every peer once per interval and keeps the newest status of each. */
export class Gossip {
  /** newest status of each peer, by node */
  readonly #received = new Map<string, ReceivedStatus>();
  /** connections to peers, by node */
  readonly #outbound = new Map<string, Socket>();
  readonly #encoder: StatusEncoder;
  /** all open connections, outbound and inbound */
  readonly #sockets = new Set<Socket>();
  #lastOversizedAt = -Infinity;
  #intervalBroadcasts = 0;
  #server: Server | null = null;
  #timer: NodeJS.Timeout | null = null;
  #flushTimer: NodeJS.Timeout | null = null;

  constructor(private readonly dependencies: GossipDependencies) {
    this.#encoder = new StatusEncoder((bytes) => this.#warnOversized(bytes));
    this.#encoder.on('data', (bytes: Buffer) => this.#send(bytes));
  }

  /** Accepts connections of peers on `address` (`HOST:PORT`) and starts to broadcast; resolves once it listens. */
  listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    const inbound = new InboundPeerConnections();
    const server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      inbound.add(socket);
      const decoder = new StatusDecoder();
      decoder.on('data', (status: PeerStatus) => {
        inbound.recordStatus(socket);
        this.#receive(status);
      });
      // An error ends only this connection; the peer reconnects.
      pipeline(socket, decoder, () => undefined);
    });
    this.#server = server;
    this.#timer = setInterval(() => this.#broadcastAtInterval(), GOSSIP_INTERVAL_MS);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  #receive(status: PeerStatus): void {
    const { node, incarnation, onStatus, now } = this.dependencies;
    const known = this.#received.get(status.node);
    const sameIncarnation = known?.status.incarnation === status.incarnation;
    if (sameIncarnation && known.status.sentAt >= status.sentAt) return;
    // An echo of a message that an earlier incarnation of this node sent has a time of another monotonic clock.
    // An empty incarnation means that the peer has not set the field.
    const isAcknowledgement = (echo: Echo) =>
      echo.node === node && (echo.incarnation === '' || echo.incarnation === incarnation);
    const acknowledgedAt = status.echoes.find(isAcknowledgement)?.sentAt ?? -Infinity;
    const complete =
      status.detailed || !sameIncarnation ? status : mergeDetails(status, known.status);
    this.#received.set(status.node, { status: complete, receivedAt: now(), acknowledgedAt });
    onStatus(status, acknowledgedAt);
  }

  #broadcastAtInterval(): void {
    const detailed = this.#intervalBroadcasts % MESSAGES_PER_DETAILED_STATUS === 0;
    this.#intervalBroadcasts += 1;
    this.#broadcast(detailed);
  }

  #broadcast(detailed: boolean): void {
    const { node, incarnation, ownStatus, now } = this.dependencies;
    const echoes = [...this.#received].map(([peer, { status }]): Echo => {
      return { node: peer, sentAt: status.sentAt, incarnation: status.incarnation };
    });
    const sentAt = now();
    const status = ownStatus(detailed, sentAt);
    const message: PeerStatus = { node, incarnation, sentAt, detailed, echoes, ...status };
    this.#encoder.write(message);
  }

  /** Broadcasts after `CANCELLATION_FLUSH_DELAY_MS` instead of at the next interval, to pass on a cancellation. */
  broadcastSoon(): void {
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = null;
      this.#broadcast(false);
    }, CANCELLATION_FLUSH_DELAY_MS);
  }

  #warnOversized(bytes: number): void {
    const { now, log } = this.dependencies;
    const at = now();
    if (at - this.#lastOversizedAt < SUMMARY_INTERVAL_MS) return;
    this.#lastOversizedAt = at;
    log.info({ bytes }, 'status shortened');
  }

  /** Sends `bytes` to every peer, except those that read too slowly: otherwise their send buffers would grow. */
  #send(bytes: Buffer): void {
    for (const peer of this.dependencies.peers) {
      const socket = this.#outbound.get(peer.node) ?? this.#connect(peer);
      if (!socket.writableNeedDrain) socket.write(bytes);
    }
  }

  #connect(peer: Peer): Socket {
    const { host, port } = parseAddress(peer.address);
    const socket = connect(port, host);
    socket.setTimeout(GOSSIP_INTERVAL_MS * IDLE_TIMEOUT_INTERVALS, () => socket.destroy());
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    this.#outbound.set(peer.node, socket);
    socket.resume();
    finished(socket, (error) => {
      this.#sockets.delete(socket);
      if (this.#outbound.get(peer.node) === socket) this.#outbound.delete(peer.node);
      socket.destroy();
      if (error) {
        const fields = { peer: peer.node, error: error.message };
        this.dependencies.log.debug(fields, 'peer connection ended');
      }
    });
    return socket;
  }

  /**
   * Returns the statuses of the peers that have acknowledged a message sent within the last `PEER_TIMEOUT_MS`: both
   * directions of the connection work.
   */
  reachable(): PeerStatus[] {
    const since = this.dependencies.now() - PEER_TIMEOUT_MS;
    return [...this.#received.values()]
      .filter(({ acknowledgedAt }) => acknowledgedAt >= since)
      .map(({ status }) => status);
  }

  /** Returns the newest status of every peer regardless of age, newest first; for data that changes slowly. */
  latest(): PeerStatus[] {
    return [...this.#received.values()]
      .sort((a, b) => b.receivedAt - a.receivedAt)
      .map(({ status }) => status);
  }

  /** Returns the newest status of each peer from which one has arrived within the last `PEER_TIMEOUT_MS`. */
  recent(): PeerStatus[] {
    const since = this.dependencies.now() - PEER_TIMEOUT_MS;
    return [...this.#received.values()]
      .filter(({ receivedAt }) => receivedAt >= since)
      .map(({ status }) => status);
  }

  /** Stops broadcasting and closes all connections. */
  close(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    if (this.#flushTimer !== null) clearTimeout(this.#flushTimer);
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
