/**
 * Commands that are sent to workers directly instead of with the answer to their next heartbeat: stops, starts, and
 * probes that tell a worker the shard's term. Each message uses a socket of its own while it is in flight, so the
 * number in flight is limited. The remaining commands are sent in a later round, or with the answer to a heartbeat.
 */
import type { Command } from '../core/model.js';
import type { MachineState, Shard } from '../core/shard/shard.js';
import type { DirectStart } from '../core/shard/start-fencing.js';
import { sendDirectCommands, type DirectCommandResult } from '../workers/direct-command-client.js';
import { PROBE_PAUSE_MS } from './constants.js';
import type { OwnedShard } from './owned-shard.js';

/** The agent epoch that a worker is taken to have before its first message. */
const FIRST_AGENT_EPOCH = 1;

/** Maximum number of attempts to send a message to a worker that refuses its agent epoch or its fencing token. */
const MAX_ATTEMPTS = 2;

/** The socket limit, ownership check and clock that `DirectCommands` uses. */
export interface DirectCommandsDependencies {
  /** maximum number of sockets that direct commands use at a time */
  readonly maxInFlight: number;
  /** whether this node still owns the shard under the term of this state */
  readonly isOwned: (shard: Shard) => boolean;
  /** monotonic ms */
  readonly now: () => number;
}

/** A message to a worker, and the starts among its commands. */
interface Message {
  readonly machine: MachineState;
  readonly commands: readonly Command[];
  readonly starts: readonly DirectStart[];
}

/** The fencing token and the agent epoch under which a message is sent. */
interface Envelope {
  readonly fencingToken: number;
  readonly agentEpoch: number;
}

/** Numbers of starts sent by direct command since the start of the process, by outcome. */
export interface DirectStartCounts {
  /** the worker executed it */
  executed: number;
  /** the worker refused it, because it knows a higher fencing token or a later agent epoch */
  refused: number;
  /** no connection was established */
  notSent: number;
  /** no answer arrived, so that the worker may still execute it */
  unanswered: number;
}

/** Sends commands to workers without waiting for a heartbeat. */
export class DirectCommands {
  readonly startCounts: DirectStartCounts = { executed: 0, refused: 0, notSent: 0, unanswered: 0 };
  #inFlight = 0;

  constructor(private readonly dependencies: DirectCommandsDependencies) {}

  /** Sends only stops. They need no authority, since they are always safe under the shard's own term. */
  sendStops(owned: OwnedShard, now: number): void {
    for (const message of owned.shard.directCommands(now, this.#freeSockets, false)) {
      void this.#send(owned, message);
    }
  }

  /** Sends starts and stops, and probes workers that may not know the term. The caller must have authority. */
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
      const { fencing, epoch } = message.machine;
      const agentEpoch = epoch?.number ?? FIRST_AGENT_EPOCH;
      const envelope = { fencingToken: fencing.token, agentEpoch };
      const result = await this.#sendOnce(message, envelope);
      const retry = this.#handleResult(owned, message, envelope, result);
      if (!retry) return;
    }
  }

  #sendOnce(
    { machine, commands }: Message,
    { fencingToken, agentEpoch }: Envelope,
  ): Promise<DirectCommandResult> {
    this.#inFlight += 1;
    return sendDirectCommands(machine.address!, fencingToken, agentEpoch, commands).finally(() => {
      this.#inFlight -= 1;
    });
  }

  /**
   * Processes the result of a message. Returns whether to retry, because the worker refused an agent epoch or a fencing
   * token that is now known to be outdated.
   */
  #handleResult(
    { shard, authorization }: OwnedShard,
    { machine, starts }: Message,
    envelope: Envelope,
    result: DirectCommandResult,
  ): boolean {
    this.startCounts[outcomeOf(result)] += starts.length;
    if (result.kind === 'answered' && !result.executed) {
      const { fencingToken } = result.heartbeat;
      if (fencingToken > shard.tokens.last) authorization.recordRejection('machine', fencingToken);
    }
    if (result.kind === 'in_doubt' || !this.dependencies.isOwned(shard)) return false;
    if (result.kind === 'not_sent') {
      shard.settleDirectStarts(machine, starts, false);
      return false;
    }
    const { executed, heartbeat } = result;
    shard.handleCommandStatus(heartbeat, this.dependencies.now());
    shard.settleDirectStarts(machine, starts, executed);
    if (executed || starts.length > 0 || heartbeat.fencingToken > shard.tokens.last) return false;
    // The worker answered 409 because it knows a later agent epoch or token, which its task list stated.
    return (
      heartbeat.agentEpoch !== envelope.agentEpoch || machine.fencing.token > envelope.fencingToken
    );
  }
}

const outcomeOf = (result: DirectCommandResult): keyof DirectStartCounts => {
  if (result.kind === 'not_sent') return 'notSent';
  if (result.kind === 'in_doubt') return 'unanswered';
  return result.executed ? 'executed' : 'refused';
};
