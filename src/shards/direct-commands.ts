import { CLAIM_PAUSE_MS } from './constants.js';
import type { Command } from '../core/model.js';
import type { MachineState, Shard, Placement } from '../core/shard/shard.js';
import { sendDirectCommands } from '../workers/direct-command-client.js';
import type { OwnedShard } from './owned-shard.js';

/** times that a worker of a session that we did not know is tried */
const TRIES = 2;

/**
 * Commands that should not wait for a worker's next report: stops, starts, and the news of our term. Each has
 * a socket of its own while it is under way, so there are only so many at a time; the rest is told in the
 * next round, or by the answer to the worker's report.
 */
export class DirectCommands {
  #underWay = 0;

  constructor(
    private readonly most: number,
    private readonly isOwned: (shard: Shard) => boolean,
    private readonly now: () => number,
  ) {}

  /** Stopping under our own term can only be safe, whatever we know: it needs no authority. */
  stops(owned: OwnedShard, now: number): void {
    const { shard } = owned;
    const room = this.most - this.#underWay;
    for (const { machine, commands } of shard.directCommands(now, room, false)) {
      void this.#send(owned, machine, commands);
    }
  }

  /** Starts and stops, and the news of our term to workers that may not know it. */
  tick(owned: OwnedShard, now: number): void {
    const { shard } = owned;
    const room = this.most - this.#underWay;
    for (const { machine, commands, starts } of shard.directCommands(now, room, true)) {
      void this.#send(owned, machine, commands, starts);
    }
    this.#claim(owned);
  }

  #claim(owned: OwnedShard): void {
    const { shard } = owned;
    for (const m of shard.machinesToProbe()) {
      const { name } = m.record;
      if (this.#underWay >= this.most) return;
      if (m.address === null || !owned.beginProbe(name)) continue;
      void this.#send(owned, m, []).finally(() => {
        setTimeout(() => owned.endProbe(name), CLAIM_PAUSE_MS);
      });
    }
  }

  async #send(
    { shard, authorization }: OwnedShard,
    m: MachineState,
    commands: readonly Command[],
    starts: readonly Placement[] = [],
  ): Promise<void> {
    for (let tries = 0; tries < TRIES; tries++) {
      const agentEpoch = Math.max(1, m.agentEpoch);
      this.#underWay += 1;
      const sent = await sendDirectCommands(m.address!, shard.term, agentEpoch, commands).finally(
        () => {
          this.#underWay -= 1;
        },
      );
      if (sent.kind !== 'not_sent' && sent.kind !== 'in_doubt' && !sent.executed) {
        const { fencingToken } = sent.heartbeat;
        if (fencingToken > shard.term) authorization.recordRejection('machine', fencingToken);
      }
      if (sent.kind === 'in_doubt' || !this.isOwned(shard)) return;
      if (sent.kind === 'not_sent') {
        shard.directStartsSettled(starts, false);
        return;
      }
      shard.handleCommandStatus(sent.heartbeat, this.now());
      shard.directStartsSettled(starts, sent.executed);
      if (sent.executed || starts.length > 0) return;
      // 409 by a session that we did not know; its report has told us now.
      if (sent.heartbeat.agentEpoch === agentEpoch || sent.heartbeat.fencingToken > shard.term)
        return;
      m.agentEpoch = Math.max(m.agentEpoch, sent.heartbeat.agentEpoch);
    }
  }
}
