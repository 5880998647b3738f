/** Status gossip between the nodes: one outbound connection to each peer, one message to all per interval. */
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
import { parseAddress } from '../transport/address.js';

/** Another node of the service. */
export interface Peer {
  readonly node: string;
  readonly address: string;
}

/** The newest status of a peer. */
interface ReceivedStatus {
  readonly status: PeerStatus;
  /** when it arrived, monotonic ms */
  readonly receivedAt: number;
  /** `sentAt` of the newest message of ours that the peer acknowledged; -Infinity if none of this incarnation */
  readonly acknowledgedAt: number;
}

/** What a node tells of itself; the gossip adds the envelope. */
export type OwnStatus = Omit<PeerStatus, 'node' | 'incarnation' | 'sentAt' | 'echoes' | 'detailed'>;

/** A brief status, completed with the details of the last detailed one. */
const mergeDetails = (status: PeerStatus, last: PeerStatus): PeerStatus => ({
  ...status,
  jobs: last.jobs,
  shards: status.shards.map((p) => ({
    ...p,
    images: last.shards.find((x) => x.shard === p.shard)?.images ?? [],
  })),
});

/** Gossip intervals without any traffic after which a connection is closed. */
const IDLE_TIMEOUT_INTERVALS = 5;

/** What the gossip needs of the rest of the node. */
export interface GossipDependencies {
  readonly node: string;
  readonly incarnation: string;
  readonly peers: readonly Peer[];
  /** this node's status for the message that leaves at `sentAt` */
  readonly ownStatus: (detailed: boolean, sentAt: number) => OwnStatus;
  /**
   * Told of every new status. `acknowledgedAt` is the `sentAt` of the newest message of ours that its sender had
   * received; -Infinity if none of this incarnation.
   */
  readonly onStatus: (status: PeerStatus, acknowledgedAt: number) => void;
  readonly now: () => number;
  readonly log: Logger;
}

/** Sends this node's status to every peer once per interval and keeps the newest status of each. */
export class Gossip {
  readonly #received = new Map<string, ReceivedStatus>();
  readonly #outbound = new Map<string, Socket>();
  readonly #encoder: StatusEncoder;
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

  /** Accepts the peers' connections on `address` (`HOST:PORT`) and starts to broadcast; resolves once it listens. */
  listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    const server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      const decoder = new StatusDecoder();
      decoder.on('data', (status: PeerStatus) => this.#receive(status));
      // Errors end this connection only; the peer dials again.
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
    // An echo of an earlier incarnation of ours counts by another clock.
    const isOurs = (echo: Echo) =>
      echo.node === node && (echo.incarnation === '' || echo.incarnation === incarnation);
    const acknowledgedAt = status.echoes.find(isOurs)?.sentAt ?? -Infinity;
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

  /** Broadcasts soon, without waiting for the interval: there is a cancellation to pass on. */
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

  /** The same bytes go to every peer; one that is behind with reading is skipped, so that no buffer grows. */
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

  /** Peers that acknowledged a message of ours within `PEER_FRESH_MS`: both directions work. */
  reachable(): PeerStatus[] {
    const since = this.dependencies.now() - PEER_TIMEOUT_MS;
    return [...this.#received.values()]
      .filter(({ acknowledgedAt }) => acknowledgedAt >= since)
      .map(({ status }) => status);
  }

  /** The newest status of every peer, however old, the newest first: for what changes slowly. */
  latest(): PeerStatus[] {
    return [...this.#received.values()]
      .sort((a, b) => b.receivedAt - a.receivedAt)
      .map(({ status }) => status);
  }

  /** Statuses that arrived within `PEER_FRESH_MS`. */
  recent(): PeerStatus[] {
    const since = this.dependencies.now() - PEER_TIMEOUT_MS;
    return [...this.#received.values()]
      .filter(({ receivedAt: at }) => at >= since)
      .map(({ status }) => status);
  }

  /** Ends the broadcast and all connections. */
  close(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    if (this.#flushTimer !== null) clearTimeout(this.#flushTimer);
    this.#server?.close();
    for (const socket of this.#sockets) socket.destroy();
  }
}
