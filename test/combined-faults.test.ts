/**
 * Combined faults, each case on three whole controllers with stand-ins for state service, cloud and workers. During all
 * faults the invariants hold: no task runs on two machines, team limits and placement constraints are kept, cancelled
 * tasks are gone in time, and no answer contradicts an earlier one. Once the faults are over, every job that was
 * accepted and not cancelled is done, at every node. The comment of a case says what would go wrong without the guard that it
 * tests. cancellation-outage.test.ts covers a refusal followed by an outage.
 */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster, type ClusterOptions } from './standins/cluster.js';

const LEASE_S = 4;
const CANCEL_S = 10;
const TASK_RUN_MS = 3000;
/** Leases that outlive a takeover, so that tasks started before it still run after it. */
const LONG_LEASE = { runMs: 14_000, leaseS: 12, cancelS: 26 };
const SECOND_LIMITED_TEAM = { name: 'limited too', cpus: 0, gpus: 0, cpusMax: 6, gpusMax: 0 };
const LIMITED_TEAM = { name: 'limited', cpus: 0, gpus: 0, cpusMax: 8, gpusMax: 0 };

interface FaultCase {
  readonly name: string;
  readonly options?: Partial<ClusterOptions>;
  readonly jobs: readonly Record<string, unknown>[];
  /** called once all jobs are accepted and tasks run; `uids` has the order of `jobs` */
  readonly injectFaults: (cluster: Cluster, uids: readonly string[]) => Promise<void>;
}

const SMALL_JOB = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 20 };
const LARGE_JOB = { ...SMALL_JOB, Pieces: 20 };

/** Leaves every second transaction of all nodes unanswered and applies it `ms` later; null ends that. */
const delayTransactions = (cluster: Cluster, ms: number | null) => {
  for (const proxy of cluster.storeProxies.values()) proxy.lateTransactionMs = ms;
};
/** Kills a node and starts it again `downMs` later. */
const crashAndRestart = async (cluster: Cluster, node: string, downMs: number) => {
  cluster.kill(node);
  await cluster.runFor(downMs / 1000);
  await cluster.start(node);
};

