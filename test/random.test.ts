/**
 * One shard under random faults, with fixed seeds.
 *
 * - Owners change, some within a fraction of a second. Former owners that lost contact with all other nodes go on
 *   answering heartbeats for as long as an unknown cancellation allows.
 * - Answers get lost. Direct commands arrive late, and copies of executed ones once more. Copies of reports arrive late by up to several leases, at whichever
 *   owner the shard has then; some old reports reach the next owner as it starts.
 * - Machines hang, fall silent, lose all commands, or lose all heartbeats while commands reach them, and are returned.
 * - Saves of completions get no answer, and are applied later or at once.
 * - Jobs and services arrive and are cancelled, also while their machines hang and at the moment of their end.
 *
 * After each step no task may be on two machines and no cancelled job may still run, and every job that was not
 * cancelled is still known.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { renewalWindowMs } from '../src/core/cancellation/lease-renewal.js';
import { decodeDone, encodeDone } from '../src/core/jobs/jobs.js';
import type { Command, Heartbeat } from '../src/core/model.js';
import { TOKENS_PER_TERM } from '../src/core/ownership/constants.js';
import type { Shard } from '../src/core/shard/shard.js';
import { seededRandomInt } from '../src/random.js';
import { job, LEASE_MS, machine, shardWith, Store } from './helpers.js';
import { assertDerivedState } from './standins/derived-state.js';
import { CANCEL_MS, FakeWorker, World } from './standins/worker.js';

/** Direct commands that the network delivers at time `at`, after their sender stopped waiting for the answer. */
interface DelayedCommands {
  at: number;
  worker: FakeWorker;
  token: number;
  agentEpoch: number;
  commands: readonly Command[];
}

/** A copy of a report that the network delivers once more, at time `at`. */
interface DuplicateReport {
  at: number;
  heartbeat: Heartbeat;
}

const STEP_MS = 500;
/** Share of the executed direct commands of which a copy arrives later. */
const COPIED_COMMANDS_PERCENT = 75;
/** Copies of reports arrive late by up to this, which is well over a lease. */
const MAX_DUPLICATE_DELAY_MS = 3 * LEASE_MS;

