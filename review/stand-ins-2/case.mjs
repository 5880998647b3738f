/** Runs one case: a scenario on a small deployment, with its record and its exit code. */
import { execFile } from 'node:child_process';
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { ROOT } from './controllers.mjs';
import { Deployment } from './deployment.mjs';
import { sleep } from './wire.mjs';

/** A case takes no longer than this; the rest of the 120 s is for ending its processes. */
const LIMIT_MS = 117_000;

const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Whether the case runs with its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Submits a job until it is accepted, as a user does. */
export const submitUntilAccepted = async ({ users }, spec) => {
  for (;;) {
    const answer = await users.submit(spec);
    if (answer?.status === 200 || answer?.status === 201) return;
    await sleep(1000);
  }
};

/** Runs one of the operator's commands; resolves with its output. */
export const operate = (deployment, ...args) =>
  new Promise((resolve) => {
    const program = join(ROOT, 'target/sumacstep.js');
    const { file } = [...deployment.controllers.values()][0];
    execFile(process.execPath, [program, ...args, '--config', file], (error, stdout, stderr) => {
      const code = typeof error?.code === 'number' ? error.code : 0;
      deployment.world.log(
        `operator: ${args.join(' ')}: exit ${code} ${`${stdout}${stderr}`.trim()}`,
      );
      resolve({ code, stdout });
    });
  });

/**
 * Runs `scenario`, which returns whether the rule of the case was broken. Exits with 1 if it was, 0 if it held, and 2
 * if the case could not run.
 */
export const runCase = async (folder, { rule, settings, types }, scenario) => {
  const file = join(folder, 'record.txt');
  writeFileSync(file, `trouble: ${TROUBLE}\n`);
  const record = (line) => appendFileSync(file, `${line}\n`);
  const deployment = new Deployment({ settings, types, record });
  let code = EXIT.notRun;
  const finish = async () => {
    await deployment.close();
    const text = { 0: 'held', 1: 'BROKEN', 2: 'the case could not run' }[code];
    record(`${rule}: ${text}`);
    process.stdout.write(`${rule}: ${text}\n`);
    process.exit(code);
  };
  const timer = setTimeout(() => {
    record('out of time');
    void finish();
  }, LIMIT_MS);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => void finish());
  try {
    await deployment.open();
    code = (await scenario(deployment)) ? EXIT.broken : EXIT.held;
  } catch (error) {
    record(`error: ${error.stack}`);
  }
  clearTimeout(timer);
  await finish();
};
