import { Authorization, type Tenure } from './authorization.js';
import { Election, allKnowDuties, sameMember, type DutyStep, type DutyView } from './election.js';
import { NO_TENURE, nextToken } from './fencing-token.js';
import {
  dutyKey,
  handOverKey,
  type DutyRecord,
  type HandOverRequest,
  type Member,
} from './records.js';
import type { Log, Refusals } from './refusals.js';
import {
  StoreUnavailableError,
  type Guard,
  type CompareAndSwapStore,
  type Versioned,
  type Write,
} from './store.js';

/** What the manager needs of the process that runs it. */
export interface DutyPorts {
  readonly store: CompareAndSwapStore;
  /** records, requests and members as they are known here */
  readonly view: () => DutyView;
  /** whether this process's lease provably lives and the view shows everything from before it did */
  readonly authority: () => boolean;
  /** shows a committed transaction in the view, ahead of the store's watch */
  readonly committed: (writes: readonly Write[], epoch: number) => void;
  /** steady ms */
  readonly now: () => number;
  /** time of day in ms, for people only */
  readonly timeOfDay: () => number;
  readonly refusals: Refusals;
  readonly log: Log;
}

/** Which duties there are, and who this process is. */
export interface DutySettings {
  readonly me: Member;
  readonly duties: readonly string[];
  /** ms that each later candidate for a vacant duty leaves to the one before it */
  readonly graceMs: number;
  /** the key that stands for a member's life */
  readonly memberKey: (member: Member) => string;
}

/** A transaction that moves a duty away, repeated as it is until its outcome is known. */
interface PendingHandOver {
  readonly revision: number;
  readonly guards: readonly Guard[];
  readonly writes: readonly Write[];
}

/**
 * Acquires, holds, releases and hands over duties. Nothing about the own tenures is remembered: what is
 * held is what the store's records say, as long as the lease provably lives. So an answer that got lost, or a
 * transaction that was carried out late, needs no care of its own.
 */
export class DutyManager {
  readonly #election: Election;
  readonly #busy = new Set<string>();
  readonly #handingOver = new Map<string, PendingHandOver>();

  constructor(
    private readonly settings: DutySettings,
    private readonly ports: DutyPorts,
  ) {
    this.#election = new Election(settings.me, settings.duties, settings.graceMs);
  }