const simulate = (seed: number) => {
  const random = seededRandomInt(seed);
  const chance = (percent: number) => random(1000) < percent * 10;
  const world = new World();
  const store = new Store();
  let term = 1;
  let shard: Shard = shardWith(store, term);
  /** the previous owner, which does not know yet that it was replaced: it still answers, but starts nothing */
  let formerOwner: Shard | null = null;
  const workers = new Map<string, FakeWorker>();
  /** until when a machine neither sends reports nor takes commands */
  const silentUntil = new Map<string, number>();
  /** until when nothing that is sent to a machine arrives, while its reports do */
  const commandsLostUntil = new Map<string, number>();
  /** until when the reports of a machine reach no owner, while direct commands reach the machine */
  const heartbeatsLostUntil = new Map<string, number>();
  /** saves without an answer, applied later */
  const delayedSaves: { at: number; save: () => void }[] = [];
  /** since when the former owner has learned of no cancellation */
  let formerOwnerSinceMs = 0;
  let cancelledAtEnd = 0;
  let servicesStarted = 0;
  const delayedCommands: DelayedCommands[] = [];
  const hungUntil = new Map<string, number>();
  const duplicates: DuplicateReport[] = [];
  /** reports that the network holds back until the next owner starts */
  let reportsForNextOwner: Heartbeat[] = [];
  let duplicatesDelivered = 0;
  let delayedReportsDelivered = 0;
  let saveAnswersLost = 0;
  let commandLossFaults = 0;
  let commandCopies = 0;
  let machines = 0;
  let jobs = 0;

  /** Saves completions, with faults, and ends the jobs whose tasks are all completed. */
  const saveAndFinalize = (now: number): void => {
    for (const jobState of [...shard.jobs.values()]) {
      const { uid, tasks, kind } = jobState.spec;
      if (kind === 'service') {
        if (jobState.savedCompletions.size + jobState.unsavedCompletions.size > 0)
          world.violations.push(`service done ${uid}`);
        continue;
      }
      const saving = [...jobState.unsavedCompletions];
      if (saving.length > 0 && chance(10)) {
        // No answer: the owner goes on as if nothing was saved, and the write is applied later.
        const bits = new Set([...jobState.savedCompletions, ...saving]);
        const save = () => {
          const range = { from: 0, to: tasks };
          const before = decodeDone(range, store.doneBitmaps.get(`${uid}/0`) ?? '');
          store.doneBitmaps.set(`${uid}/0`, encodeDone(range, new Set([...before, ...bits])));
        };
        delayedSaves.push({ at: now + 2000 + random(10_000), save });
        continue;
      }
      if (saving.length > 0 && chance(5)) {
        // Applied at once, and only the answer is lost: others read completions that this owner takes for unsaved.
        saveAnswersLost += 1;
        const range = { from: 0, to: tasks };
        store.doneBitmaps.set(
          `${uid}/0`,
          encodeDone(range, new Set([...jobState.savedCompletions, ...saving])),
        );
        continue;
      }
      shard.markCompletionsSaved(uid, saving);
      if (jobState.savedCompletions.size > 0) {
        store.doneBitmaps.set(
          `${uid}/0`,
          encodeDone({ from: 0, to: tasks }, jobState.savedCompletions),
        );
      }
      if (jobState.savedCompletions.size === tasks && !jobState.ended) {
        if (chance(10)) {
          // The job is cancelled at the moment of its end, and the cancellation comes first.
          cancelledAtEnd += 1;
          store.jobs.delete(uid);
          world.cancelledAt.set(uid, now);
          continue;
        }
        const done = world.completed.get(uid)?.size ?? 0;
        // The tasks of a gang complete together: one completed task stands for all.
        const needed = jobState.spec.kind === 'gang' ? 1 : tasks;
        if (done < needed) world.violations.push(`not_done ${uid}`);
        store.jobs.delete(uid);
      }
    }
  };

  for (let now = 0; now < 240_000; now += STEP_MS) {
    if (workers.size < 4) {
      machines += 1;
      const name = `m${machines}`;
      const worker = new FakeWorker(name, world, 4000 + random(20_000), LEASE_MS, now);
      worker.failsTasks = chance(5);
      workers.set(name, worker);
      store.add(machine(name, { term }));
    }
    if (chance(20) && store.jobs.size < 12) {
      jobs += 1;
      const gang = chance(30);
      const tasks = 1 + random(4);
      const kind = gang ? 'gang' : chance(15) ? 'service' : 'array';
      if (kind === 'service') servicesStarted += 1;
      store.add(job({ uid: `job-${jobs}`, tasks, kind }, term));
    }
    if (chance(1)) {
      const uid = [...store.jobs.keys()][random(store.jobs.size)];
      if (uid !== undefined) {
        store.jobs.delete(uid);
        world.cancelledAt.set(uid, now);
        // The machines of the cancelled job hang at that moment.
        if (chance(40)) {
          for (const [task, on] of world.runningOn) {
            if (!task.startsWith(`${uid}/`)) continue;
            for (const name of on) hungUntil.set(name, now + random(30_000));
          }
        }
      }
    }
    if (chance(0.7)) {
      // Sometimes the next owner ends before it has done anything.
      for (let lives = chance(20) ? 2 : 1; lives > 0; lives--) {
        formerOwner = shard;
        formerOwnerSinceMs = now;
        term += TOKENS_PER_TERM;
        shard = shardWith(store, term, {}, now);
        for (const heartbeat of reportsForNextOwner) shard.handleHeartbeat(heartbeat, now, true);
        delayedReportsDelivered += reportsForNextOwner.length;
      }
      reportsForNextOwner = [];
    }
    for (const copy of duplicates.filter((message) => message.at <= now)) {
      duplicates.splice(duplicates.indexOf(copy), 1);
      duplicatesDelivered += 1;
      // The answer to a copy reaches nobody.
      shard.handleHeartbeat(copy.heartbeat, now, true);
      if (formerOwner !== null) formerOwner.handleHeartbeat(copy.heartbeat, now, false);
    }
    shard.sync(store, now);
    shard.expireLeases(now);
    shard.placeAll(now);

    for (const { machine: machineState, commands, starts } of shard.directCommands(now)) {
      const worker = workers.get(machineState.record.name);
      if (worker === undefined) continue;
      const agentEpoch = machineState.epoch!.number;
      const { token } = machineState.fencing;
      if (chance(30)) {
        // No answer: the commands are carried out later, twice, or never.
        for (let repeats = random(3); repeats > 0; repeats--) {
          delayedCommands.push({ at: now + random(60_000), worker, token, agentEpoch, commands });
        }
        continue;
      }
      // Commands to a machine that loses all commands never arrive and get no answer.
      if ((commandsLostUntil.get(worker.name) ?? 0) > now) continue;
      if (worker.hung || (silentUntil.get(worker.name) ?? 0) > now) {
        shard.settleDirectStarts(machineState, starts, false);
        continue;
      }
      const executed = worker.executeDirect(token, agentEpoch, commands);
      if (chance(COPIED_COMMANDS_PERCENT)) {
        commandCopies += 1;
        const at = now + random(MAX_DUPLICATE_DELAY_MS);
        delayedCommands.push({ at, worker, token, agentEpoch, commands });
      }
      shard.handleCommandStatus(worker.heartbeat(), now);
      shard.settleDirectStarts(machineState, starts, executed);
    }
    for (const delayed of delayedCommands.filter((message) => message.at <= now)) {
      delayedCommands.splice(delayedCommands.indexOf(delayed), 1);
      if (workers.has(delayed.worker.name))
        delayed.worker.executeDirect(delayed.token, delayed.agentEpoch, delayed.commands);
    }

    for (const [name, worker] of [...workers]) {
      worker.advance(now);
      if (chance(0.3)) worker.hung = !worker.hung;
      const until = hungUntil.get(name);
      if (until !== undefined) {
        worker.hung = until > now;
        if (!worker.hung) hungUntil.delete(name);
      }
      if (chance(0.2)) heartbeatsLostUntil.set(name, now + random(40_000));
      if (chance(0.3)) silentUntil.set(name, now + random(30_000));
      if (chance(0.3)) {
        commandsLostUntil.set(name, now + random(40_000));
        commandLossFaults += 1;
      }
      if (worker.hung || (silentUntil.get(name) ?? 0) > now) continue;
      if ((heartbeatsLostUntil.get(name) ?? 0) > now) continue;
      if (random(6) > 0) continue;
      const report = worker.heartbeat();
      for (let more = chance(15) ? 1 + random(2) : 0; more > 0; more--) {
        duplicates.push({ at: now + random(MAX_DUPLICATE_DELAY_MS), heartbeat: report });
      }
      if (chance(5)) reportsForNextOwner.push(report);
      const owner = formerOwner !== null && chance(20) ? formerOwner : shard;
      const mayRenew = now - formerOwnerSinceMs <= renewalWindowMs(CANCEL_MS, LEASE_MS);
      const result = owner.handleHeartbeat(
        report,
        now,
        owner === shard,
        owner === shard || mayRenew,
      );
      if (result.kind !== 'answer') continue;
      // Some answers get lost, and all answers to machines that lose commands.
      if ((commandsLostUntil.get(name) ?? 0) > now) continue;
      if (!chance(15))
        worker.onHeartbeatAnswer(result.fencingToken, result.commands, now, report.agentEpoch);
    }
    for (const machineState of [...shard.machines.values()]) {
      if (
        !shard.heartbeatsLost(machineState, now) &&
        !shard.commandsLost(machineState, now) &&
        machineState.faultStatus !== 'quarantined'
      )
        continue;
      machineState.terminating = true;
      if (chance(50)) continue;
      workers.get(machineState.record.name)?.terminate();
      workers.delete(machineState.record.name);
      shard.removeMachine(machineState.record.name, now);
      store.machines.delete(machineState.record.name);
    }
    saveAndFinalize(now);
    for (const delayed of delayedSaves.filter((message) => message.at <= now)) {
      delayedSaves.splice(delayedSaves.indexOf(delayed), 1);
      delayed.save();
    }
    assertDerivedState(shard);
    world.checkCancellations(now);
    if (world.violations.length > 0) break;
  }
  // No job that was accepted and not cancelled is forgotten.
  for (const uid of store.jobs.keys()) {
    if (!shard.jobs.has(uid)) world.violations.push(`forgotten ${uid}`);
  }
  return {
    world,
    duplicatesDelivered,
    commandCopies,
    commandLossFaults,
    cancelledAtEnd,
    servicesStarted,
    delayedReportsDelivered,
    saveAnswersLost,
  };
};

