/** HTTP with CBOR bodies: a client, and functions with which servers read requests and send answers. */
import { Agent, request, type IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type Koa from 'koa';
import { ByteCollector } from './byte-collector.js';
import { MAX_BODY_BYTES } from './constants.js';
import { decodeCbor, encodeCbor } from '../wire/cbor.js';

/**
 * A request got no answer in time, or none that could be decoded. The server may have executed it or may still do so,
 * unless `connected` is false.
 */
export class NoResponseError extends Error {
  constructor(
    message: string,
    /** false if no connection was established, so that the server cannot have received the request */
    readonly connected: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** An HTTP response of any status. */
export interface CborResponse {
  readonly status: number;
  /** decoded CBOR; null if the response has no body */
  readonly body: unknown;
}

const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/**
 * Reads a stream to its end; resolves with null if it is longer than `limitBytes`. Uses events instead of iterating
 * the stream, since it runs for every request and iteration costs more.
 */
export const readStream = (stream: Readable, limitBytes: number): Promise<Buffer | null> =>
  new Promise((resolve, reject) => {
    const collector = new ByteCollector(limitBytes);
    stream.on('data', (chunk: Buffer) => {
      if (collector.length + chunk.length > limitBytes) {
        stream.pause();
        resolve(null);
      } else collector.append(chunk);
    });
    stream.once('end', () => {
      resolve(collector.bytes);
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

/** Sends requests with CBOR bodies to one server over persistent connections. */
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

  /** Sends one request; rejects with a `NoResponseError` if no valid answer arrives within `timeoutMs`. */
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
      // A kept-alive socket of the agent is already connected and emits no `connect` event.
      let connected = false;
      clientRequest.on('socket', (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once('connect', () => (connected = true));
      });
      // The timeout covers the whole call, so that a server that sends its answer byte by byte cannot extend it.
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

  /** Closes all connections; calls in flight fail. */
  close(): void {
    this.#agent.destroy();
  }
}

/** Sends a response with a CBOR body, bypassing Koa, whose response handling would dominate the cost of a heartbeat. */
export const sendCbor = (ctx: Koa.Context, status: number, body: unknown): void => {
  const bytes = encodeCbor(body);
  ctx.respond = false;
  ctx.res.statusCode = status;
  ctx.res.setHeader('Content-Type', 'application/cbor');
  ctx.res.setHeader('Content-Length', bytes.length);
  ctx.res.end(bytes);
};

/** Reads a request body; resolves with null if it exceeds the protocol's limit. */
export const readBody = (stream: Readable): Promise<Buffer | null> =>
  readStream(stream, MAX_BODY_BYTES);
