/**
 * Answers to users never go back: no user may get an answer that is older than one that any node has given before.
 *
 * Guards against this failure: a request arrives while an earlier request for the same job is in flight, and gets
 * the earlier one's result, which may come from a read or write that happened before the later request
 * (docs/incidents/2026-12-02-went-back.md).
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setImmediate as turn } from 'node:timers/promises';
import type { CborResponse } from '../src/transport/http.js';
import { storeKey } from '../src/store/keys.js';
import { AnswerHistory, type UserCall } from './standins/answer-history.js';
import { FakeStore } from './standins/store.js';
import { UserNode } from './standins/user-node.js';

const BODY = {
  Uid: 'job-000001',
  Jobclass: 'c',
  Owner: 't',
  Shape: 'batch',
  Rank: 'normal',
  Pieces: 2,
  Vcpus: 1,
  Cards: 0,
  MemGb: 1,
  Bundle: 'i',
  ImageGb: 1,
  Site: null,
  OneZone: false,
  Spread: false,
  Reclaimable: true,
  GuessS: 2,
  SnapshotEveryS: 0,
  SnapshotS: 0,
};
const NODES = ['a', 'b', 'c'] as const;
type NodeName = (typeof NODES)[number];

/** Three nodes on one store. */
interface Scene {
  readonly state: FakeStore;
  readonly history: AnswerHistory;
  /** violations that the history has found in the answers */
  readonly violations: string[];
  readonly nodes: Readonly<Record<NodeName, UserNode>>;
}

/** Points at which the first submission of the job, sent to node a, is held; `accepted`: the job was accepted before. */
const HOLDS = {
  'its write has not reached the store': {
    hold: ({ nodes }: Scene) => nodes.a.writeRequest.close(),
    held: ({ nodes }: Scene) => nodes.a.writeRequest.heldCount,
    accepted: false,
  },
  "the store's response to its write has not arrived": {
    hold: ({ nodes }: Scene) => nodes.a.writeResponse.close(),
    held: ({ nodes }: Scene) => nodes.a.writeResponse.heldCount,
    accepted: false,
  },
  "the store's response to its watch read has not arrived": {
    hold: ({ nodes }: Scene) => nodes.a.watchResponse.close(),
    held: ({ nodes }: Scene) => nodes.a.watchResponse.heldCount,
    accepted: true,
  },
} as const;

/** Actions of users at node b while the first submission is held. */
const MEANWHILE = {
  nothing: () => Promise.resolve(),
  accepted: async ({ nodes }: Scene) => {
    await nodes.b.sendUserRequest('submit', BODY);
  },
  cancelled: async ({ nodes }: Scene) => {
    await nodes.b.sendUserRequest('submit', BODY);
    const answer = await nodes.b.sendUserRequest('withdraw', BODY);
    assert.equal(answer?.status, 200);
  },
  done: async ({ nodes, state, history }: Scene) => {
    await nodes.b.sendUserRequest('submit', BODY);
    const active = state.items.get(storeKey.activeJob(BODY.Uid));
    // A cancellation that was sent before may have ended the job already.
    if (active !== undefined) {
      const When = [{ K: storeKey.activeJob(BODY.Uid), Stamp: active.revision }];
      const Value = { status: 'done', tasks: 2, done: 2 };
      const Writes = [
        { Drop: storeKey.activeJob(BODY.Uid) },
        { Put: storeKey.finalState(BODY.Uid), Value },
      ];
      const query = new URLSearchParams();
      await state.handle({ method: 'POST', path: '/multi', query, body: { When, Writes } });
    }
    await nodes.b.sendUserRequest('query', BODY);
    assert.notEqual(history.reportedFinalState(BODY.Uid), null);
  },
} as const;

/** Times at which the later request is sent, relative to the actions at node b. */
const MOMENTS = ['before', 'after'] as const;
const CALLS: readonly UserCall[] = ['submit', 'query', 'withdraw'];

/** Opens a scene; `valueBytesOfA` limits the size of a value that node a writes. */
const openScene = async (valueBytesOfA?: number): Promise<Scene> => {
  const state = new FakeStore();
  const violations: string[] = [];
  const history = new AnswerHistory(violations);
  const createNode = (name: NodeName) => new UserNode(name, state, history);
  const nodes = { a: createNode('a'), b: createNode('b'), c: createNode('c') };
  nodes.a.valueBytes = valueBytesOfA ?? nodes.a.valueBytes;
  for (const name of NODES) await nodes[name].open();
  return { state, history, violations, nodes };
};

const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await turn();
};

/**
 * Holds the first submission at node a, lets `meanwhile` happen, and sends a later request at node `at` before or
 * after it. Then releases the first submission and checks that all answers were consistent and none was refused.
 */