test('random faults, with fixed seeds: no invariant is violated', () => {
  let started = 0;
  let completed = 0;
  let duplicatesDelivered = 0;
  let commandLossFaults = 0;
  let cancelledAtEnd = 0;
  let servicesStarted = 0;
  let delayedReportsDelivered = 0;
  let saveAnswersLost = 0;
  let commandCopies = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const { world, ...counts } = simulate(seed);
    assert.deepEqual(world.violations, [], `seed ${seed}`);
    duplicatesDelivered += counts.duplicatesDelivered;
    commandLossFaults += counts.commandLossFaults;
    cancelledAtEnd += counts.cancelledAtEnd;
    servicesStarted += counts.servicesStarted;
    delayedReportsDelivered += counts.delayedReportsDelivered;
    saveAnswersLost += counts.saveAnswersLost;
    commandCopies += counts.commandCopies;
    started += world.starts;
    for (const done of world.completed.values()) completed += done.size;
  }
  assert.ok(started > 2000, `only ${started} starts: too few to test anything`);
  assert.ok(completed > 1000, `only ${completed} completions`);
  assert.ok(cancelledAtEnd > 20 && servicesStarted > 100, `${cancelledAtEnd} ${servicesStarted}`);
  assert.ok(
    delayedReportsDelivered > 100 && saveAnswersLost > 50,
    `${delayedReportsDelivered} ${saveAnswersLost}`,
  );
  assert.ok(commandCopies > 500, `${commandCopies} copies of direct commands`);
  assert.ok(
    duplicatesDelivered > 1000 && commandLossFaults > 100,
    `${duplicatesDelivered} copies, ${commandLossFaults} faults that lose commands`,
  );
});
