/**
 * Commands that should not wait for a worker's next heartbeat: stops, starts, and probes that tell a worker of the
 * shard's term. Each has a socket of its own while it is in flight, so their number is limited; the rest goes out in
 * the next round, or with the answer to the worker's heartbeat.
 */
import type { Command } from '../core/model.js';
import type { MachineState, Placement, Shard } from '../core/shard/shard.js';
import { sendDirectCommands, type DirectCommandResult } from '../workers/direct-command-client.js';
import { PROBE_PAUSE_MS } from './constants.js';
import type { OwnedShard } from './owned-shard.js';

/** attempts for a worker whose agent epoch turns out to be another one */
const MAX_ATTEMPTS = 2;

/** What direct commands need of the process. */
export interface DirectCommandsDependencies {
  /** sockets that direct commands may use at a time */
  readonly maxInFlight: number;
  /** whether this node still owns the shard under the term of this object */
  readonly isOwned: (shard: Shard) => boolean;
  /** steady ms */
  readonly now: () => number;
}

/** One message to a worker, and the placements that its starts stand for. */
interface Message {
  readonly machine: MachineState;
  readonly commands: readonly Command[];
  readonly starts: readonly Placement[];
}

/** Sends commands to workers directly. */
export class DirectCommands {
  #inFlight = 0;

  constructor(private readonly dependencies: DirectCommandsDependencies) {}

  /** Sends stops alone: under the shard's own term they are safe whatever else is known, so need no authority. */
  sendStops(owned: OwnedShard, now: number): void {
    for (const message of owned.shard.directCommands(now, this.#freeSockets, false)) {
      void this.#send(owned, message);
    }
  }

  /** Sends starts and stops, and probes workers that may not know the term; to be called with authority only. */
  sendAll(owned: OwnedShard, now: number): void {
    for (const message of owned.shard.directCommands(now, this.#freeSockets, true)) {
      void this.#send(owned, message);
    }
    this.#probe(owned);
  }

  get #freeSockets(): number {
    return this.dependencies.maxInFlight - this.#inFlight;
  }

  #probe(owned: OwnedShard): void {
    for (const machine of owned.shard.machinesToProbe()) {
      const { name } = machine.record;
      if (this.#freeSockets <= 0) return;
      if (machine.address === null || !owned.beginProbe(name)) continue;
      void this.#send(owned, { machine, commands: [], starts: [] }).finally(() => {
        setTimeout(() => {
          owned.endProbe(name);
        }, PROBE_PAUSE_MS);
      });
    }
  }

  async #send(owned: OwnedShard, message: Message): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const agentEpoch = Math.max(1, message.machine.agentEpoch);
      const result = await this.#sendOnce(owned.shard, message, agentEpoch);
      const retry = this.#handleResult(owned, message, agentEpoch, result);
      if (!retry) return;
    }
  }

  #sendOnce(shard: Shard, message: Message, agentEpoch: number): Promise<DirectCommandResult> {
    const { machine, commands } = message;
    this.#inFlight += 1;
    return sendDirectCommands(machine.address!, shard.term, agentEpoch, commands).finally(() => {
      this.#inFlight -= 1;
    });
  }

  /** Takes in the outcome; true if the worker refused an agent epoch that is known to be outdated now. */
  #handleResult(
    { shard, authorization }: OwnedShard,
    { machine, starts }: Message,
    agentEpoch: number,
    result: DirectCommandResult,
  ): boolean {
    if (result.kind === 'answered' && !result.executed) {
      const { fencingToken } = result.heartbeat;
      if (fencingToken > shard.term) authorization.recordRejection('machine', fencingToken);
    }
    if (result.kind === 'in_doubt' || !this.dependencies.isOwned(shard)) return false;
    if (result.kind === 'not_sent') {
      shard.settleDirectStarts(starts, false);
      return false;
    }
    const { executed, heartbeat } = result;
    shard.handleCommandStatus(heartbeat, this.dependencies.now());
    shard.settleDirectStarts(starts, executed);
    if (executed || starts.length > 0) return false;
    // 409: the worker's agent epoch was another one, which its heartbeat has told now.
    if (heartbeat.agentEpoch === agentEpoch || heartbeat.fencingToken > shard.term) return false;
    machine.agentEpoch = Math.max(machine.agentEpoch, heartbeat.agentEpoch);
    return true;
  }
}