const play = async (
  hold: keyof typeof HOLDS,
  meanwhile: keyof typeof MEANWHILE,
  moment: (typeof MOMENTS)[number],
  call: UserCall,
  at: NodeName,
): Promise<void> => {
  const scene = await openScene();
  const { nodes, violations } = scene;
  try {
    if (HOLDS[hold].accepted) {
      await nodes.b.sendUserRequest('submit', BODY);
      // Node a must know the job before the repeated submission that is held.
      await nodes.a.pollWatch();
    }
    HOLDS[hold].hold(scene);
    const first = nodes.a.sendUserRequest('submit', BODY);
    await waitUntil(() => HOLDS[hold].held(scene) > 0);
    const answers = [first];
    const send = async () => {
      const callsBefore = nodes[at].calls;
      let isAnswered = false;
      const answer = nodes[at].sendUserRequest(call, BODY).finally(() => (isAnswered = true));
      answers.push(answer);
      await waitUntil(() => isAnswered || nodes[at].calls > callsBefore);
    };
    if (moment === 'before') await send();
    await MEANWHILE[meanwhile](scene);
    if (moment === 'after') await send();
    for (const gate of [nodes.a.writeRequest, nodes.a.writeResponse, nodes.a.watchResponse])
      gate.open();
    for (const answer of await Promise.all(answers)) {
      const status = answer?.status ?? 0;
      assert.ok(status > 0 && status < 500, 'nothing failed, so no request may be refused');
    }
    for (const name of NODES) {
      const answer = await nodes[name].sendUserRequest('query', BODY);
      assert.equal(answer?.status, 200, `${name} knows the job afterwards`);
      await nodes[name].sendUserRequest('submit', BODY);
    }
    assert.deepEqual(violations, []);
  } finally {
    for (const name of NODES) nodes[name].close();
  }
};

describe('answers to users never go back while an earlier submission is held', () => {
  for (const hold of Object.keys(HOLDS) as (keyof typeof HOLDS)[]) {
    for (const meanwhile of Object.keys(MEANWHILE) as (keyof typeof MEANWHILE)[]) {
      test(`${hold}; meanwhile: ${meanwhile}`, async (t) => {
        for (const moment of MOMENTS) {
          for (const call of CALLS) {
            for (const at of NODES) {
              await t.test(`${call} at ${at}, sent ${moment} that`, () =>
                play(hold, meanwhile, moment, call, at),
              );
            }
          }
        }
      });
    }
  }
});

const withScene = async (
  run: (scene: Scene) => Promise<void>,
  valueBytesOfA?: number,
): Promise<void> => {
  const scene = await openScene(valueBytesOfA);
  try {
    await run(scene);
    assert.deepEqual(scene.violations, []);
  } finally {
    for (const name of NODES) scene.nodes[name].close();
  }
};

/** Node a's write has been committed, but the store's response is held; then a user cancels the job at node b. */
const cancelWhileHeld = async ({
  nodes,
}: Scene): Promise<{ accepted: Promise<CborResponse | null> }> => {
  nodes.a.writeResponse.close();
  const accepted = nodes.a.sendUserRequest('submit', BODY);
  await waitUntil(() => nodes.a.writeResponse.heldCount > 0);
  await nodes.b.sendUserRequest('submit', BODY);
  await nodes.b.sendUserRequest('withdraw', BODY);
  return { accepted };
};

describe('the response to the write of an acceptance arrives after the job was cancelled', () => {
  test('after a new listing, which lacks final states: the job does not become active again', () =>
    withScene(async (scene) => {
      const { a } = scene.nodes;
      const { accepted } = await cancelWhileHeld(scene);
      await a.relist();
      a.writeResponse.open();
      await accepted;
      assert.equal(a.cache.tables.activeJobs.size, 0);
      await a.sendUserRequest('query', BODY);
    }));

  test('the node knows the final state by then: its user is told `cancelled`', () =>
    withScene(async (scene) => {
      const { a } = scene.nodes;
      const { accepted } = await cancelWhileHeld(scene);
      await a.pollWatch();
      a.writeResponse.open();
      const answer = await accepted;
      assert.equal(answer?.status, 200);
      assert.equal((answer.body as { Status: string }).Status, 'cancelled');
    }));
});

test('a repeated submission whose record exceeds the value limit gets the state of the accepted job', () =>
  withScene(async ({ nodes }) => {
    await nodes.b.sendUserRequest('submit', BODY);
    const answer = await nodes.a.sendUserRequest('submit', BODY);
    assert.equal(answer?.status, 200);
  }, 100));
