import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Cluster, type ClusterOptions } from './standins/cluster.js';

/**
 * Troubles that meet, each on three whole controllers with stand-ins round them. Whatever meets, the
 * rules hold: no task on two machines, limits and places kept, cancelled tasks gone in time, nobody told
 * anything older; and once it is over everything accepted and not cancelled is done, at every node.
 * A row says what goes wrong without what guards against it. A refusal followed by an outage is in cancellation-outage.test.ts.
 */
const LEASE_S = 4;
const CANCEL_S = 10;
const RUN_MS = 3000;
/** leases that outlive a takeover, so that what ran before it is still there */
const LASTING = { runMs: 14_000, leaseS: 12, cancelS: 26 };
const LIMITED_ALSO = { name: 'limited too', cpus: 0, gpus: 0, cpusMax: 6, gpusMax: 0 };
const LIMITED = { name: 'limited', cpus: 0, gpus: 0, cpusMax: 8, gpusMax: 0 };

interface Row {
  readonly name: string;
  readonly options?: Partial<ClusterOptions>;
  readonly jobs: readonly Record<string, unknown>[];
  /** what happens once the jobs are in and something runs; uids in the order of the jobs */
  readonly meet: (c: Cluster, uids: readonly string[]) => Promise<void>;
}

const SMALL = { Vcpus: 1, Cards: 0, MemGb: 1, GuessS: 20 };
const LONG = { ...SMALL, Pieces: 20 };

const late = (c: Cluster, ms: number | null) => {
  for (const d of c.storeProxies.values()) d.lateTransactionMs = ms;
};
const crash = async (c: Cluster, node: string, awayMs: number) => {
  c.kill(node);
  await c.runFor(awayMs / 1000);
  await c.start(node);
};

