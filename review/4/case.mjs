/** One accepted array of tiny tasks, and whether the users of another job still get answers. */
import { performance } from 'node:perf_hooks';
import { runCase, submitUntilAccepted, TROUBLE } from '../stand-ins-2/case.mjs';
import { submission } from '../stand-ins-2/deployment.mjs';
import { DUBLIN_TYPES, dublinSettings } from '../stand-ins-2/site.mjs';
import { sleep } from '../stand-ins-2/wire.mjs';

/** "a job about which no question is answered for 75 s counts as forgotten, however others fare" */
const FORGOTTEN_MS = 75_000;
/** until then, counted from the start of the controllers, the users ask */
const WATCHED_S = 112;
const POLL_MS = 5000;

/** An array of the page's largest size. Its tasks are tiny, or of the usual size of the deployment's arrays. */
const sweep = () =>
  submission({
    Jobclass: 'decadesweep',
    Owner: 'seanadguests',
    Rank: 'idle',
    Pieces: 100_000,
    ...(TROUBLE ? { Vcpus: 0.0005, MemGb: 0.001 } : { Vcpus: 6, MemGb: 36 }),
    ImageGb: 0.5,
    runS: 30,
  });

const scenario = async (deployment) => {
  const { cloud, names, users, world } = deployment;
  cloud.most = 4;
  cloud.bootMs = () => 1500;
  const job = submission({ Owner: 'stenodesk-00', Vcpus: 6, MemGb: 36, ImageGb: 0.5, runS: 600 });
  await submitUntilAccepted(deployment, job);
  await submitUntilAccepted(deployment, sweep());
  let answeredAt = performance.now();
  let longestMs = 0;
  let latestLoopMs = 0;
  // Each round is a question at every controller, so that the way through the load balancer does not matter.
  while (Number(world.t) + POLL_MS / 1000 < WATCHED_S) {
    const round = performance.now();
    const answers = await Promise.all(names.map((name) => users.query(job.Uid, name)));
    if (answers.some((answer) => answer?.status === 200)) answeredAt = performance.now();
    longestMs = Math.max(longestMs, performance.now() - answeredAt);
    const pauseMs = Math.max(0, POLL_MS - (performance.now() - round));
    const before = performance.now();
    await sleep(pauseMs);
    latestLoopMs = Math.max(latestLoopMs, performance.now() - before - pauseMs);
  }
  world.log(`longest time without an answer: ${(longestMs / 1000).toFixed(1)} s`);
  world.log(`the stand-ins themselves were late by ${latestLoopMs.toFixed(0)} ms at most`);
  world.log(`tasks that began: ${world.starts}`);
  return longestMs > FORGOTTEN_MS;
};

await runCase(
  import.meta.dirname,
  {
    rule: 'forgotten',
    settings: dublinSettings({ guests: [{ name: 'seanadguests', cpus_max: 128 }] }),
    types: DUBLIN_TYPES,
  },
  scenario,
);