  /** One round: closes the difference between what is held and what should be. */
  tick(): void {
    if (!this.ports.authority()) return;
    for (const [duty, pending] of this.#handingOver) void this.#finishHandOver(duty, pending);
    const steps = this.#election.steps(this.ports.view(), this.ports.now());
    for (const step of steps) {
      if (!this.#handingOver.has(step.duty)) this.#carryOut(step);
    }
  }

  /** The right to act for a duty; null while this process does not provably hold it. */
  authorize(duty: string): Authorization | null {
    const record = this.#ownRecord(duty);
    if (record === null) return null;
    const tenure: Tenure = {
      duty,
      token: record.value.token,
      condition: { key: dutyKey(duty), revision: record.revision },
      holds: () => this.#holds(duty, record.revision),
    };
    return tenure.holds() ? new Authorization(tenure, this.ports.refusals) : null;
  }

  /** Lets go of a duty that this process holds, for any other node to take. */
  release(duty: string): void {
    const record = this.#ownRecord(duty);
    if (record === null || this.#handingOver.has(duty)) return;
    this.#beginHandOver(duty, record, null, [], []);
  }

  /** The duty's record if it names this life of the node. */
  #ownRecord(duty: string): Versioned<DutyRecord> | null {
    const record = this.ports.view().records.get(duty);
    const holder = record?.value.holder ?? null;
    if (record === undefined || holder === null) return null;
    return sameMember(holder, this.settings.me) ? record : null;
  }

  #holds(duty: string, revision: number): boolean {
    if (!this.ports.authority() || this.#handingOver.has(duty)) return false;
    const record = this.#ownRecord(duty);
    return record?.revision === revision && allKnowDuties(this.ports.view());
  }

  #carryOut(step: DutyStep): void {
    switch (step.kind) {
      case 'acquire':
        void this.#once(step.duty, () => this.#acquire(step.duty, step.previous));
        return;
      case 'hand_over': {
        const { duty, record, request, to } = step;
        const asked: Guard = { key: handOverKey(duty), revision: request.revision };
        const living = to === null ? [] : [{ key: this.#memberKey(to), revision: to.revision }];
        this.#beginHandOver(duty, record, to, [asked, ...living], [{ drop: asked.key }]);
        return;
      }
      case 'drop_request':
        void this.#once(step.duty, () => this.#dropRequest(step.duty, step.request));
        return;
    }
  }

  #memberKey({ node, incarnation }: Member): string {
    return this.settings.memberKey({ node, incarnation });
  }

  /** One call a duty at a time; the store's troubles are left to the next round. */
  async #once(duty: string, work: () => Promise<void>): Promise<void> {
    if (this.#busy.has(duty)) return;
    this.#busy.add(duty);
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.ports.log.debug({ duty, error: error.message }, 'duty not written');
    } finally {
      this.#busy.delete(duty);
    }
  }

  /** Depends on our own life being registered, and on the life of the former holder being over. */
  async #acquire(duty: string, previous: Versioned<DutyRecord> | null): Promise<void> {
    const { me } = this.settings;
    const own = this.ports.view().members.find((m) => sameMember(m, me));
    if (own === undefined) return;
    const guards: Guard[] = [
      { key: dutyKey(duty), revision: previous?.revision ?? 0 },
      { key: this.#memberKey(me), revision: own.revision },
    ];
    const holder = previous?.value.holder ?? null;
    if (holder !== null && holder.node !== me.node) {
      guards.push({ key: this.#memberKey(holder), revision: 0 });
    }
    const token = nextToken(previous?.value.token ?? NO_TENURE);
    const record = this.#record(me, holder?.node ?? previous?.value.former ?? null, token);
    const writes = [{ put: dutyKey(duty), value: record }];
    const outcome = await this.ports.store.compareAndSwap('lease', guards, writes);
    if (!outcome.ok) return;
    this.ports.committed(writes, outcome.epoch);
    this.ports.log.info({ duty, token, from: holder?.node ?? null }, 'duty acquired');
  }

  #record(holder: Member | null, former: string | null, token: DutyRecord['token']): DutyRecord {
    return { holder, former, token, sinceMs: this.ports.timeOfDay() };
  }

  async #dropRequest(duty: string, request: Versioned<HandOverRequest>): Promise<void> {
    const key = handOverKey(duty);
    const writes = [{ drop: key }];
    const guards = [{ key, revision: request.revision }];
    const outcome = await this.ports.store.compareAndSwap('normal', guards, writes);
    if (outcome.ok) this.ports.committed(writes, outcome.epoch);
  }

  /** From here on this process acts for the duty no more, whatever becomes of the transaction. */
  #beginHandOver(
    duty: string,
    record: Versioned<DutyRecord>,
    to: Member | null,
    conditions: readonly Guard[],
    writes: readonly Write[],
  ): void {
    const { me } = this.settings;
    const next = to === null ? null : { node: to.node, incarnation: to.incarnation };
    // A release keeps its token: the tenure that follows takes the next one.
    const { token } = record.value;
    const value = this.#record(next, me.node, next === null ? token : nextToken(token));
    const pending: PendingHandOver = {
      revision: record.revision,
      guards: [{ key: dutyKey(duty), revision: record.revision }, ...conditions],
      writes: [{ put: dutyKey(duty), value }, ...writes],
    };
    this.#handingOver.set(duty, pending);
    void this.#finishHandOver(duty, pending);
  }

  /**
   * Repeats the transaction until it is answered. Each condition names a revision, and a revision that has
   * passed never comes back: once one copy is refused, no other copy can be carried out any more, and this
   * process still holds the duty if its record is unchanged.
   */
  #finishHandOver(duty: string, pending: PendingHandOver): Promise<void> {
    return this.#once(duty, async () => {
      const outcome = await this.ports.store.compareAndSwap(
        'lease',
        pending.guards,
        pending.writes,
      );
      if (outcome.ok) {
        this.ports.committed(pending.writes, outcome.epoch);
        this.ports.log.info({ duty }, 'duty handed over');
      }
      this.#handingOver.delete(duty);
    });
  }
}
