/** Leader election for a set of roles: executes the steps that the election policy decides, in guarded transactions. */
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

/** The services that the surrounding process provides to leader election. */
export interface LeaderElectionDependencies {
  readonly store: CompareAndSwapStore;
  /** returns leader records, transfer requests and members as this process knows them */
  readonly view: () => ElectionView;
  /**
   * returns whether this process's lease is provably alive, and the view includes everything that was committed before
   * the lease became valid
   */
  readonly hasAuthority: () => boolean;
  /** applies a committed transaction to the view before the store's watch delivers it */
  readonly onCommitted: (writes: readonly Write[], epoch: number) => void;
  /** reads the monotonic clock */
  readonly monotonicMs: () => number;
  /** reads the time of day, which is shown to people and decides nothing */
  readonly wallClockMs: () => number;
  readonly rejections: FencingRejections;
  readonly log: Log;
}

/** The identity of this process, and the roles that it is a candidate for. */
export interface LeaderElectionOptions {
  readonly self: Member;
  readonly roles: readonly string[];
  /** delay by which each candidate for a vacant role starts after the candidate before it */
  readonly candidateDelayMs: number;
  /** returns the key that is attached to a member's lease */
  readonly memberKey: (member: Member) => string;
}

/** A transaction that transfers or releases a leadership. It is repeated unchanged until its outcome is known. */
interface PendingTransfer {
  readonly guards: readonly Guard[];
  readonly writes: readonly Write[];
}

/** The guards of a transaction that acquires a role, and the leader record that it writes. */
interface Acquisition {
  readonly guards: readonly Guard[];
  readonly record: LeaderRecord;
}

/**
 * Acquires, releases and transfers the leadership of roles. It keeps no state of its own about the roles it leads: this
 * process leads the roles whose stored records name it, as long as its lease is provably alive. So a lost answer or a
 * transaction that is executed late needs no special handling.
 */
export class LeaderElection {
  readonly #policy: ElectionPolicy;
  /** roles for which a call to the store is in flight */
  readonly #rolesInFlight = new Set<string>();
  /** transfers and releases without a known outcome, by role */
  readonly #pendingTransfers = new Map<string, PendingTransfer>();

  constructor(
    private readonly options: LeaderElectionOptions,
    private readonly dependencies: LeaderElectionDependencies,
  ) {
    this.#policy = new ElectionPolicy(options.self, options.roles, options.candidateDelayMs);
  }

  /** Runs one reconciliation round: starts to acquire vacant roles and to execute transfer requests; awaits no call. */
  tick(): void {
    const { hasAuthority, view, monotonicMs } = this.dependencies;
    if (!hasAuthority()) return;
    for (const [role, transfer] of this.#pendingTransfers)
      void this.#commitTransfer(role, transfer);
    const steps = this.#policy.steps(view(), monotonicMs());
    for (const step of steps) {
      if (!this.#pendingTransfers.has(step.role)) this.#execute(step);
    }
  }

  /** Returns the authorization to act as the leader of a role; null unless this process provably leads the role. */
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

  /** Releases a role, so that any other node can acquire it. Does nothing if this process does not lead the role. */
  release(role: string): void {
    const record = this.#ownRecord(role);
    if (record === null || this.#pendingTransfers.has(role)) return;
    this.#beginTransfer(role, this.#buildTransfer(role, record, null));
  }

  /** Returns the role's record if it names this incarnation of the node. */
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

  /**
   * Runs the operation unless one is in flight for the role. If the store is unavailable, the next round tries again.
   */
  async #exclusively(role: string, operation: () => Promise<void>): Promise<void> {
    if (this.#rolesInFlight.has(role)) return;
    this.#rolesInFlight.add(role);
    try {
      await operation();
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      this.dependencies.log.debug({ role, error: error.message }, 'leader record not written');
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

  /**
   * Returns the transaction that acquires a role; null if this incarnation is not registered. Its guards require that
   * this incarnation is still registered and, if the previous leader is another node, that its lease has ended.
   */
  #buildAcquisition(role: string, previous: Versioned<LeaderRecord> | null): Acquisition | null {
    const { self } = this.options;
    const ownMember = this.dependencies.view().members.find((member) => isSameMember(member, self));
    if (ownMember === undefined) return null;
    const guards: Guard[] = [
      { key: leaderKey(role), revision: previous?.revision ?? 0 },
      { key: this.#memberKey(self), revision: ownMember.revision },
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

  /** Returns the transaction that makes `to` the leader, or releases the role if `to` is null. */
  #buildTransfer(
    role: string,
    record: Versioned<LeaderRecord>,
    to: Member | null,
  ): PendingTransfer {
    const nextLeader = to === null ? null : { node: to.node, incarnation: to.incarnation };
    // A release keeps the token: the leadership that follows takes the next token.
    const { token } = record.value;
    const followingToken = nextLeader === null ? token : nextToken(token);
    const value = this.#createRecord(nextLeader, this.options.self.node, followingToken);
    return {
      guards: [{ key: leaderKey(role), revision: record.revision }],
      writes: [{ put: leaderKey(role), value }],
    };
  }

  /** Starts a transfer. This process does not act as the leader while the outcome of the transaction is unknown. */
  #beginTransfer(role: string, transfer: PendingTransfer): void {
    this.#pendingTransfers.set(role, transfer);
    void this.#commitTransfer(role, transfer);
  }

  /**
   * Sends the transaction; each round sends it again until it is answered. Each guard names a revision, and a key never
   * returns to an earlier revision. So once one copy of the transaction is rejected, no other copy can be applied, and
   * this process still leads if its record is unchanged.
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
