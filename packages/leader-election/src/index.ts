/**
 * Leader election with fencing tokens, for controllers that must run in one process of a cluster at a time.
 *
 * A process is the leader of a role while the store's leader record names its incarnation and its lease is
 * provably alive by its own clock. Each leadership has a fencing token, larger than all before it. A leader that
 * was replaced without noticing (a frozen process, a partition, a late call) is fenced off three times: by its own
 * check at the moment of sending, by the store, whose transactions are guarded by the leader record, and by
 * receivers that compare fencing tokens.
 *
 * Outline of use:
 *
 *     const lease = new SessionLease(store, registration, timing, steadyMs, log);
 *     void lease.run();                                     // keeps this process's membership alive
 *     const election = new LeaderElection({ self, roles: ['cleaner'], ... }, { store, view, ... });
 *     setInterval(() => election.tick(), 250);              // acquires vacant roles, transfers on request
 *
 *     const authorization = election.authorize('cleaner');  // null while another process leads
 *     if (authorization !== null) {
 *       await fencedCompareAndSwap(store, authorization, 'normal', guards, writes);
 *       authorization.ensureValid();                        // throws NotLeaderError: before any other call
 *       await callOtherSystem(authorization.fencingToken);
 *     }
 *
 * The caller supplies the store (`CompareAndSwapStore`, `LeaseStore`), a view of it (`ElectionView`) and clocks;
 * the package has no timers besides the lease's renewal, and no global state.
 */

/** Election: which process leads a role. */
export {
  LeaderElection,
  type LeaderElectionDependencies,
  type LeaderElectionOptions,
} from './leader-election.js';

/** The decisions behind it, without input or output, and the view that they are made from. */
export {
  allSupportElection,
  candidateOrder,
  ElectionPolicy,
  type ElectionStep,
  type ElectionView,
  type LiveMember,
} from './election-policy.js';

/** The right to act as a leader, and actions that are fenced by it. */
export {
  Authorization,
  fencedCompareAndSwap,
  NotLeaderError,
  RecordedIntent,
  type Leadership,
} from './authorization.js';

/** Fencing tokens, and the count of orders that they rejected. */
export { fencingToken, type FencingToken } from './fencing-token.js';
export {
  FencingRejections,
  type FencingRejection,
  type FencingRejectionCounts,
  type Log,
  type RejectedBy,
} from './fencing-rejections.js';

/** Membership: a lease per process incarnation. */
export { LeaseValidity, type LeaseTiming } from './lease-validity.js';
export { SessionLease, type Registration, type SessionLeaseTiming } from './session-lease.js';

/** Stored form: keys and records. */
export {
  decodeLeaderRecord,
  decodeTransferRequest,
  LEADER_PREFIX,
  leaderKey,
  TRANSFER_REQUEST_PREFIX,
  transferRequestKey,
  type LeaderRecord,
  type LeadershipTransferRequest,
  type Member,
} from './records.js';

/** The retention clock: which revisions are old enough to be garbage collected. */
export {
  decodeRetention,
  EMPTY_RETENTION,
  expiredRevision,
  observeElapsed,
  type RetentionMark,
  type RetentionOptions,
  type RetentionRecord,
} from './retention.js';

/** Status for operators. */
export {
  describeLeadership,
  type LeadershipReport,
  type LeadershipStatus,
  type LeadershipValidity,
  type PendingTransferStatus,
} from './status.js';

/** What the caller's store has to provide. */
export {
  StoreUnavailableError,
  type CompareAndSwapResult,
  type CompareAndSwapStore,
  type Guard,
  type LeaseStore,
  type TransactionPriority,
  type Versioned,
  type Write,
} from './store.js';