const FAULT_CASES: FaultCase[] = [
  {
    // A late write whose conditions do not fail would undo the completions that a newer write has saved.
    name: 'unanswered transactions are applied late, after newer ones of the same controller: no completion is undone',
    jobs: [LARGE_JOB, { ...LARGE_JOB, Pieces: 40 }, { ...SMALL_JOB, Shape: 'ensemble', Pieces: 2 }],
    injectFaults: async (cluster, [, second]) => {
      delayTransactions(cluster, 2500);
      const executed = () =>
        [...cluster.storeProxies.values()].reduce((sum, proxy) => sum + proxy.lateTransactions, 0);
      await cluster.runFor(6);
      const cancelling = cluster.cancel('n1', second!);
      await cluster.runFor(2);
      // The number of transactions depends on how writes are batched: more jobs cause more of them.
      for (let i = 0; i < 10 && executed() < 3; i++)
        await cluster.submit('n2', { ...SMALL_JOB, Pieces: 2 });
      delayTransactions(cluster, null);
      await cancelling;
      assert.ok(executed() >= 3, `${executed()} transactions were applied late`);
    },
  },
  {
    // A start that is taken for lost and repeated on another machine would run twice once the delayed command is
    // carried out.
    name: 'commands are delayed by seconds while machines hang and resume: no task runs twice',
    jobs: [LARGE_JOB, { ...SMALL_JOB, Pieces: 3 }],
    injectFaults: async (cluster, [first]) => {
      for (const host of cluster.workerHosts()) host.commandDelayMs = 2500;
      const more = await cluster.submit('n2', LARGE_JOB);
      await cluster.runFor(2);
      for (const host of cluster.workerHosts().slice(0, 2)) host.worker.hung = true;
      await cluster.cancel('n0', first!);
      await cluster.runFor(3);
      for (const host of cluster.workerHosts()) {
        host.commandDelayMs = 0;
        host.worker.hung = false;
      }
      await cluster.waitUntil(
        `${more} done`,
        60,
        async () => (await cluster.statusOf('n0', more)) === 'done',
      );
    },
  },
  {
    // Preemption, migration, and starts by direct command as well as by heartbeat answer must start nothing twice, and
    // no job starves.
    name: 'more tasks than capacity at different priorities, with slow state service and commands: all jobs get done',
    jobs: [
      { ...LARGE_JOB, Rank: 'idle', Vcpus: 2, Pieces: 16 },
      { ...LARGE_JOB, Rank: 'urgent', Vcpus: 4, Pieces: 6 },
      { ...SMALL_JOB, Rank: 'prod', Shape: 'ensemble', Vcpus: 8, Pieces: 2 },
    ],
    injectFaults: async (cluster) => {
      cluster.cloud.maxMachines = 4;
      for (const proxy of cluster.storeProxies.values()) proxy.delayMs = 150;
      for (const host of cluster.workerHosts()) host.commandDelayMs = 300;
      await cluster.submit('n1', { ...SMALL_JOB, Rank: 'urgent', Vcpus: 8, Pieces: 4 });
      await cluster.runFor(10);
      for (const proxy of cluster.storeProxies.values()) proxy.delayMs = 0;
      for (const host of cluster.workerHosts()) host.commandDelayMs = 0;
    },
  },
  {
    // Users could get an answer that is older than the cancellation, or an owner could learn of it too late.
    name: 'the state service answers slowly, then not at all, while users cancel and query: no stale answer',
    jobs: [LARGE_JOB, LARGE_JOB, LARGE_JOB],
    injectFaults: async (cluster, uids) => {
      for (const proxy of cluster.storeProxies.values()) proxy.delayMs = 500;
      await Promise.all(uids.slice(0, 2).map((uid, i) => cluster.cancel(`n${i}`, uid)));
      for (const node of cluster.nodes) for (const uid of uids) await cluster.statusOf(node, uid);
      cluster.store.unavailable = true;
      for (let i = 0; i < 12; i++) {
        await cluster.runFor(1);
        for (const uid of uids) await cluster.statusOf(cluster.nodes[i % 3]!, uid);
      }
      for (const proxy of cluster.storeProxies.values()) proxy.delayMs = 0;
      cluster.store.recover();
    },
  },
  {
    // All tasks end with their leases, and the restarted controllers must not take them for running.
    name: 'all controllers are down for longer than a lease: all jobs run again',
    jobs: [LARGE_JOB, { ...SMALL_JOB, Pieces: 3 }, { ...SMALL_JOB, Shape: 'ensemble', Pieces: 3 }],
    injectFaults: async (cluster, [first]) => {
      await cluster.cancel('n0', first!);
      for (const node of cluster.nodes) cluster.kill(node);
      await cluster.runFor(LEASE_S + 2);
      await Promise.all(cluster.nodes.map((node) => cluster.start(node)));
    },
  },
  {
    // The new owner would take the old task list for the machine's current one and start again what runs there.
    name: 'delayed copies of reports reach a new leader after it has acted: nothing is started again',
    jobs: [LARGE_JOB, LARGE_JOB],
    injectFaults: async (cluster) => {
      for (const host of cluster.workerHosts()) host.duplicateAfterMs = 3500;
      await cluster.runFor(1.5);
      await crashAndRestart(cluster, 'n1', 1000);
      await cluster.runFor(3);
      await crashAndRestart(cluster, 'n0', 3000);
      await cluster.runFor(4);
      assert.ok(cluster.workerHosts().some((host) => host.duplicatesSent > 3));
      for (const host of cluster.workerHosts()) host.duplicateAfterMs = null;
    },
  },
  {
    // The controller in the zone would renew leases forever under its old term, while the other controllers start all
    // of its tasks again.
    name: 'a zone with workers and a controller is cut off for longer than a lease: no task runs twice',
    options: { zones: ['z', 'y'] },
    jobs: [LARGE_JOB, { ...LARGE_JOB, Spread: true }, { ...SMALL_JOB, OneZone: true, Pieces: 6 }],
    injectFaults: async (cluster, [first]) => {
      cluster.storeProxies.get('n0')!.unavailable = true;
      cluster.partitionFromPeers('n0', true);
      for (const host of cluster.workerHosts()) if (host.worker.zone === 'y') host.onlyNode = 'n0';
      await cluster.runFor(2);
      await cluster.cancel('n1', first!);
      await cluster.runFor(LEASE_S + 6);
      for (const host of cluster.workerHosts()) host.onlyNode = null;
      cluster.partitionFromPeers('n0', false);
      cluster.storeProxies.get('n0')!.unavailable = false;
    },
  },
  {
    // Each new owner rebuilds its state from reports; one that forgets the tasks in doubt would run them twice.
    name: 'leaders change ten times, also during an outage of the state service: no task runs twice',
    options: LONG_LEASE,
    jobs: [LARGE_JOB, LARGE_JOB, { ...SMALL_JOB, Shape: 'ensemble', Pieces: 3 }],
    injectFaults: async (cluster, [first]) => {
      for (let i = 0; i < 10; i++) {
        if (i === 5) cluster.store.unavailable = true;
        if (i === 8) cluster.store.recover();
        if (i === 3) await cluster.cancel('n2', first!);
        await crashAndRestart(cluster, cluster.nodes[i % 3]!, i % 2 === 0 ? 300 : 900);
        await cluster.runFor(0.5);
      }
    },
  },
  {
    // Answers to direct commands look like reports but renew no lease: a task started by one is stopped when the
    // machine's lease expires.
    name: 'heartbeats of all workers are lost while direct commands arrive: all jobs get done later',
    jobs: [LARGE_JOB, { ...SMALL_JOB, Pieces: 3 }],
    injectFaults: async (cluster, [first]) => {
      const hosts = cluster.workerHosts();
      for (const host of hosts) host.losesHeartbeats = true;
      await cluster.cancel('n0', first!);
      await cluster.submit('n1', LARGE_JOB);
      await cluster.runFor(LEASE_S + 4);
      for (const host of hosts) host.losesHeartbeats = false;
    },
  },
  {
    // An old report taken for a current one would free the capacity of running tasks or restore tasks that have ended.
    name: 'old reports arrive after newer ones, also from earlier sessions and attempts: they are ignored',
    jobs: [LARGE_JOB, LARGE_JOB],
    injectFaults: async (cluster) => {
      for (const host of cluster.workerHosts()) host.duplicateAfterMs = (LEASE_S + 2) * 1000;
      await cluster.runFor(1);
      for (const host of cluster.workerHosts().slice(0, 1)) host.losesHeartbeats = true;
      await cluster.runFor(LEASE_S + 1);
      for (const host of cluster.workerHosts()) host.losesHeartbeats = false;
      await cluster.submit('n2', LARGE_JOB);
      await cluster.runFor(5);
      assert.ok(cluster.workerHosts().some((host) => host.duplicatesSent > 3));
      for (const host of cluster.workerHosts()) host.duplicateAfterMs = null;
    },
  },
  {
    // Only the old owner knows that the first task has ended, unless it saved the completion before it told the worker
    // to forget the task.
    name: 'jobs of two or three tasks that end far apart, across changes of leader: no completion is lost',
    options: { runMs: (index) => 1500 + index * 5000 },
    jobs: [1, 2, 3].flatMap((factor) => [
      { ...SMALL_JOB, Pieces: 2 },
      { ...SMALL_JOB, Pieces: 3, GuessS: 10 * factor },
    ]),
    injectFaults: async (cluster) => {
      await cluster.runFor(1.8);
      await crashAndRestart(cluster, 'n0', 500);
      await cluster.runFor(1);
      await crashAndRestart(cluster, 'n1', 3000);
      await crashAndRestart(cluster, 'n2', 200);
    },
  },
  {
    // Tasks that may still run on an unreachable machine count against the limit, cancelled or not.
    name: 'a team is at its limit, the leader changes, machines hang, a job is cancelled: the limit is kept',
    options: { ...LONG_LEASE, teams: [LIMITED_TEAM] },
    jobs: [1, 2, 3].map(() => ({ ...SMALL_JOB, Owner: 'limited', Vcpus: 2, Pieces: 4 })),
    injectFaults: async (cluster, [first]) => {
      const owner = cluster.preferredNodeOf('limited');
      const other = cluster.nodes.find((node) => node !== owner)!;
      const busy = cluster.workerHosts().filter((host) => host.worker.tasks.size > 0);
      for (const host of busy) host.worker.hung = true;
      await cluster.runFor(0.3);
      cluster.kill(owner);
      const cancelling = cluster.cancel(other, first!);
      await cluster.runFor(9);
      await cancelling;
      for (const host of cluster.workerHosts()) host.worker.hung = false;
      await cluster.start(owner);
    },
  },
  {
    // The leader cannot know that it was replaced, and would start tasks and renew leases under its old term.
    name: 'a leader is cut off from state service and controllers, but not from workers and users: cancelled jobs stop in time',
    jobs: [LARGE_JOB, LARGE_JOB, LARGE_JOB],
    injectFaults: async (cluster, uids) => {
      cluster.storeProxies.get('n0')!.unavailable = true;
      cluster.partitionFromPeers('n0', true);
      await cluster.runFor(1);
      await cluster.cancel('n1', uids[0]!);
      await cluster.cancel('n2', uids[1]!);
      for (let i = 0; i < CANCEL_S + 2; i++) {
        await cluster.runFor(1);
        for (const node of cluster.nodes) for (const uid of uids) await cluster.statusOf(node, uid);
      }
      cluster.partitionFromPeers('n0', false);
      cluster.storeProxies.get('n0')!.unavailable = false;
    },
  },
  {
    // A task that may still run on an unreachable machine keeps its job in that zone until the task is certainly gone.
    name: 'jobs bound to one zone, arrays among them, lose machines: zone constraints are kept',
    options: { zones: ['z', 'y'] },
    jobs: [
      { ...SMALL_JOB, OneZone: true, Pieces: 12 },
      { ...SMALL_JOB, OneZone: true, Shape: 'ensemble', Pieces: 3 },
      { ...SMALL_JOB, Site: 'y', Pieces: 6 },
      { ...SMALL_JOB, Spread: true, Pieces: 5 },
    ],
    injectFaults: async (cluster) => {
      const [one, two, three] = [...cluster.cloud.machines.keys()];
      if (one !== undefined) cluster.cloud.kill(one);
      if (two !== undefined) cluster.cloud.machines.get(two)!.worker.hung = true;
      await crashAndRestart(cluster, 'n1', 500);
      if (three !== undefined) cluster.cloud.kill(three);
      await cluster.runFor(2);
      for (const host of cluster.workerHosts()) host.worker.hung = false;
    },
  },
  {
    // Two nodes write the job's final state: one of them wins in the state service, and all answers give the state that
    // it wrote.
    name: 'a cancellation, queries and a repeated submission coincide with the end of the last task: one final state',
    options: { runMs: 1000 },
    jobs: [],
    injectFaults: async (cluster) => {
      const ends: string[] = [];
      for (let i = 0; i < 8; i++) {
        const uid = await cluster.submit(cluster.nodes[i % 3]!, { ...SMALL_JOB, Pieces: 2 });
        await cluster.waitUntil('all of it runs', 20, () => cluster.runningTasks(uid) === 2);
        // The cancellation starts at moments from well before to just after the final state is saved. Its read is stale
        // when its transaction arrives, and users of other nodes have been told the final state by then.
        const slowDoor = cluster.storeProxies.get(cluster.nodes[(i + 1) % 3]!)!;
        slowDoor.transactionDelayMs = 700;
        await sleep(500 + i * 120);
        const asking = async () => {
          for (let asked = 0; asked < 24; asked++) {
            await cluster.statusOf(cluster.nodes[i % 3]!, uid);
            await sleep(50);
          }
        };
        const [end] = await Promise.all([
          cluster.cancel(cluster.nodes[(i + 1) % 3]!, uid),
          asking(),
          cluster.sendUserRequest(
            cluster.nodes[i % 3]!,
            'submit',
            uid,
            cluster.submission({ ...SMALL_JOB, Uid: uid }),
          ),
        ]);
        slowDoor.transactionDelayMs = 0;
        for (const node of cluster.nodes) assert.equal(await cluster.statusOf(node, uid), end);
        ends.push(end);
      }
      assert.ok(ends.includes('done'), ends.join(' '));
    },
  },
  {
    // Late transactions of earlier incarnations must not give a shard to a controller that is not running.
    name: 'shards change hands and back, all controllers end, one restarts within a second: shards get live owners',
    jobs: [LARGE_JOB, LARGE_JOB, { ...SMALL_JOB, Pieces: 3 }],
    injectFaults: async (cluster) => {
      await crashAndRestart(cluster, 'n1', 4000);
      await cluster.runFor(2);
      await crashAndRestart(cluster, 'n1', 200);
      for (const node of cluster.nodes) cluster.kill(node);
      await cluster.runFor(0.5);
      await cluster.start('n2');
      await cluster.runFor(6);
      await cluster.start('n0');
      await cluster.start('n1');
    },
  },
  {
    // A machine that commands of the new owner do not reach may still run tasks that an earlier owner started.
    name: 'a leader ends while machines with long tasks hang or lose commands: no task runs twice',
    options: LONG_LEASE,
    jobs: [LARGE_JOB, LARGE_JOB],
    injectFaults: async (cluster, [first]) => {
      cluster.workerHosts().forEach((host, index) => {
        if (index % 3 === 0) host.losesCommands = true;
        if (index % 3 === 1) host.worker.hung = true;
      });
      cluster.kill('n0');
      await cluster.runFor(1);
      await cluster.cancel('n1', first!);
      await cluster.runFor(12);
      for (const host of cluster.workerHosts()) {
        host.losesCommands = false;
        host.worker.hung = false;
      }
      await cluster.start('n0');
    },
  },
  {
    // When the shard was handed back at once, the controller that was cut off owned it again and returned every machine
    // to the cloud for lost heartbeats.
    name: 'a controller is cut off from workers only, with long tasks on them: no machine is returned',
    options: LONG_LEASE,
    jobs: [LARGE_JOB, LARGE_JOB, LARGE_JOB],
    injectFaults: async (cluster) => {
      await cluster.waitUntil(
        'machines of every shard have work',
        10,
        () => cluster.world.starts >= 12,
      );
      const busy = cluster.workerHosts().filter((host) => host.worker.tasks.size > 0);
      const sessions = busy.map((host) => host.worker.agentEpoch);
      for (const host of cluster.workerHosts()) host.unreachableNode = 'n0';
      await cluster.runFor(10);
      for (const host of busy) {
        assert.ok(
          [...cluster.cloud.machines.values()].includes(host),
          `${host.worker.name} was returned`,
        );
      }
      const after = busy.map((host) => host.worker.agentEpoch);
      assert.deepEqual(after, sessions, 'no lease expired');
      for (const host of cluster.workerHosts()) host.unreachableNode = null;
    },
  },
  {
    // Tasks on machines that hang or are cut off may run on after the cancellation, and count against each limit.
    name: 'teams are at their limits, jobs on unreachable machines are cancelled, owners change: limits are kept',
    options: { ...LONG_LEASE, teams: [LIMITED_TEAM, SECOND_LIMITED_TEAM] },
    jobs: [1, 2, 3].flatMap(() => [
      { ...SMALL_JOB, Owner: 'limited', Vcpus: 2, Pieces: 4 },
      { ...SMALL_JOB, Owner: 'limited too', Vcpus: 3, Pieces: 2 },
    ]),
    injectFaults: async (cluster, uids) => {
      const busy = cluster.workerHosts().filter((host) => host.worker.tasks.size > 0);
      busy.forEach((host, index) => {
        if (index % 2 === 0) host.worker.hung = true;
        else host.losesCommands = host.losesHeartbeats = true;
      });
      const cancelling = [cluster.cancel('n0', uids[0]!), cluster.cancel('n1', uids[1]!)];
      for (const node of cluster.nodes) await crashAndRestart(cluster, node, 300);
      await cluster.runFor(8);
      await Promise.all(cancelling);
      for (const host of cluster.workerHosts())
        host.worker.hung = host.losesCommands = host.losesHeartbeats = false;
    },
  },
  {
    // A node that has not yet read the write behind another node's answer would give an older answer.
    name: 'queries reach all nodes within milliseconds after acceptance, end and cancellation: no stale answer',
    options: { runMs: 1200 },
    jobs: [],
    injectFaults: async (cluster) => {
      const follow = async (index: number) => {
        const body = cluster.submission({ ...SMALL_JOB, Pieces: 2 });
        const uid = await cluster.submitBody(cluster.nodes[index % 3]!, body);
        await cluster.queryAndResubmitAtAllNodes(body);
        if (index % 3 === 0) await cluster.cancel(cluster.nodes[(index + 1) % 3]!, uid);
        for (let looks = 0; looks < 25; looks++) {
          await cluster.queryAndResubmitAtAllNodes(body);
          await sleep(looks < 5 ? 2 : 60);
        }
      };
      for (let wave = 0; wave < 3; wave++) {
        await Promise.all([0, 1, 2, 3, 4, 5].map((i) => follow(i + wave)));
      }
    },
  },
  {
    // A start command of the previous owner that is carried out after those of the new owner would run a task twice.
    name: 'commands of an owner that has ended arrive after those of the next: no task runs twice',
    options: LONG_LEASE,
    jobs: [LARGE_JOB, { ...SMALL_JOB, Pieces: 3 }],
    injectFaults: async (cluster) => {
      for (let i = 0; i < 3; i++) {
        for (const host of cluster.workerHosts()) host.commandDelayMs = 3000;
        await cluster.submit(cluster.nodes[(i + 1) % 3]!, LARGE_JOB);
        await cluster.runFor(0.6);
        cluster.kill(cluster.nodes[i]!);
        for (const host of cluster.workerHosts()) host.commandDelayMs = 0;
        await cluster.runFor(i === 0 ? 0.2 : 8);
        await cluster.start(cluster.nodes[i]!);
        await cluster.runFor(2);
      }
    },
  },
  {
    // Both the old and the new owner of a shard must know the cancellations made during the change.
    name: 'jobs are cancelled in the seconds in which a shard changes hands: none runs on',
    options: LONG_LEASE,
    jobs: Array.from({ length: 14 }, () => ({ ...LARGE_JOB, Pieces: 17 })),
    injectFaults: async (cluster, uids) => {
      const uncancelled = [...uids];
      const cancelOver = async (seconds: number) => {
        for (let round = 0; round < seconds * 2 && uncancelled.length > 4; round++) {
          await Promise.all([
            cluster.cancel(cluster.nodes[1 + (round % 2)]!, uncancelled.pop()!),
            cluster.runFor(0.5),
          ]);
        }
      };
      cluster.kill('n0');
      await cancelOver(3);
      // The lease of n0's old incarnation expires, another node takes the shard, and later gives it back.
      await cluster.runFor(4);
      await cluster.start('n0');
      await cluster.runFor(4);
      await cancelOver(6);
    },
  },
  {
    // A controller could take a write for lost and repeat or drop it, though others have already read it.
    name: 'transactions are applied at once and only their answers are lost: no write is repeated or dropped',
    jobs: [LARGE_JOB, { ...LARGE_JOB, Pieces: 40 }, { ...SMALL_JOB, Shape: 'ensemble', Pieces: 2 }],
    injectFaults: async (cluster, [, second]) => {
      const losing = (on: boolean) => {
        for (const proxy of cluster.storeProxies.values()) proxy.losesResponses = on;
      };
      losing(true);
      const more = cluster.submission(LARGE_JOB);
      const submitting = cluster.submitBody('n1', more);
      const cancelling = cluster.cancel('n2', second!);
      await cluster.runFor(5);
      await crashAndRestart(cluster, 'n0', 300);
      await cluster.runFor(4);
      losing(false);
      await Promise.all([submitting, cancelling]);
      await cluster.queryAndResubmitAtAllNodes(more);
      const lost = [...cluster.storeProxies.values()].reduce(
        (sum, proxy) => sum + proxy.lostResponses,
        0,
      );
      assert.ok(lost >= 3, `${lost} answers were lost`);
    },
  },
  {
    // Each job needs writes of its own: jobs that wait for them must neither be lost nor started again.
    name: 'jobs of one task arrive four a second and a quarter of them is cancelled: none is lost',
    options: { runMs: 1500 },
    jobs: [],
    injectFaults: async (cluster) => {
      const work: Promise<unknown>[] = [];
      for (let i = 0; i < 60; i++) {
        const node = cluster.nodes[i % 3]!;
        const one = async () => {
          const uid = await cluster.submit(node, { ...SMALL_JOB, Pieces: 1 });
          if (i % 4 !== 0) return;
          await sleep((i * 37) % 1600);
          await cluster.cancel(cluster.nodes[(i + 1) % 3]!, uid);
        };
        work.push(one());
        if (i === 30) work.push(crashAndRestart(cluster, 'n1', 300));
        await cluster.runFor(0.25);
      }
      await Promise.all(work);
    },
  },
  {
    // No record says that tasks could run on the new machines: the next owner would start all of them again.
    name: 'new machines get tasks at once while writes lag, and the owner ends: no task runs twice',
    // Older machines become free while the new ones hang and their leases still run.
    options: { runMs: 5000, leaseS: 20, cancelS: 42 },
    jobs: [LARGE_JOB],
    injectFaults: async (cluster) => {
      for (const [index, node] of cluster.nodes.entries()) {
        for (const proxy of cluster.storeProxies.values()) proxy.transactionDelayMs = 900;
        const before = new Set(cluster.cloud.machines.keys());
        const fresh = () => cluster.workerHosts().filter((host) => !before.has(host.worker.name));
        // Each task takes a whole machine, and there are more tasks than machines.
        await cluster.submit(node, { ...SMALL_JOB, Vcpus: 8, Pieces: before.size + 6 });
        await cluster.waitUntil('new machines', 30, () => fresh().length > 0);
        // One slow write records the rental, a second one that the machine is up.
        await cluster.runFor(1.9 + index * 0.25);
        // The last writes never arrive, among them the records of machines that are up, and those machines do not
        // answer the next owner at first.
        for (const other of cluster.nodes) cluster.kill(other);
        for (const proxy of cluster.storeProxies.values()) proxy.dropsTransactions = true;
        for (const host of fresh()) host.worker.hung = true;
        await cluster.runFor(1.2);
        for (const proxy of cluster.storeProxies.values()) {
          proxy.dropsTransactions = false;
          proxy.transactionDelayMs = 0;
        }
        await Promise.all(cluster.nodes.map((other) => cluster.start(other)));
        await cluster.waitUntil(`${node} is ready`, 30, () => cluster.isReady(node));
        await cluster.runFor(7);
        for (const host of cluster.workerHosts()) host.worker.hung = false;
      }
    },
  },
  {
    // The old report lists no task that runs now: taken for the machine's current report, it would cause all of them
    // to start again.
    name: 'an old report reaches every controller just as a new owner starts: nothing is started again',
    options: LONG_LEASE,
    jobs: [{ ...SMALL_JOB, Pieces: 6 }],
    injectFaults: async (cluster) => {
      for (const host of cluster.workerHosts()) host.keepHeartbeat();
      await cluster.submit('n1', LARGE_JOB);
      await cluster.submit('n2', LARGE_JOB);
      await cluster.runFor(2);
      for (const [index, node] of cluster.nodes.entries()) {
        cluster.kill(node);
        await cluster.runFor(index === 0 ? 7 : 0.3);
        const starting = cluster.start(node);
        for (let round = 0; round < 25; round++) {
          for (const host of cluster.workerHosts()) host.deliverKeptHeartbeat();
          await cluster.runFor(0.1);
        }
        await starting;
      }
    },
  },
];

