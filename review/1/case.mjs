/** Case 1: see claim.txt. */
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

const BOOT_S = 10;
/** Usually a machine is up after 0.6 to 1.5 times `BootS`; the first one takes three times as long. */
const bootS = (number) => (trouble && number === 1 ? BOOT_S * 3 : BOOT_S * 0.6);

const cluster = new Cluster({
  folder: fileURLToPath(new URL('.', import.meta.url)),
  nodes: 3,
  zones: SFAX_ZONES,
  settings: sfax([{ name: 'secretariat', cpus: 0, cpus_max: 12, gpus: 0, gpus_max: 0 }]),
  cloud: {
    type: kerkennanode(BOOT_S),
    capacity: () => 10,
    bootS,
  },
  worker: { runS: () => 20, fetchS: () => 1 },
});

/** A GPU task with few CPUs: 2 of the 12 that the team may use. */
const small = submission({ Uid: 'job-000001', Vcpus: 2, Cards: 1, MemGb: 8, GuessS: 20 });
/** A task with all 12 CPUs that the team may use: it has to wait until the other one has ended. */
const large = submission({ Uid: 'job-000002', Vcpus: 12, Cards: 0, MemGb: 16, GuessS: 20 });

await runCase(cluster, async () => {
  if (!(await cluster.submit(small))) throw new Error('a submission was not accepted');
  await sleep(12_000);
  if (!(await cluster.submit(large))) throw new Error('a submission was not accepted');
  for (let s = 0; s < 70; s += 2) {
    await sleep(2000);
    if (cluster.rules.broken.length > 0) break;
    const states = [await cluster.poll(small.Uid), await cluster.poll(large.Uid)];
    if (states.every((state) => state?.Status === 'done')) break;
  }
  if (cluster.rules.starts === 0) throw new Error('no task was started');
  return cluster.rules.broken[0]?.text ?? null;
});
