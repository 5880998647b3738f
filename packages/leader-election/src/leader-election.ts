import { Authorization, type Leadership } from './authorization.js';
import {
  ElectionPolicy,
  allSupportElection,
  sameMember,
  type ElectionStep,
  type ElectionView,
} from './election-policy.js';
import { INITIAL_TOKEN, nextToken } from './fencing-token.js';
import {
  leaderKey,
  transferRequestKey,
  type LeaderRecord,
  type LeadershipTransferRequest,
  type Member,
} from './records.js';
import type { Log, FencingRejections } from './fencing-rejections.js';
import {
  StoreUnavailableError,
  type Guard,
  type CompareAndSwapStore,
  type Versioned,
  type Write,
} from './store.js';

/** What the manager needs of the process that runs it. */
export interface LeaderElectionDependencies {
  readonly store: CompareAndSwapStore;
  /** records, requests and members as they are known here */
  readonly view: () => ElectionView;
  /** whether this process's lease provably lives and the view shows everything from before it did */
  readonly hasAuthority: () => boolean;
  /** shows a committed transaction in the view, ahead of the store's watch */
  readonly onCommitted: (writes: readonly Write[], epoch: number) => void;
  /** steady ms */
  readonly steadyMs: () => number;
  /** time of day in ms, for people only */
  readonly wallClockMs: () => number;
  readonly rejections: FencingRejections;
  readonly log: Log;
}

/** Which duties there are, and who this process is. */
export interface LeaderElectionOptions {
  readonly self: Member;
  readonly roles: readonly string[];
  /** ms that each later candidate for a vacant duty leaves to the one before it */
  readonly candidateDelayMs: number;
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
export class LeaderElection {
  readonly #policy: ElectionPolicy;
  readonly #busy = new Set<string>();
  readonly #handingOver = new Map<string, PendingHandOver>();

  constructor(
    private readonly settings: LeaderElectionOptions,
    private readonly ports: LeaderElectionDependencies,
  ) {
    this.#policy = new ElectionPolicy(settings.self, settings.roles, settings.candidateDelayMs);
  }

