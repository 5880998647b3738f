/** Case 2: see claim.txt. */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import {
  Cluster,
  kerkennanode,
  runCase,
  sfax,
  SFAX_ZONES,
  sleep,
  submission,
} from '../standins/cluster.mjs';

const trouble = process.env.TROUBLE !== '0';

const BOOT_S = 8;
/** Usually a machine is up after 0.6 to 1.5 times `BootS`; the first one takes 2.1 times as long. */
const bootS = (number) => (trouble && number === 1 ? BOOT_S * 2.1 : BOOT_S * 0.6);

/** Each zone has one machine, that of the second zone only from 8 s after the job was accepted on. */
let acceptedAt = Infinity;
const capacity = (zone) => {
  if (zone === SFAX_ZONES[0]) return 1;
  return performance.now() - acceptedAt >= 8000 ? 1 : 0;
};

const cluster = new Cluster({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  nodes: 3,
  zones: SFAX_ZONES,
  settings: sfax([{ name: 'secretariat', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }]),
  cloud: {
    type: kerkennanode(BOOT_S),
    capacity,
    bootS,
  },
  worker: { runS: () => 60, fetchS: () => 1 },
});

const job = submission({ Uid: 'job-000001', Pieces: 9000, OneZone: true, GuessS: 60 });

await runCase(cluster, async () => {
  if (!(await cluster.submit(job))) throw new Error('a submission was not accepted');
  acceptedAt = performance.now();
  for (let s = 0; s < 50; s += 2) {
    await sleep(2000);
    if (cluster.rules.broken.length > 0) break;
    if (s % 10 === 0) await cluster.poll(job.Uid);
  }
  if (cluster.rules.starts === 0) throw new Error('no task was started');
  return cluster.rules.broken[0]?.text ?? null;
});
