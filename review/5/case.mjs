/** A gang for which the cloud has one machine too few, and jobs that would fit the machines that are there. */
import { performance } from 'node:perf_hooks';
import { runCase, submitUntilAccepted, TROUBLE } from '../stand-ins-2/case.mjs';
import { submission } from '../stand-ins-2/deployment.mjs';
import { DUBLIN_TYPES, dublinSettings } from '../stand-ins-2/site.mjs';
import { sleep } from '../stand-ins-2/wire.mjs';

/** "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit" */
const WAIT_MS = 90_000;
const POLL_MS = 5000;
/** Machines that the cloud has, and tasks of the gang, each of which fills one. */
const MACHINES = TROUBLE ? 3 : 4;
const GANG_TASKS = 4;

const small = (fields) =>
  submission({
    Jobclass: 'clipsweep',
    Pieces: 2,
    Vcpus: 6,
    Cards: 1,
    MemGb: 36,
    ImageGb: 0.5,
    runS: 5,
    ...fields,
  });

const scenario = async (deployment) => {
  const { cloud, users, world } = deployment;
  cloud.most = MACHINES;
  cloud.bootMs = () => 1500;
  const gang = submission({
    Jobclass: 'aligngang',
    Shape: 'ensemble',
    Owner: 'stenodesk-00',
    Pieces: GANG_TASKS,
    Vcpus: 57,
    Cards: 8,
    MemGb: 310,
    ImageGb: 0.5,
    // Short, so that the other parts keep no machines ready for more gangs of the class.
    GuessS: 2,
    runS: 2,
  });
  await submitUntilAccepted(deployment, gang);
  await deployment.waitFor('the machines', 15, () => cloud.workers.length === MACHINES);
  await sleep(4000);
  const jobs = [
    small({ Owner: 'stenodesk-00', Rank: 'idle' }),
    small({ Owner: 'stenodesk-00', Rank: 'prod' }),
    small({ Owner: 'stenodesk-01', Rank: 'prod' }),
  ];
  for (const job of jobs) await submitUntilAccepted(deployment, job);
  const begin = performance.now();
  const open = () => jobs.filter(({ Uid: uid }) => world.jobs.get(uid).told === null);
  while (performance.now() - begin < WAIT_MS + 1000 && open().length > 0) {
    const rooms = cloud.workers.map(({ name, tasks }) => `${name} has ${tasks.size} tasks`);
    world.log(rooms.join(', '));
    await sleep(POLL_MS);
    for (const { Uid: uid } of open()) await users.query(uid);
  }
  // A machine is there and empty all the time: these jobs wait beside it.
  const waiting = jobs.filter(({ Uid: uid }) => (world.jobs.get(uid).logged ?? 0) === 0);
  world.log(
    `jobs of which no task has begun: ${waiting.map(({ Uid: uid }) => uid).join() || 'none'}`,
  );
  return waiting.length > 0;
};

const settings = dublinSettings({ team: { cpus_max: 256, gpus_max: 32 } });
await runCase(
  import.meta.dirname,
  { rule: 'left_waiting', settings, types: DUBLIN_TYPES },
  scenario,
);
