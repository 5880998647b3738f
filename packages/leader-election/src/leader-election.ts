/** Leader election for a set of roles: carries out what the election policy decides, in fenced transactions. */
import { Authorization } from './authorization.js';
import {
  ElectionPolicy,
  allSupportElection,
  isSameMember,
  type ElectionStep,
  type ElectionView,
} from './election-policy.js';
import { INITIAL_TOKEN, nextToken } from './fencing-token.js';
import type { FencingRejections, Log } from './fencing-rejections.js';
import {
  leaderKey,
  transferRequestKey,
  type LeaderRecord,
  type LeadershipTransferRequest,
  type Member,
} from './records.js';
import {
  StoreUnavailableError,
  type CompareAndSwapStore,
  type Guard,
  type Versioned,
  type Write,
} from './store.js';

/** What leader election needs of the process that runs it. */
export interface LeaderElectionDependencies {
  readonly store: CompareAndSwapStore;
  /** leader records, transfer requests and members as they are known here */
  readonly view: () => ElectionView;
  /** whether this process's lease is provably alive and the view shows everything from before it was */
  readonly hasAuthority: () => boolean;
  /** shows a committed transaction in the view, ahead of the store's watch */
  readonly onCommitted: (writes: readonly Write[], epoch: number) => void;
  /** the steady clock, ms */
  readonly steadyMs: () => number;
  /** time of day in ms, for people only */
  readonly wallClockMs: () => number;
  readonly rejections: FencingRejections;
  readonly log: Log;
}

/** Which roles there are, and who this process is. */
export interface LeaderElectionOptions {
  readonly self: Member;
  readonly roles: readonly string[];
  /** ms that each candidate for a vacant role waits for the one before it */
  readonly candidateDelayMs: number;
  /** the key that a member's lease keeps alive */
  readonly memberKey: (member: Member) => string;
}

/** A transaction that transfers or releases a leadership, repeated unchanged until its outcome is known. */
interface PendingTransfer {
  readonly guards: readonly Guard[];
  readonly writes: readonly Write[];
}

/** The transaction that acquires a role. */
interface Acquisition {
  readonly guards: readonly Guard[];
  readonly record: LeaderRecord;
}

/**
 * Acquires, releases and transfers the leadership of roles. It keeps no state about its own leaderships: this
 * process leads what the store's records say, as long as its lease is provably alive. So an answer that got
 * lost, or a transaction that was carried out late, needs no handling of its own.
 */
export class LeaderElection {
  readonly #policy: ElectionPolicy;
  /** roles with a call under way */
  readonly #rolesInFlight = new Set<string>();
  readonly #pendingTransfers = new Map<string, PendingTransfer>();

  constructor(
    private readonly options: LeaderElectionOptions,
    private readonly dependencies: LeaderElectionDependencies,
  ) {
    this.#policy = new ElectionPolicy(options.self, options.roles, options.candidateDelayMs);
  }

  /** One reconciliation round: acquires vacant roles and carries out transfer requests. Starts calls, awaits none. */
  tick(): void {
    const { hasAuthority, view, steadyMs } = this.dependencies;
    if (!hasAuthority()) return;
    for (const [role, transfer] of this.#pendingTransfers)
      void this.#commitTransfer(role, transfer);
    const steps = this.#policy.steps(view(), steadyMs());
    for (const step of steps) {
      if (!this.#pendingTransfers.has(step.role)) this.#execute(step);
    }
  }

  /** The right to act as the leader of a role; null while this process does not provably lead it. */
  authorize(role: string): Authorization | null {
    const record = this.#ownRecord(role);
    if (record === null) return null;
    const isCurrent = () => this.#isLeader(role, record.revision);
    if (!isCurrent()) return null;
    const { token: fencingToken } = record.value;
    const guard = { key: leaderKey(role), revision: record.revision };
    return new Authorization(
      { role, fencingToken, guard, isCurrent },
      this.dependencies.rejections,
    );
  }

  /** Gives up the leadership of a role, for any other node to acquire; does nothing if this process does not lead. */
  release(role: string): void {
    const record = this.#ownRecord(role);
    if (record === null || this.#pendingTransfers.has(role)) return;
    this.#beginTransfer(role, this.#buildTransfer(role, record, null));
  }

  /** The role's record if it names this incarnation of the node. */
  #ownRecord(role: string): Versioned<LeaderRecord> | null {
    const record = this.dependencies.view().records.get(role);
    const leader = record?.value.holder ?? null;
    if (record === undefined || leader === null) return null;
    return isSameMember(leader, this.options.self) ? record : null;
  }

  #isLeader(role: string, revision: number): boolean {
    const { hasAuthority, view } = this.dependencies;
    if (!hasAuthority() || this.#pendingTransfers.has(role)) return false;
    const record = this.#ownRecord(role);
    return record?.revision === revision && allSupportElection(view());
  }

  #execute(step: ElectionStep): void {
    switch (step.kind) {
      case 'acquire':
        void this.#exclusively(step.role, () => this.#acquire(step.role, step.previous));
        return;
      case 'transfer': {
        const { role, record, request, to } = step;
        const requestGuard: Guard = { key: transferRequestKey(role), revision: request.revision };
        const targetGuards =
          to === null ? [] : [{ key: this.#memberKey(to), revision: to.revision }];
        const transfer = this.#buildTransfer(role, record, to);
        this.#beginTransfer(role, {
          guards: [...transfer.guards, requestGuard, ...targetGuards],
          writes: [...transfer.writes, { drop: requestGuard.key }],
        });
        return;
      }
      case 'discard_request':
        void this.#exclusively(step.role, () => this.#discardRequest(step.role, step.request));
        return;
    }
  }

  #memberKey({ node, incarnation }: Member): string {
    return this.options.memberKey({ node, incarnation });
  }

