import { connect, createServer, type Server, type Socket } from 'node:net';
import { finished, pipeline } from 'node:stream';
import type { Logger } from 'pino';
import { SUMMARY_MS } from '../constants.js';
import { DETAIL_EVERY, GOSSIP_MS, PEER_FRESH_MS, CANCELLATION_FLUSH_MS } from './constants.js';
import { StatusDecoder, StatusEncoder, type PeerStatus } from './frames.js';

export interface Peer {
  readonly node: string;
  readonly address: string;
}

interface Heard {
  readonly status: PeerStatus;
  readonly at: number;
  /** our own clock when the peer last had word from us, by its echo */
  readonly echoed: number;
}

/** What a node says of itself; the rest of a status is the talk's own matter. */
export type OwnStatus = Omit<PeerStatus, 'node' | 'incarnation' | 'sentAt' | 'echoes' | 'detailed'>;

/** A short status with the details of the last long one. */
const withDetails = (status: PeerStatus, last: PeerStatus): PeerStatus => ({
  ...status,
  jobs: last.jobs,
  parts: status.parts.map((p) => ({
    ...p,
    images: last.parts.find((x) => x.part === p.part)?.images ?? [],
  })),
});

/** Sends this node's status to every peer and keeps the newest status of each. */
export class Gossip {
  readonly #heard = new Map<string, Heard>();
  readonly #out = new Map<string, Socket>();
  readonly #encoder: StatusEncoder;
  #lastTooLong = -Infinity;
  #ticks = 0;
  readonly #sockets = new Set<Socket>();
  #server: Server | null = null;
  #timer: NodeJS.Timeout | null = null;
  #flushTimer: NodeJS.Timeout | null = null;

  constructor(
    private readonly me: string,
    private readonly incarnation: string,
    private readonly peers: readonly Peer[],
    private readonly status: (detailed: boolean, sentAt: number) => OwnStatus,
    /** every message, with the time of ours that its sender had before; -Infinity: none of this life */
    private readonly onHeard: (status: PeerStatus, echoed: number) => void,
    private readonly now: () => number,
    private readonly log: Logger,
  ) {
    this.#encoder = new StatusEncoder((bytes) => this.#tooLong(bytes));
    this.#encoder.on('data', (bytes: Buffer) => this.#send(bytes));
  }

  listen(address: string): Promise<void> {
    const [host, port] = split(address);
    const server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      const decoder = new StatusDecoder();
      decoder.on('data', (status: PeerStatus) => this.#hear(status));
      // Errors end this connection only; the peer dials again.
      pipeline(socket, decoder, () => undefined);
    });
    this.#server = server;
    this.#timer = setInterval(() => this.#tick(), GOSSIP_MS);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  #hear(status: PeerStatus): void {
    const known = this.#heard.get(status.node);
    const sameLife = known?.status.incarnation === status.incarnation;
    if (sameLife && known.status.sentAt >= status.sentAt) return;
    // An echo of an earlier life of ours counts by another clock.
    const mine = (e: PeerStatus['echoes'][number]) =>
      e.node === this.me && (e.incarnation === '' || e.incarnation === this.incarnation);
    const echoed = status.echoes.find(mine)?.sentAt ?? -Infinity;
    const whole = status.detailed || !sameLife ? status : withDetails(status, known.status);
    this.#heard.set(status.node, { status: whole, at: this.now(), echoed });
    this.onHeard(status, echoed);
  }

  #tick(): void {
    const detailed = this.#ticks % DETAIL_EVERY === 0;
    this.#ticks += 1;
    this.#say(detailed);
  }

  #say(detailed: boolean): void {
    const echoes = [...this.#heard].map(([node, { status }]) => {
      return { node, sentAt: status.sentAt, incarnation: status.incarnation };
    });
    const sentAt = this.now();
    const { me: node, incarnation } = this;
    const status = this.status(detailed, sentAt);
    this.#encoder.write({ node, incarnation, sentAt, detailed, echoes, ...status });
  }

  /** There is something that the others should know before the next regular message. */
  flush(): void {
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = null;
      this.#say(false);
    }, CANCELLATION_FLUSH_MS);
  }

  #tooLong(bytes: number): void {
    const now = this.now();
    if (now - this.#lastTooLong < SUMMARY_MS) return;
    this.#lastTooLong = now;
    this.log.info({ bytes }, 'status too long for a message: images or progress are left out');
  }

  /** The same bytes go to every peer; one that does not take them gets none added to the pile. */
  #send(bytes: Buffer): void {
    for (const peer of this.peers) {
      const out = this.#out.get(peer.node) ?? this.#dial(peer);
      if (!out.writableNeedDrain) out.write(bytes);
    }
  }

  #dial(peer: Peer): Socket {
    const [host, port] = split(peer.address);
    const socket = connect(port, host);
    socket.setTimeout(GOSSIP_MS * 5, () => socket.destroy());
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    this.#out.set(peer.node, socket);
    socket.resume();
    finished(socket, (error) => {
      this.#sockets.delete(socket);
      if (this.#out.get(peer.node) === socket) this.#out.delete(peer.node);
      socket.destroy();
      if (error) this.log.debug({ peer: peer.node, error: error.message }, 'peer connection ended');
    });
    return socket;
  }

  /** Peers with word from them that is newer than `PEER_FRESH_MS`, proven by their echo of ours. */
  fresh(): PeerStatus[] {
    const since = this.now() - PEER_FRESH_MS;
    return [...this.#heard.values()].filter((h) => h.echoed >= since).map((h) => h.status);
  }

  /** The newest word of every peer, however old: for what changes slowly. */
  latest(): PeerStatus[] {
    return [...this.#heard.values()].sort((a, b) => b.at - a.at).map((h) => h.status);
  }

  heard(): PeerStatus[] {
    const since = this.now() - PEER_FRESH_MS;
    return [...this.#heard.values()].filter((h) => h.at >= since).map((h) => h.status);
  }

  close(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    if (this.#flushTimer !== null) clearTimeout(this.#flushTimer);
    this.#server?.close();
    for (const s of this.#sockets) s.destroy();
  }
}

const split = (address: string): [string, number] => {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
};