const ROWS: Row[] = [
  {
    // Completions saved by a newer write would be undone by the late one, whose conditions must fail.
    name: 'transactions without an answer are carried out after newer ones of the same controller',
    jobs: [LONG, { ...LONG, Pieces: 40 }, { ...SMALL, Shape: 'ensemble', Pieces: 2 }],
    meet: async (c, [, second]) => {
      late(c, 2500);
      const executed = () =>
        [...c.storeProxies.values()].reduce((sum, d) => sum + d.lateTransactions, 0);
      await c.runFor(6);
      const cancelling = c.cancel('n1', second!);
      await c.runFor(2);
      // How many transactions there are depends on how they fall together: more work brings more.
      for (let i = 0; i < 10 && executed() < 3; i++) await c.submit('n2', { ...SMALL, Pieces: 2 });
      late(c, null);
      await cancelling;
      assert.ok(executed() >= 3, `${executed()} transactions were late`);
    },
  },
  {
    // A start given up as lost and given elsewhere would run twice when the command is carried out.
    name: 'commands are held up for seconds, and the machine then goes on',
    jobs: [LONG, { ...SMALL, Pieces: 3 }],
    meet: async (c, [first]) => {
      for (const h of c.workerHosts()) h.commandDelayMs = 2500;
      const more = await c.submit('n2', LONG);
      await c.runFor(2);
      for (const h of c.workerHosts().slice(0, 2)) h.worker.hung = true;
      await c.cancel('n0', first!);
      await c.runFor(3);
      for (const h of c.workerHosts()) {
        h.commandDelayMs = 0;
        h.worker.hung = false;
      }
      await c.waitUntil(`${more} done`, 60, async () => (await c.statusOf('n0', more)) === 'done');
    },
  },
  {
    // Preemption, passing and starts in two ways must not start anything twice, and nobody starves.
    name: 'more work than room, urgent and not, over slow links',
    jobs: [
      { ...LONG, Rank: 'idle', Vcpus: 2, Pieces: 16 },
      { ...LONG, Rank: 'urgent', Vcpus: 4, Pieces: 6 },
      { ...SMALL, Rank: 'prod', Shape: 'ensemble', Vcpus: 8, Pieces: 2 },
    ],
    meet: async (c) => {
      c.cloud.maxMachines = 4;
      for (const d of c.storeProxies.values()) d.delayMs = 150;
      for (const h of c.workerHosts()) h.commandDelayMs = 300;
      await c.submit('n1', { ...SMALL, Rank: 'urgent', Vcpus: 8, Pieces: 4 });
      await c.runFor(10);
      for (const d of c.storeProxies.values()) d.delayMs = 0;
      for (const h of c.workerHosts()) h.commandDelayMs = 0;
    },
  },
  {
    // An answer from before the cancellation, or an owner that hears of it too late.
    name: 'the state service answers slowly, then not at all, while users cancel and ask',
    jobs: [LONG, LONG, LONG],
    meet: async (c, uids) => {
      for (const d of c.storeProxies.values()) d.delayMs = 500;
      await Promise.all(uids.slice(0, 2).map((uid, i) => c.cancel(`n${i}`, uid)));
      for (const n of c.nodes) for (const uid of uids) await c.statusOf(n, uid);
      c.store.unavailable = true;
      for (let i = 0; i < 12; i++) {
        await c.runFor(1);
        for (const uid of uids) await c.statusOf(c.nodes[i % 3]!, uid);
      }
      for (const d of c.storeProxies.values()) d.delayMs = 0;
      c.store.recover();
    },
  },
  {
    // Everything has ended with its lease, and whoever comes back must not take it for running.
    name: 'all controllers are away for longer than a lease',
    jobs: [LONG, { ...SMALL, Pieces: 3 }, { ...SMALL, Shape: 'ensemble', Pieces: 3 }],
    meet: async (c, [first]) => {
      await c.cancel('n0', first!);
      for (const n of c.nodes) c.kill(n);
      await c.runFor(LEASE_S + 2);
      await Promise.all(c.nodes.map((n) => c.start(n)));
    },
  },
  {
    // The new owner would take the old list for the machine's answer and start what runs there.
    name: 'reports are held back until a new leader has acted, and then arrive there',
    jobs: [LONG, LONG],
    meet: async (c) => {
      for (const h of c.workerHosts()) h.duplicateAfterMs = 3500;
      await c.runFor(1.5);
      await crash(c, 'n1', 1000);
      await c.runFor(3);
      await crash(c, 'n0', 3000);
      await c.runFor(4);
      assert.ok(c.workerHosts().some((h) => h.duplicatesSent > 3));
      for (const h of c.workerHosts()) h.duplicateAfterMs = null;
    },
  },
  {
    // The controller inside would keep leases for ever by its old term, the others start all again.
    name: 'a zone with workers and a controller is cut off for longer than a lease',
    options: { zones: ['z', 'y'] },
    jobs: [LONG, { ...LONG, Spread: true }, { ...SMALL, OneZone: true, Pieces: 6 }],
    meet: async (c, [first]) => {
      c.storeProxies.get('n0')!.unavailable = true;
      c.partitionFromPeers('n0', true);
      for (const h of c.workerHosts()) if (h.worker.zone === 'y') h.onlyNode = 'n0';
      await c.runFor(2);
      await c.cancel('n1', first!);
      await c.runFor(LEASE_S + 6);
      for (const h of c.workerHosts()) h.onlyNode = null;
      c.partitionFromPeers('n0', false);
      c.storeProxies.get('n0')!.unavailable = false;
    },
  },
  {
    // Each change of owner rebuilds from reports; one that forgets what is in doubt runs it twice.
    name: 'leaders change ten times, also inside an outage',
    options: LASTING,
    jobs: [LONG, LONG, { ...SMALL, Shape: 'ensemble', Pieces: 3 }],
    meet: async (c, [first]) => {
      for (let i = 0; i < 10; i++) {
        if (i === 5) c.store.unavailable = true;
        if (i === 8) c.store.recover();
        if (i === 3) await c.cancel('n2', first!);
        await crash(c, c.nodes[i % 3]!, i % 2 === 0 ? 300 : 900);
        await c.runFor(0.5);
      }
    },
  },
  {
    // Answers to commands look like reports, but renew no lease: what starts there is killed by it.
    name: 'workers reach no controller, while direct commands still reach them',
    jobs: [LONG, { ...SMALL, Pieces: 3 }],
    meet: async (c, [first]) => {
      const hosts = c.workerHosts();
      for (const h of hosts) h.losesHeartbeats = true;
      await c.cancel('n0', first!);
      await c.submit('n1', LONG);
      await c.runFor(LEASE_S + 4);
      for (const h of hosts) h.losesHeartbeats = false;
    },
  },
  {
    // Taken as news, it would free what runs or bring back what has ended.
    name: 'old reports arrive after newer ones, also from earlier sessions and attempts',
    jobs: [LONG, LONG],
    meet: async (c) => {
      for (const h of c.workerHosts()) h.duplicateAfterMs = (LEASE_S + 2) * 1000;
      await c.runFor(1);
      for (const h of c.workerHosts().slice(0, 1)) h.losesHeartbeats = true;
      await c.runFor(LEASE_S + 1);
      for (const h of c.workerHosts()) h.losesHeartbeats = false;
      await c.submit('n2', LONG);
      await c.runFor(5);
      assert.ok(c.workerHosts().some((h) => h.duplicatesSent > 3));
      for (const h of c.workerHosts()) h.duplicateAfterMs = null;
    },
  },
  {
    // The first task's end is known to its old owner only, unless it was saved before it was forgotten.
    name: 'jobs of two or three tasks end far apart across a change of leader',
    options: { runMs: (index) => 1500 + index * 5000 },
    jobs: [1, 2, 3].flatMap((n) => [
      { ...SMALL, Pieces: 2 },
      { ...SMALL, Pieces: 3, GuessS: 10 * n },
    ]),
    meet: async (c) => {
      await c.runFor(1.8);
      await crash(c, 'n0', 500);
      await c.runFor(1);
      await crash(c, 'n1', 3000);
      await crash(c, 'n2', 200);
    },
  },
  {
    // What may still run on a machine that can't be asked counts against the limit, cancelled or not.
    name: 'a team at its limit: the leader changes, machines can not be asked, a job is cancelled',
    options: { ...LASTING, teams: [LIMITED] },
    jobs: [1, 2, 3].map(() => ({ ...SMALL, Owner: 'limited', Vcpus: 2, Pieces: 4 })),
    meet: async (c, [first]) => {
      const owner = c.preferredNodeOf('limited');
      const other = c.nodes.find((n) => n !== owner)!;
      const busy = c.workerHosts().filter((h) => h.worker.tasks.size > 0);
      for (const h of busy) h.worker.hung = true;
      await c.runFor(0.3);
      c.kill(owner);
      const cancelling = c.cancel(other, first!);
      await c.runFor(9);
      await cancelling;
      for (const h of c.workerHosts()) h.worker.hung = false;
      await c.start(owner);
    },
  },
  {
    // It can't know that it was replaced, and would start tasks and keep leases by its old term.
    name: 'a leader loses state service and controllers, not workers and users; jobs are cancelled',
    jobs: [LONG, LONG, LONG],
    meet: async (c, uids) => {
      c.storeProxies.get('n0')!.unavailable = true;
      c.partitionFromPeers('n0', true);
      await c.runFor(1);
      await c.cancel('n1', uids[0]!);
      await c.cancel('n2', uids[1]!);
      for (let i = 0; i < CANCEL_S + 2; i++) {
        await c.runFor(1);
        for (const n of c.nodes) for (const uid of uids) await c.statusOf(n, uid);
      }
      c.partitionFromPeers('n0', false);
      c.storeProxies.get('n0')!.unavailable = false;
    },
  },
  {
    // A task that may still be there binds its job's zone, until it is surely gone.
    name: 'jobs bound to one zone, arrays too, lose machines',
    options: { zones: ['z', 'y'] },
    jobs: [
      { ...SMALL, OneZone: true, Pieces: 12 },
      { ...SMALL, OneZone: true, Shape: 'ensemble', Pieces: 3 },
      { ...SMALL, Site: 'y', Pieces: 6 },
      { ...SMALL, Spread: true, Pieces: 5 },
    ],
    meet: async (c) => {
      const [one, two, three] = [...c.cloud.machines.keys()];
      if (one !== undefined) c.cloud.kill(one);
      if (two !== undefined) c.cloud.machines.get(two)!.worker.hung = true;
      await crash(c, 'n1', 500);
      if (three !== undefined) c.cloud.kill(three);
      await c.runFor(2);
      for (const h of c.workerHosts()) h.worker.hung = false;
    },
  },
  {
    // Two writers of the end: one of them wins in the state service, and all say what it said.
    name: 'a cancellation, a question or a repeat meets the end of the last task',
    options: { runMs: 1000 },
    jobs: [],
    meet: async (c) => {
      const ends: string[] = [];
      for (let i = 0; i < 8; i++) {
        const uid = await c.submit(c.nodes[i % 3]!, { ...SMALL, Pieces: 2 });
        await c.waitUntil('all of it runs', 20, () => c.runningTasks(uid) === 2);
        // From well before the end is saved to just after it is. The canceller's read is old when its
        // transaction arrives, and others have been told of the end by then.
        const slow = c.storeProxies.get(c.nodes[(i + 1) % 3]!)!;
        slow.transactionDelayMs = 700;
        await sleep(500 + i * 120);
        const asking = async () => {
          for (let asked = 0; asked < 24; asked++) {
            await c.statusOf(c.nodes[i % 3]!, uid);
            await sleep(50);
          }
        };
        const [end] = await Promise.all([
          c.cancel(c.nodes[(i + 1) % 3]!, uid),
          asking(),
          c.sendUserRequest(c.nodes[i % 3]!, 'submit', uid, c.submission({ ...SMALL, Uid: uid })),
        ]);
        slow.transactionDelayMs = 0;
        for (const n of c.nodes) assert.equal(await c.statusOf(n, uid), end);
        ends.push(end);
      }
      assert.ok(ends.includes('done'), ends.join(' '));
    },
  },
  {
    // Late transactions of earlier lives must not give a shard to somebody who is not there.
    name: 'controllers hand over and back, all end, and one returns within a second',
    jobs: [LONG, LONG, { ...SMALL, Pieces: 3 }],
    meet: async (c) => {
      await crash(c, 'n1', 4000);
      await c.runFor(2);
      await crash(c, 'n1', 200);
      for (const n of c.nodes) c.kill(n);
      await c.runFor(0.5);
      await c.start('n2');
      await c.runFor(6);
      await c.start('n0');
      await c.start('n1');
    },
  },
  {
    // A machine that does not hear the new owner may still run what an earlier one started.
    name: 'a leader ends while machines with long tasks are out of reach, or deaf',
    options: LASTING,
    jobs: [LONG, LONG],
    meet: async (c, [first]) => {
      c.workerHosts().forEach((h, i) => {
        if (i % 3 === 0) h.losesCommands = true;
        if (i % 3 === 1) h.worker.hung = true;
      });
      c.kill('n0');
      await c.runFor(1);
      await c.cancel('n1', first!);
      await c.runFor(12);
      for (const h of c.workerHosts()) {
        h.losesCommands = false;
        h.worker.hung = false;
      }
      await c.start('n0');
    },
  },
  {
    // Handed back at once, the shard was its cut node's again, which returned every machine as silent.
    name: 'a controller is cut from its workers alone, with long tasks on every machine',
    options: LASTING,
    jobs: [LONG, LONG, LONG],
    meet: async (c) => {
      await c.waitUntil('machines of every shard have work', 10, () => c.world.starts >= 12);
      const busy = c.workerHosts().filter((h) => h.worker.tasks.size > 0);
      const sessions = busy.map((h) => h.worker.agentEpoch);
      for (const h of c.workerHosts()) h.unreachableNode = 'n0';
      await c.runFor(10);
      for (const h of busy) {
        assert.ok([...c.cloud.machines.values()].includes(h), `${h.worker.name} was returned`);
      }
      const after = busy.map((h) => h.worker.agentEpoch);
      assert.deepEqual(after, sessions, 'no lease ran out');
      for (const h of c.workerHosts()) h.unreachableNode = null;
    },
  },
  {
    // What hangs or is cut off may run on after the cancellation, and counts against each limit.
    name: 'every team is at its limit, jobs are cancelled whose machines are out of reach, owners change',
    options: { ...LASTING, teams: [LIMITED, LIMITED_ALSO] },
    jobs: [1, 2, 3].flatMap(() => [
      { ...SMALL, Owner: 'limited', Vcpus: 2, Pieces: 4 },
      { ...SMALL, Owner: 'limited too', Vcpus: 3, Pieces: 2 },
    ]),
    meet: async (c, uids) => {
      const busy = c.workerHosts().filter((h) => h.worker.tasks.size > 0);
      busy.forEach((h, i) => {
        if (i % 2 === 0) h.worker.hung = true;
        else h.losesCommands = h.losesHeartbeats = true;
      });
      const cancelling = [c.cancel('n0', uids[0]!), c.cancel('n1', uids[1]!)];
      for (const n of c.nodes) await crash(c, n, 300);
      await c.runFor(8);
      await Promise.all(cancelling);
      for (const h of c.workerHosts()) h.worker.hung = h.losesCommands = h.losesHeartbeats = false;
    },
  },
  {
    // A node that has not read yet what another one has just answered would say less than that.
    name: 'users ask at all nodes within milliseconds after acceptance, end and cancellation',
    options: { runMs: 1200 },
    jobs: [],
    meet: async (c) => {
      const follow = async (i: number) => {
        const body = c.submission({ ...SMALL, Pieces: 2 });
        const uid = await c.submitBody(c.nodes[i % 3]!, body);
        await c.queryAndResubmitAtAllNodes(body);
        if (i % 3 === 0) await c.cancel(c.nodes[(i + 1) % 3]!, uid);
        for (let looks = 0; looks < 25; looks++) {
          await c.queryAndResubmitAtAllNodes(body);
          await sleep(looks < 5 ? 2 : 60);
        }
      };
      for (let wave = 0; wave < 3; wave++) {
        await Promise.all([0, 1, 2, 3, 4, 5].map((i) => follow(i + wave)));
      }
    },
  },
  {
    // Carried out after the new owner's word, a start of the deposed one would run twice.
    name: 'commands of an owner that has ended arrive after those of the next',
    options: LASTING,
    jobs: [LONG, { ...SMALL, Pieces: 3 }],
    meet: async (c) => {
      for (let i = 0; i < 3; i++) {
        for (const h of c.workerHosts()) h.commandDelayMs = 3000;
        await c.submit(c.nodes[(i + 1) % 3]!, LONG);
        await c.runFor(0.6);
        c.kill(c.nodes[i]!);
        for (const h of c.workerHosts()) h.commandDelayMs = 0;
        await c.runFor(i === 0 ? 0.2 : 8);
        await c.start(c.nodes[i]!);
        await c.runFor(2);
      }
    },
  },
  {
    // Whoever takes or gives a shard must carry what was cancelled on the way.
    name: 'jobs are cancelled in the seconds in which a shard changes hands',
    options: LASTING,
    jobs: Array.from({ length: 14 }, () => ({ ...LONG, Pieces: 17 })),
    meet: async (c, uids) => {
      const open = [...uids];
      const cancelOver = async (seconds: number) => {
        for (let t = 0; t < seconds * 2 && open.length > 4; t++) {
          await Promise.all([c.cancel(c.nodes[1 + (t % 2)]!, open.pop()!), c.runFor(0.5)]);
        }
      };
      c.kill('n0');
      await cancelOver(3);
      // Its old incarnation's lease ends, the shard is taken, and goes back after a while.
      await c.runFor(4);
      await c.start('n0');
      await c.runFor(4);
      await cancelOver(6);
    },
  },
  {
    // A write taken for lost and repeated, or left out, though others have read it already.
    name: 'transactions are carried out at once and only their answers are lost',
    jobs: [LONG, { ...LONG, Pieces: 40 }, { ...SMALL, Shape: 'ensemble', Pieces: 2 }],
    meet: async (c, [, second]) => {
      const losing = (on: boolean) => {
        for (const d of c.storeProxies.values()) d.losesResponses = on;
      };
      losing(true);
      const more = c.submission(LONG);
      const submitting = c.submitBody('n1', more);
      const cancelling = c.cancel('n2', second!);
      await c.runFor(5);
      await crash(c, 'n0', 300);
      await c.runFor(4);
      losing(false);
      await Promise.all([submitting, cancelling]);
      await c.queryAndResubmitAtAllNodes(more);
      const lost = [...c.storeProxies.values()].reduce((sum, d) => sum + d.lostResponses, 0);
      assert.ok(lost >= 3, `${lost} answers were lost`);
    },
  },
  {
    // Each job costs writes of its own: what waits for them must not go missing, nor start again.
    name: 'jobs of one task come four a second, a quarter of them is cancelled',
    options: { runMs: 1500 },
    jobs: [],
    meet: async (c) => {
      const work: Promise<unknown>[] = [];
      for (let i = 0; i < 60; i++) {
        const node = c.nodes[i % 3]!;
        const one = async () => {
          const uid = await c.submit(node, { ...SMALL, Pieces: 1 });
          if (i % 4 !== 0) return;
          await sleep((i * 37) % 1600);
          await c.cancel(c.nodes[(i + 1) % 3]!, uid);
        };
        work.push(one());
        if (i === 30) work.push(crash(c, 'n1', 300));
        await c.runFor(0.25);
      }
      await Promise.all(work);
    },
  },
  {
    // Nothing recorded says that anything could run there: the next owner would start it all again.
    name: 'new machines are up at once and get work while writes lag, and the owner ends',
    // Older machines are free again while the new ones can't be asked and their leases last.
    options: { runMs: 5000, leaseS: 20, cancelS: 42 },
    jobs: [LONG],
    meet: async (c) => {
      for (const [i, node] of c.nodes.entries()) {
        for (const d of c.storeProxies.values()) d.transactionDelayMs = 900;
        const before = new Set(c.cloud.machines.keys());
        const fresh = () => c.workerHosts().filter((h) => !before.has(h.worker.name));
        // A machine each, and more of them than there are.
        await c.submit(node, { ...SMALL, Vcpus: 8, Pieces: before.size + 6 });
        await c.waitUntil('new machines', 30, () => fresh().length > 0);
        // Its rental is recorded after one slow write, that it is up after another one.
        await c.runFor(1.9 + i * 0.25);
        // The last writes never arrive, among them the records of machines that are up, and the next
        // owner can't ask those machines at first.
        for (const n of c.nodes) c.kill(n);
        for (const d of c.storeProxies.values()) d.dropsTransactions = true;
        for (const h of fresh()) h.worker.hung = true;
        await c.runFor(1.2);
        for (const d of c.storeProxies.values()) {
          d.dropsTransactions = false;
          d.transactionDelayMs = 0;
        }
        await Promise.all(c.nodes.map((n) => c.start(n)));
        await c.waitUntil(`${node} is ready`, 30, () => c.isReady(node));
        await c.runFor(7);
        for (const h of c.workerHosts()) h.worker.hung = false;
      }
    },
  },
  {
    // It lists nothing of what runs there now; taken for the machine's answer, all would start again.
    name: 'an old report reaches every controller just as a new owner begins',
    options: LASTING,
    jobs: [{ ...SMALL, Pieces: 6 }],
    meet: async (c) => {
      for (const h of c.workerHosts()) h.keepHeartbeat();
      await c.submit('n1', LONG);
      await c.submit('n2', LONG);
      await c.runFor(2);
      for (const [i, n] of c.nodes.entries()) {
        c.kill(n);
        await c.runFor(i === 0 ? 7 : 0.3);
        const starting = c.start(n);
        for (let t = 0; t < 25; t++) {
          for (const h of c.workerHosts()) h.deliverKeptHeartbeat();
          await c.runFor(0.1);
        }
        await starting;
      }
    },
  },
];