  /** One call at a time for each role; while the store is unavailable, the next round tries again. */
  async #exclusively(role: string, work: () => Promise<void>): Promise<void> {
    if (this.#rolesInFlight.has(role)) return;
    this.#rolesInFlight.add(role);
    try {
      await work();
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.dependencies.log.debug({ role, error: error.message }, 'leadership not written');
    } finally {
      this.#rolesInFlight.delete(role);
    }
  }

  async #acquire(role: string, previous: Versioned<LeaderRecord> | null): Promise<void> {
    const acquisition = this.#buildAcquisition(role, previous);
    if (acquisition === null) return;
    const { guards, record } = acquisition;
    const { store, onCommitted, log } = this.dependencies;
    const writes = [{ put: leaderKey(role), value: record }];
    const outcome = await store.compareAndSwap('lease', guards, writes);
    if (!outcome.ok) return;
    onCommitted(writes, outcome.epoch);
    const from = previous?.value.holder?.node ?? null;
    log.info({ role, fencingToken: record.token, from }, 'leadership acquired');
  }

  /** Depends on this incarnation being registered, and on the lease of the former leader having ended. */
  #buildAcquisition(role: string, previous: Versioned<LeaderRecord> | null): Acquisition | null {
    const { self } = this.options;
    const own = this.dependencies.view().members.find((member) => isSameMember(member, self));
    if (own === undefined) return null;
    const guards: Guard[] = [
      { key: leaderKey(role), revision: previous?.revision ?? 0 },
      { key: this.#memberKey(self), revision: own.revision },
    ];
    if (previous === null)
      return { guards, record: this.#createRecord(self, null, nextToken(INITIAL_TOKEN)) };
    const { holder: leader, former, token } = previous.value;
    if (leader !== null && leader.node !== self.node) {
      guards.push({ key: this.#memberKey(leader), revision: 0 });
    }
    return { guards, record: this.#createRecord(self, leader?.node ?? former, nextToken(token)) };
  }

  #createRecord(
    holder: Member | null,
    former: string | null,
    token: LeaderRecord['token'],
  ): LeaderRecord {
    return { holder, former, token, sinceMs: this.dependencies.wallClockMs() };
  }

  async #discardRequest(
    role: string,
    request: Versioned<LeadershipTransferRequest>,
  ): Promise<void> {
    const key = transferRequestKey(role);
    const writes = [{ drop: key }];
    const guards = [{ key, revision: request.revision }];
    const outcome = await this.dependencies.store.compareAndSwap('normal', guards, writes);
    if (outcome.ok) this.dependencies.onCommitted(writes, outcome.epoch);
  }

  /** The transaction that writes the next record: led by `to`, or released if that is null. */
  #buildTransfer(
    role: string,
    record: Versioned<LeaderRecord>,
    to: Member | null,
  ): PendingTransfer {
    const next = to === null ? null : { node: to.node, incarnation: to.incarnation };
    // A release keeps its token: the leadership that follows takes the next one.
    const { token } = record.value;
    const tokenAfter = next === null ? token : nextToken(token);
    const value = this.#createRecord(next, this.options.self.node, tokenAfter);
    return {
      guards: [{ key: leaderKey(role), revision: record.revision }],
      writes: [{ put: leaderKey(role), value }],
    };
  }

  /** From here on this process does not act as the leader, whatever becomes of the transaction. */
  #beginTransfer(role: string, transfer: PendingTransfer): void {
    this.#pendingTransfers.set(role, transfer);
    void this.#commitTransfer(role, transfer);
  }

  /**
   * Repeats the transaction until it is answered. Each guard names a revision, and a revision that has passed
   * never comes back: once one copy is rejected, no other copy can be carried out any more, and this process
   * still leads if its record is unchanged.
   */
  #commitTransfer(role: string, { guards, writes }: PendingTransfer): Promise<void> {
    return this.#exclusively(role, async () => {
      const { store, onCommitted, log } = this.dependencies;
      const outcome = await store.compareAndSwap('lease', guards, writes);
      if (outcome.ok) {
        onCommitted(writes, outcome.epoch);
        log.info({ role }, 'leadership transferred');
      }
      this.#pendingTransfers.delete(role);
    });
  }
}