  /** One round: closes the difference between what is held and what should be. */
  tick(): void {
    if (!this.ports.hasAuthority()) return;
    for (const [role, pending] of this.#handingOver) void this.#finishHandOver(role, pending);
    const steps = this.#policy.steps(this.ports.view(), this.ports.steadyMs());
    for (const step of steps) {
      if (!this.#handingOver.has(step.role)) this.#carryOut(step);
    }
  }

  /** The right to act for a duty; null while this process does not provably hold it. */
  authorize(role: string): Authorization | null {
    const record = this.#ownRecord(role);
    if (record === null) return null;
    const leadership: Leadership = {
      role,
      fencingToken: record.value.token,
      guard: { key: leaderKey(role), revision: record.revision },
      isCurrent: () => this.#holds(role, record.revision),
    };
    return leadership.isCurrent() ? new Authorization(leadership, this.ports.rejections) : null;
  }

  /** Lets go of a duty that this process holds, for any other node to take. */
  release(role: string): void {
    const record = this.#ownRecord(role);
    if (record === null || this.#handingOver.has(role)) return;
    this.#beginHandOver(role, record, null, [], []);
  }

  /** The duty's record if it names this life of the node. */
  #ownRecord(role: string): Versioned<LeaderRecord> | null {
    const record = this.ports.view().records.get(role);
    const holder = record?.value.holder ?? null;
    if (record === undefined || holder === null) return null;
    return sameMember(holder, this.settings.self) ? record : null;
  }

  #holds(role: string, revision: number): boolean {
    if (!this.ports.hasAuthority() || this.#handingOver.has(role)) return false;
    const record = this.#ownRecord(role);
    return record?.revision === revision && allSupportElection(this.ports.view());
  }

  #carryOut(step: ElectionStep): void {
    switch (step.kind) {
      case 'acquire':
        void this.#once(step.role, () => this.#acquire(step.role, step.previous));
        return;
      case 'hand_over': {
        const { role, record, request, to } = step;
        const asked: Guard = { key: transferRequestKey(role), revision: request.revision };
        const living = to === null ? [] : [{ key: this.#memberKey(to), revision: to.revision }];
        this.#beginHandOver(role, record, to, [asked, ...living], [{ drop: asked.key }]);
        return;
      }
      case 'drop_request':
        void this.#once(step.role, () => this.#dropRequest(step.role, step.request));
        return;
    }
  }

  #memberKey({ node, incarnation }: Member): string {
    return this.settings.memberKey({ node, incarnation });
  }

  /** One call a duty at a time; the store's troubles are left to the next round. */
  async #once(role: string, work: () => Promise<void>): Promise<void> {
    if (this.#busy.has(role)) return;
    this.#busy.add(role);
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.ports.log.debug({ duty: role, error: error.message }, 'duty not written');
    } finally {
      this.#busy.delete(role);
    }
  }

  /** Depends on our own life being registered, and on the life of the former holder being over. */
  async #acquire(role: string, previous: Versioned<LeaderRecord> | null): Promise<void> {
    const { self } = this.settings;
    const own = this.ports.view().members.find((m) => sameMember(m, self));
    if (own === undefined) return;
    const guards: Guard[] = [
      { key: leaderKey(role), revision: previous?.revision ?? 0 },
      { key: this.#memberKey(self), revision: own.revision },
    ];
    const holder = previous?.value.holder ?? null;
    if (holder !== null && holder.node !== self.node) {
      guards.push({ key: this.#memberKey(holder), revision: 0 });
    }
    const token = nextToken(previous?.value.token ?? INITIAL_TOKEN);
    const record = this.#record(self, holder?.node ?? previous?.value.former ?? null, token);
    const writes = [{ put: leaderKey(role), value: record }];
    const outcome = await this.ports.store.compareAndSwap('lease', guards, writes);
    if (!outcome.ok) return;
    this.ports.onCommitted(writes, outcome.epoch);
    this.ports.log.info({ duty: role, token, from: holder?.node ?? null }, 'duty acquired');
  }

  #record(
    holder: Member | null,
    former: string | null,
    token: LeaderRecord['token'],
  ): LeaderRecord {
    return { holder, former, token, sinceMs: this.ports.wallClockMs() };
  }

  async #dropRequest(role: string, request: Versioned<LeadershipTransferRequest>): Promise<void> {
    const key = transferRequestKey(role);
    const writes = [{ drop: key }];
    const guards = [{ key, revision: request.revision }];
    const outcome = await this.ports.store.compareAndSwap('normal', guards, writes);
    if (outcome.ok) this.ports.onCommitted(writes, outcome.epoch);
  }

  /** From here on this process acts for the duty no more, whatever becomes of the transaction. */
  #beginHandOver(
    role: string,
    record: Versioned<LeaderRecord>,
    to: Member | null,
    conditions: readonly Guard[],
    writes: readonly Write[],
  ): void {
    const { self } = this.settings;
    const next = to === null ? null : { node: to.node, incarnation: to.incarnation };
    // A release keeps its token: the tenure that follows takes the next one.
    const { token } = record.value;
    const value = this.#record(next, self.node, next === null ? token : nextToken(token));
    const pending: PendingHandOver = {
      revision: record.revision,
      guards: [{ key: leaderKey(role), revision: record.revision }, ...conditions],
      writes: [{ put: leaderKey(role), value }, ...writes],
    };
    this.#handingOver.set(role, pending);
    void this.#finishHandOver(role, pending);
  }

  /**
   * Repeats the transaction until it is answered. Each condition names a revision, and a revision that has
   * passed never comes back: once one copy is refused, no other copy can be carried out any more, and this
   * process still holds the duty if its record is unchanged.
   */
  #finishHandOver(role: string, pending: PendingHandOver): Promise<void> {
    return this.#once(role, async () => {
      const outcome = await this.ports.store.compareAndSwap(
        'lease',
        pending.guards,
        pending.writes,
      );
      if (outcome.ok) {
        this.ports.onCommitted(pending.writes, outcome.epoch);
        this.ports.log.info({ duty: role }, 'duty handed over');
      }
      this.#handingOver.delete(role);
    });
  }
}
