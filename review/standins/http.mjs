/** CBOR over HTTP on loopback: a server with one handler, and single requests. */
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { decode, encode } from 'cborg';

const readAll = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/**
 * Serves on a free port of 127.0.0.1. The handler gets `{ method, path, query, body, raw }` and resolves with
 * `{ status, body }`, or with null: then the request gets no answer.
 */
export const serve = async (handler) => {
  const server = createServer((req, res) => {
    void (async () => {
      try {
        const raw = await readAll(req);
        const url = new URL(req.url, 'http://127.0.0.1');
        const body = raw.length === 0 ? null : decode(raw);
        const { pathname: path, searchParams: query } = url;
        const reply = await handler({ method: req.method, path, query, body, raw });
        if (reply === null) return;
        const bytes = Buffer.from(encode(reply.body ?? {}));
        res.writeHead(reply.status, {
          'content-type': 'application/cbor',
          'content-length': bytes.length,
        });
        res.end(bytes);
      } catch {
        res.destroy();
      }
    })();
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
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
 * Sends one request over a connection of its own. Resolves with `{ status, body, headers, bytes }`; rejects if there
 * is no answer within `timeoutMs`.
 */
export const call = (address, method, path, body, timeoutMs) =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const bytes = body === undefined ? null : Buffer.from(encode(body));
    const headers =
      bytes === null ? {} : { 'content-type': 'application/cbor', 'content-length': bytes.length };
    const req = request({ host, port: Number(port), method, path, headers, agent: false });
    const timer = setTimeout(() => req.destroy(new Error('no answer in time')), timeoutMs);
    const fail = (error) => {
      clearTimeout(timer);
      reject(error);
    };
    req.on('error', fail);
    req.on('response', (res) => {
      readAll(res).then((raw) => {
        clearTimeout(timer);
        const { statusCode: status, headers: answerHeaders } = res;
        resolve({ status, body: raw.length === 0 ? null : decode(raw), headers: answerHeaders });
      }, fail);
    });
    req.end(bytes ?? undefined);
  });

/** Returns the size of a message in the form that the protocol counts: as JSON. */
export const jsonBytes = (body) => Buffer.byteLength(JSON.stringify(body));

/** The protocol's limit for request bodies, and for responses to workers and users. */
export const BODY_LIMIT = 64 * 1024;
