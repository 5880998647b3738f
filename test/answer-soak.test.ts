import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerSoak } from './standins/answer-soak.js';

/**
 * A small run of the soak, so that it goes on working; the long one is scripts/answer-soak.sh. It guards
 * against answers that go back at a size and in meetings of faults that no case names.
 */
const numberOf = (name: string, otherwise: number): number =>
  Number(process.env[name] ?? otherwise);

const SEED = numberOf('SOAK_SEED', 1);
const OPTIONS = {
  seed: SEED,
  controllers: numberOf('SOAK_CONTROLLERS', 4),
  machines: numberOf('SOAK_MACHINES', 30),
  jobs: numberOf('SOAK_JOBS', 40),
  users: numberOf('SOAK_USERS', 12),
};

/** ms; several times what the run needs on a busy machine: it ends instead of hanging */
const TIMEOUT_MS = 600_000;

test(
  `users at all nodes while faults are mixed, seed ${SEED}`,
  { timeout: TIMEOUT_MS },
  async (t) => {
    const { violations: broken, ...figures } = await new AnswerSoak(OPTIONS).run();
    t.diagnostic(JSON.stringify(figures));
    assert.deepEqual(broken, []);
    assert.ok(figures.answers > OPTIONS.jobs * 3, 'users were answered');
  },
);