describe('troubles that meet', { concurrency: 6 }, () => {
  for (const row of ROWS) {
    test(row.name, async () => {
      const c = new Cluster({
        runMs: RUN_MS,
        leaseS: LEASE_S,
        cancelS: CANCEL_S,
        teams: [LIMITED],
        ...row.options,
      });
      try {
        await c.open();
        const uids: string[] = [];
        for (const [i, body] of row.jobs.entries()) uids.push(await c.submit(`n${i % 3}`, body));
        await c.waitUntil('some of it runs', 20, () => uids.length === 0 || c.world.starts > 3);
        await row.meet(c, uids);
        for (const n of c.nodes) await c.waitUntil(`${n} is back`, 40, () => c.isReady(n));
        for (const uid of c.world.jobs.keys()) {
          const end = c.world.cancelledAt.has(uid) ? 'cancelled' : 'done';
          for (const n of c.nodes) {
            await c.waitUntil(`${uid} ${end}`, 60, async () => (await c.statusOf(n, uid)) === end);
          }
        }
        const cancelled = [...c.world.cancelledAt.keys()];
        await c.waitUntil('cancelled tasks are gone', CANCEL_S + 2, () =>
          cancelled.every((uid) => c.runningTasks(uid) === 0),
        );
        assert.deepEqual(c.world.violations, []);
        assert.ok(c.world.starts > 3, 'something ran');
      } finally {
        c.close();
      }
    });
  }
});
