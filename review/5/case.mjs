/** A machine is moved to another part and is taken by the cloud before it has reported there. */
import { performance } from 'node:perf_hooks';
import { operate, runCase, submitUntilAccepted, TROUBLE } from '../stand-ins-2/case.mjs';
import { submission } from '../stand-ins-2/deployment.mjs';
import { DUBLIN_TYPES, dublinSettings } from '../stand-ins-2/site.mjs';
import { sleep } from '../stand-ins-2/wire.mjs';

/** "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit" */
const WAIT_MS = 90_000;
const POLL_MS = 5000;
const PARTS = [0, 1, 2];

/** Returns a team whose jobs belong to the part, as the operator's plan of a move names it. */
const teamOf = async (deployment, part) => {
  const to = PARTS.find((other) => other !== part);
  const args = ['--from', String(part), '--to', String(to), '--count', '1', '--json'];
  const { stdout } = await operate(deployment, 'shares', 'plan', ...args);
  return JSON.parse(stdout)[0].teamsOfSource[0];
};

const job = (owner, fields) =>
  submission({
    Jobclass: 'clipsweep',
    Owner: owner,
    Vcpus: 6,
    Cards: 1,
    MemGb: 36,
    ImageGb: 0.2,
    ...fields,
  });

const scenario = async (deployment) => {
  const { cloud, store, users, world } = deployment;
  cloud.bootMs = () => 1500;
  const [source, target, other] = await Promise.all(PARTS.map((part) => teamOf(deployment, part)));
  const begun = (spec) =>
    deployment.waitFor(`${spec.Uid} to begin`, 20, () => world.on.has(`${spec.Uid}/0`));
  // An ordinary machine of the third part, which has room for all that follows.
  const long = job(other, { runS: 600 });
  const first = job(source, { Reclaimable: true, runS: 3 });
  await Promise.all([long, first].map((spec) => submitUntilAccepted(deployment, spec)));
  await Promise.all([begun(long), begun(first)]);
  const move = ['--from', '0', '--to', '1', '--count', '1', '--kind', 'spot', '--within-s', '60'];
  await operate(deployment, 'shares', 'move', ...move, '--id', 'evening');
  const group = () => [...store.items].find(([key]) => key.startsWith('machines/moved-'));
  await deployment.waitFor('the machine to be moved', 40, group);
  const [machine] = Object.keys(group()[1].value.hosts);
  world.log(`${machine} is moved`);
  if (TROUBLE) cloud.remove(machine);
  const second = job(target, { Reclaimable: true, runS: 3 });
  await submitUntilAccepted(deployment, second);
  const begin = performance.now();
  while (performance.now() - begin < WAIT_MS && world.jobs.get(second.Uid).told === null) {
    await sleep(Math.min(POLL_MS, Math.max(0, begin + WAIT_MS - performance.now())));
    await users.query(second.Uid);
  }
  const waits = !world.on.has(`${second.Uid}/0`);
  const rooms = cloud.workers.map(({ name, tasks }) => `${name} has ${tasks.size} tasks`);
  world.log(
    `${rooms.join(', ') || 'no machines'}; ${second.Uid} ${waits ? 'has not begun' : 'has begun'}`,
  );
  return waits;
};

const settings = dublinSettings({ team: { cpus_max: 128, gpus_max: 16 } });
await runCase(
  import.meta.dirname,
  { rule: 'left_waiting', settings, types: DUBLIN_TYPES },
  scenario,
);
