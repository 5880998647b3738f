/** Inbound connections of the peers' listener, and the bounds on those over which no whole status has arrived. */
import type { Socket } from 'node:net';
import { MAX_UNIDENTIFIED_CONNECTIONS, STATUS_TIMEOUT_MS } from './constants.js';

/**
 * Tracks inbound connections. Only those over which a status has arrived are taken for peers: of the others the oldest
 * is closed when there are too many. Every connection is closed when no status arrives for `STATUS_TIMEOUT_MS`.
 */
export class InboundPeerConnections {
  /** connections without a status, oldest first */
  readonly #unidentified = new Set<Socket>();
  /** connections over which a status has arrived since their timer last ended */
  readonly #heardFrom = new Set<Socket>();
  readonly #timers = new Map<Socket, NodeJS.Timeout>();

  /** Tracks a new connection until it is closed. */
  add(socket: Socket): void {
    this.#unidentified.add(socket);
    const timer = setTimeout(() => this.#closeIfSilent(socket), STATUS_TIMEOUT_MS);
    this.#timers.set(socket, timer);
    socket.once('close', () => {
      clearTimeout(timer);
      this.#timers.delete(socket);
      this.#heardFrom.delete(socket);
      this.#unidentified.delete(socket);
    });
    if (this.#unidentified.size > MAX_UNIDENTIFIED_CONNECTIONS) this.#closeOldestUnidentified();
  }

  /** Records that a whole status has arrived over the connection. */
  recordStatus(socket: Socket): void {
    this.#unidentified.delete(socket);
    this.#heardFrom.add(socket);
    this.#timers.get(socket)?.refresh();
  }

  #closeOldestUnidentified(): void {
    for (const socket of this.#unidentified) {
      this.#unidentified.delete(socket);
      socket.destroy();
      return;
    }
  }

  /** After a pause of this process its timers end first, so what has arrived meanwhile is read before the decision. */
  #closeIfSilent(socket: Socket): void {
    this.#heardFrom.delete(socket);
    setImmediate(() => {
      if (!this.#heardFrom.has(socket)) socket.destroy();
    });
  }
}
