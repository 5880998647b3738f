/** HTTP with CBOR bodies, for the stand-ins and the users of a case. */
import { Buffer } from 'node:buffer';
import { URL } from 'node:url';
import { setTimeout, clearTimeout } from 'node:timers';
import { decode, encode } from 'cborg';
import { createServer, request } from 'node:http';

/** The protocol's limit on request bodies, and on responses to workers and users. */
const MAX_BODY_BYTES = 64 * 1024;

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const readAll = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const decodeBody = (bytes) => (bytes.length === 0 ? null : decode(bytes));

/**
 * Serves CBOR requests on a free port of 127.0.0.1. `handle` gets method, path, query and body and returns
 * `{ status, body }`, or null if the request shall never be answered.
 */
export const serve = async (handle, port = 0) => {
  const server = createServer((incoming, outgoing) => {
    void (async () => {
      try {
        const bytes = await readAll(incoming);
        const url = new URL(incoming.url, 'http://stand-in');
        const reply =
          bytes.length > MAX_BODY_BYTES
            ? { status: 400, body: { error: 'body over the limit' } }
            : await handle({
                method: incoming.method,
                path: decodeURIComponent(url.pathname),
                query: url.searchParams,
                body: decodeBody(bytes),
                socket: incoming.socket,
              });
        if (reply === null) return;
        const answer = Buffer.from(encode(reply.body));
        outgoing.writeHead(reply.status, {
          'content-type': 'application/cbor',
          'content-length': answer.length,
        });
        outgoing.end(answer);
      } catch {
        incoming.socket.destroy();
      }
    })();
  });
  server.keepAliveTimeout = 120_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};

/**
 * Sends one request over a new connection. Resolves with `{ status, body }`, or with null without an answer in time, or
 * with one over the protocol's limit.
 */
export const call = (address, method, path, body, timeoutMs) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const bytes = body === undefined ? null : Buffer.from(encode(body));
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers:
        bytes === null
          ? {}
          : { 'content-type': 'application/cbor', 'content-length': bytes.length },
    });
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on('error', () => finish(null));
    outgoing.on('response', (incoming) => {
      readAll(incoming)
        .then((answer) => {
          if (answer.length > MAX_BODY_BYTES) finish(null);
          else finish({ status: incoming.statusCode, body: decodeBody(answer) });
        })
        .catch(() => finish(null));
    });
    outgoing.end(bytes ?? undefined);
  });

/** Ports below the ephemeral ones of the system, which no other socket gets between two starts of a controller. */
const PORTS = { from: 12_000, count: 18_000 };

/** Returns free ports of 127.0.0.1. */
export const freePorts = async (count) => {
  const ports = [];
  while (ports.length < count) {
    const port = PORTS.from + Math.floor(Math.random() * PORTS.count);
    const server = await serve(() => null, port).catch(() => null);
    server?.close();
    if (server !== null && !ports.includes(port)) ports.push(port);
  }
  return ports;
};