describe('combined faults', { concurrency: 6 }, () => {
  for (const faultCase of FAULT_CASES) {
    test(faultCase.name, async () => {
      const cluster = new Cluster({
        runMs: TASK_RUN_MS,
        leaseS: LEASE_S,
        cancelS: CANCEL_S,
        teams: [LIMITED_TEAM],
        ...faultCase.options,
      });
      try {
        await cluster.open();
        const uids: string[] = [];
        for (const [index, body] of faultCase.jobs.entries())
          uids.push(await cluster.submit(`n${index % 3}`, body));
        await cluster.waitUntil(
          'tasks run',
          20,
          () => uids.length === 0 || cluster.world.starts > 3,
        );
        await faultCase.injectFaults(cluster, uids);
        for (const node of cluster.nodes)
          await cluster.waitUntil(`${node} is back`, 40, () => cluster.isReady(node));
        for (const uid of cluster.world.jobs.keys()) {
          const end = cluster.world.cancelledAt.has(uid) ? 'cancelled' : 'done';
          for (const node of cluster.nodes) {
            await cluster.waitUntil(
              `${uid} ${end}`,
              60,
              async () => (await cluster.statusOf(node, uid)) === end,
            );
          }
        }
        const cancelled = [...cluster.world.cancelledAt.keys()];
        await cluster.waitUntil('cancelled tasks are gone', CANCEL_S + 2, () =>
          cancelled.every((uid) => cluster.runningTasks(uid) === 0),
        );
        assert.deepEqual(cluster.world.violations, []);
        assert.ok(cluster.world.starts > 3, 'tasks were started');
      } finally {
        cluster.close();
      }
    });
  }
});
