/**
 * Bounds on connections that have not sent a whole request yet. Such a connection is closed after a time by the HTTP
 * server; here the oldest ones are closed earlier when their sockets or their buffered bodies are needed.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { MAX_INCOMPLETE_BODIES, MIN_INCOMPLETE_AGE_MS } from './constants.js';

/** Whether a body follows the head of the request. */
const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Tracks the connections of one server whose first head, or whose present body, is still being received. */
export class IncompleteRequests {
  /** connections without a whole head, by the time of their beginning, oldest first */
  readonly #heads = new Map<Socket, number>();
  /** connections without a whole body, by the time of its beginning, oldest first */
  readonly #bodies = new Map<Socket, number>();

  /** `now`: monotonic ms */
  constructor(private readonly now: () => number = () => performance.now()) {}

  /** Records a new connection. */
  awaitHead(socket: Socket): void {
    this.#heads.set(socket, this.now());
    socket.once('close', () => {
      this.#heads.delete(socket);
      this.#bodies.delete(socket);
    });
  }

  /** Records that the head of a request is whole, and follows its body. */
  receiveBody(request: IncomingMessage): void {
    const { socket } = request;
    this.#heads.delete(socket);
    if (!hasBody(request)) return;
    this.#bodies.set(socket, this.now());
    request.once('end', () => this.#bodies.delete(socket));
  }

  /** Number of bodies that are being received beyond those that may be buffered. */
  get excessBodies(): number {
    return Math.max(0, this.#bodies.size - MAX_INCOMPLETE_BODIES);
  }

  /** Closes the connections of bodies beyond those that may be buffered, the oldest first. */
  closeExcessBodies(): void {
    this.#closeOldest(this.#bodies, this.excessBodies);
  }

  /** Closes up to `count` connections, those that have taken longest to send a request first. */
  close(count: number): void {
    const closed = this.#closeOldest(this.#heads, count);
    this.#closeOldest(this.#bodies, count - closed);
  }

  /** Spares connections whose bytes may have arrived while this process was busy. Returns how many were closed. */
  #closeOldest(connections: Map<Socket, number>, count: number): number {
    let closed = 0;
    for (const [socket, since] of connections) {
      if (closed >= count || this.now() - since < MIN_INCOMPLETE_AGE_MS) break;
      connections.delete(socket);
      socket.destroy();
      closed += 1;
    }
    return closed;
  }
}
