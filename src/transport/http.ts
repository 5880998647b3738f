import { Agent, request } from 'node:http';
import type { Readable } from 'node:stream';
import type Koa from 'koa';
import { MAX_BODY_BYTES } from './constants.js';
import { fromBytes, toBytes } from '../wire/cbor.js';

/** No answer: the request may have been carried out, or may yet be. */
export class NoResponseError extends Error {
  constructor(
    message: string,
    /** false if no connection came about, so that the request cannot have been seen */
    readonly connected: boolean,
  ) {
    super(message);
  }
}

export interface Response {
  readonly status: number;
  readonly body: unknown;
}

const JUST_STATUS = new Set([204, 304]);

/** Collects a stream up to `limit` bytes; null if it is longer. By events: it is done for every request. */
export const readStream = (stream: Readable, limit: number): Promise<Buffer | null> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    stream.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limit) {
        stream.pause();
        resolve(null);
      } else chunks.push(chunk);
    });
    stream.once('end', () =>
      resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, size)),
    );
    stream.once('error', reject);
    stream.once('close', () => reject(new Error('closed before its end')));
  });

/** Requests with CBOR bodies to one server, over connections that stay open. */
export class CborClient {
  readonly #agent: Agent;
  readonly #host: string;
  readonly #port: number;

  constructor(address: string, sockets: number) {
    const colon = address.lastIndexOf(':');
    this.#host = address.slice(0, colon);
    this.#port = Number(address.slice(colon + 1));
    this.#agent = new Agent({ keepAlive: true, maxSockets: sockets, maxFreeSockets: sockets });
  }

  call(method: string, path: string, body: unknown, timeoutMs: number): Promise<Response> {
    return new Promise((resolve, reject) => {
      const bytes = body === undefined ? null : toBytes(body);
      const req = request({
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
      req.on('socket', (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once('connect', () => (connected = true));
      });
      // One limit for the whole call: a server that trickles bytes is as bad as a silent one.
      const timer = setTimeout(() => {
        const text = `${method} ${path}: no answer within ${timeoutMs} ms`;
        req.destroy(new NoResponseError(text, connected));
      }, timeoutMs);
      const fail = (error: Error) => {
        clearTimeout(timer);
        reject(
          error instanceof NoResponseError ? error : new NoResponseError(error.message, connected),
        );
      };
      req.on('error', fail);
      req.on('response', (res) => {
        res.on('error', fail);
        readStream(res, Infinity)
          .then((data) => {
            clearTimeout(timer);
            const status = res.statusCode ?? 0;
            const empty = data === null || data.length === 0 || JUST_STATUS.has(status);
            resolve({ status, body: empty ? null : fromBytes(data) });
          })
          .catch(fail);
      });
      req.end(bytes ?? undefined);
    });
  }

  close(): void {
    this.#agent.destroy();
  }
}

/** Answers with a CBOR body. Koa's own way of sending costs more than all else that is done for a report. */
export const sendCbor = (ctx: Koa.Context, status: number, body: unknown): void => {
  const bytes = toBytes(body);
  ctx.respond = false;
  ctx.res.statusCode = status;
  ctx.res.setHeader('Content-Type', 'application/cbor');
  ctx.res.setHeader('Content-Length', bytes.length);
  ctx.res.end(bytes);
};

/** Reads a request body within the protocol's limit; null if it is over it. */
export const readBody = (stream: Readable): Promise<Buffer | null> =>
  readStream(stream, MAX_BODY_BYTES);
