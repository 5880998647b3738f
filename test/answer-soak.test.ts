/**
 * Short run of the answer soak test, which keeps the soak itself working; scripts/answer-soak.sh makes the long run.
 * It guards against answers that contradict earlier ones at a scale and in combinations of faults that no single
 * test covers.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerSoak } from './standins/answer-soak.js';

const numberFromEnv = (name: string, fallback: number): number =>
  Number(process.env[name] ?? fallback);

const SEED = numberFromEnv('SOAK_SEED', 1);
const OPTIONS = {
  seed: SEED,
  controllers: numberFromEnv('SOAK_CONTROLLERS', 4),
  machines: numberFromEnv('SOAK_MACHINES', 30),
  jobs: numberFromEnv('SOAK_JOBS', 40),
  users: numberFromEnv('SOAK_USERS', 12),
};

/** Several times what the run needs on a busy machine, so that a run that hangs fails. */
const TIMEOUT_MS = 600_000;

test(
  `users at all nodes get consistent answers during combined faults, seed ${SEED}`,
  { timeout: TIMEOUT_MS },
  async (context) => {
    const { violations: broken, ...figures } = await new AnswerSoak(OPTIONS).run();
    context.diagnostic(JSON.stringify(figures));
    assert.deepEqual(broken, []);
    assert.ok(figures.answers > OPTIONS.jobs * 3, 'users got answers');
  },
);
