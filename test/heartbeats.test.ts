/** Responses of a node to the heartbeats of workers. */
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import Koa from 'koa';
import type { Heartbeat } from '../src/core/model.js';
import { CborClient } from '../src/transport/http.js';
import { heartbeatRoutes, type HeartbeatResponse } from '../src/workers/heartbeat-routes.js';

const HEARTBEAT = {
  Host: 'a',
  Address: 'a:1',
  Hosttype: 'm',
  Site: 'z',
  Reclaimable: false,
  Tenure: 1,
  Counter: 1,
  Mandate: 7,
  WarningS: null,
  Pieces: [{ Piece: 'job-000001/3', Try: 9, Status: 'ended', Cause: 'done' }],
};
const TASK = { uid: 'job-000001', index: 3, attempt: 9 };

/** Expected HTTP response, by the request body and the result of the heartbeat handler. */
const CASES: {
  name: string;
  isReady: boolean;
  requestBody: unknown;
  response: HeartbeatResponse;
  status: number;
  responseBody: unknown;
  /** whether the heartbeat handler is called */
  isHandled: boolean;
}[] = [
  {
    name: 'the owner answers with its term as fencing token and with commands',
    isReady: true,
    requestBody: HEARTBEAT,
    response: { kind: 'answer', fencingToken: 8, commands: [{ op: 'forget', ...TASK }] },
    status: 200,
    responseBody: { Mandate: 8, Orders: [{ Verb: 'reap', Piece: 'job-000001/3', Try: 9 }] },
    isHandled: true,
  },
  {
    name: 'a node that knows the owner redirects to it',
    isReady: true,
    requestBody: HEARTBEAT,
    response: { kind: 'redirect', node: 'n2' },
    status: 421,
    responseBody: { ReportsTo: 'n2' },
    isHandled: true,
  },
  {
    name: 'a node that does not know the owner is unavailable',
    isReady: true,
    requestBody: HEARTBEAT,
    response: { kind: 'unavailable' },
    status: 503,
    responseBody: { error: 'not now' },
    isHandled: true,
  },
  {
    name: 'a node that is not ready yet is unavailable and does not handle the heartbeat',
    isReady: false,
    requestBody: HEARTBEAT,
    response: { kind: 'answer', fencingToken: 8, commands: [] },
    status: 503,
    responseBody: { error: 'not now' },
    isHandled: false,
  },
  {
    name: 'a heartbeat whose task id lacks the task index is malformed',
    isReady: true,
    requestBody: { ...HEARTBEAT, Pieces: [{ Piece: 'job-000001', Try: 9, Status: 'running' }] },
    response: { kind: 'answer', fencingToken: 8, commands: [] },
    status: 400,
    responseBody: { error: 'no report' },
    isHandled: false,
  },
  {
    name: 'a body that is no heartbeat is malformed',
    isReady: true,
    requestBody: ['x'],
    response: { kind: 'answer', fencingToken: 8, commands: [] },
    status: 400,
    responseBody: { error: 'no report' },
    isHandled: false,
  },
];

for (const { name, isReady, requestBody, response, status, responseBody, isHandled } of CASES) {
  test(`heartbeat: ${name}`, async () => {
    const handled: Heartbeat[] = [];
    const app = new Koa();
    app.use(
      heartbeatRoutes(
        (heartbeat) => {
          handled.push(heartbeat);
          return response;
        },
        () => isReady,
      ),
    );
    const handler = app.callback();
    const server = createServer((req, res) => void handler(req, res));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const client = new CborClient(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
    try {
      // Two requests: the connection must stay open after each kind of response.
      for (let i = 0; i < 2; i++) {
        const received = await client.call('POST', '/agent/beat', requestBody, 2000);
        assert.equal(received.status, status);
        assert.deepEqual(received.body, responseBody);
      }
      assert.equal(handled.length, isHandled ? 2 : 0);
      const exit = { state: 'exited', why: 'done', saved: false };
      if (isHandled) assert.deepEqual(handled[0]?.tasks, [{ ...TASK, ...exit }]);
    } finally {
      client.close();
      server.close();
    }
  });
}
