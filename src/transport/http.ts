/** HTTP with CBOR bodies: the client for all peers, and what the server side reads and answers with. */
import { Agent, request, type IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type Koa from 'koa';
import { MAX_BODY_BYTES } from './constants.js';
import { decodeCbor, encodeCbor } from '../wire/cbor.js';

/**
 * A request got no answer in time, or none that could be read. It may have been carried out, or may yet
 * be, unless `connected` is false.
 */
export class NoResponseError extends Error {
  constructor(
    message: string,
    /** false if no connection came about, so that the server cannot have seen the request */
    readonly connected: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** An answer of any status. */
export interface CborResponse {
  readonly status: number;
  /** null if the answer has no body */
  readonly body: unknown;
}

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/**
 * Reads a stream up to `limitBytes`; null if it is longer. Works on events, since it runs for every
 * request and iterating the stream costs more.
 */
export const readStream = (stream: Readable, limitBytes: number): Promise<Buffer | null> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        stream.pause();
        resolve(null);
      } else chunks.push(chunk);
    });
    stream.once('end', () => {
      resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, size));
    });
    stream.once('error', reject);
    stream.once('close', () => {
      reject(new Error('closed before its end'));
    });
  });

const readResponse = async (response: IncomingMessage): Promise<CborResponse> => {
  const bytes = await readStream(response, Infinity);
  const status = response.statusCode ?? 0;
  const empty = bytes === null || bytes.length === 0 || STATUSES_WITHOUT_BODY.has(status);
  return { status, body: empty ? null : decodeCbor(bytes) };
};

/** Requests with CBOR bodies to one server, over connections that stay open. */
export class CborClient {
  readonly #agent: Agent;
  readonly #host: string;
  readonly #port: number;

  constructor(address: string, maxSockets: number) {
    const colon = address.lastIndexOf(':');
    this.#host = address.slice(0, colon);
    this.#port = Number(address.slice(colon + 1));
    this.#agent = new Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets });
  }

  /** Sends one request; rejects with `NoResponseError` without an answer within `timeoutMs`. */
  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<CborResponse> {
    return new Promise((resolve, reject) => {
      const bytes = body === undefined ? null : encodeCbor(body);
      const clientRequest = request({
        host: this.#host,
        port: this.#port,
        method,
        path,
        agent: this.#agent,
        headers:
          bytes === null
            ? {}
            : { 'content-type': 'application/cbor', 'content-length': bytes.length },
      });
      // A connection of the agent's that is open already counts as connected.
      let connected = false;
      clientRequest.on('socket', (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once('connect', () => (connected = true));
      });
      // One limit for the whole call: a server that trickles bytes is as bad as a silent one.
      const timer = setTimeout(() => {
        const message = `${method} ${path}: no answer within ${timeoutMs} ms`;
        clientRequest.destroy(new NoResponseError(message, connected));
      }, timeoutMs);
      const fail = (error: Error) => {
        clearTimeout(timer);
        const message = `${method} ${path}: no answer (${error.message})`;
        reject(
          error instanceof NoResponseError
            ? error
            : new NoResponseError(message, connected, { cause: error }),
        );
      };
      clientRequest.on('error', fail);
      clientRequest.on('response', (response) => {
        response.on('error', fail);
        readResponse(response)
          .then((result) => {
            clearTimeout(timer);
            resolve(result);
          })
          .catch(fail);
      });
      clientRequest.end(bytes ?? undefined);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}

/** Answers with a CBOR body. Koa's own way of sending would dominate the cost of a heartbeat. */
export const sendCbor = (ctx: Koa.Context, status: number, body: unknown): void => {
  const bytes = encodeCbor(body);
  ctx.respond = false;
  ctx.res.statusCode = status;
  ctx.res.setHeader('Content-Type', 'application/cbor');
  ctx.res.setHeader('Content-Length', bytes.length);
  ctx.res.end(bytes);
};

/** Reads a request body; null if it is over the protocol's limit. */
export const readBody = (stream: Readable): Promise<Buffer | null> =>
  readStream(stream, MAX_BODY_BYTES);
