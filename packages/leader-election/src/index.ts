/**
 * Leader election with fencing tokens, for controllers that must run in only one process of a cluster at a time.
 *
 * A process is the leader of a role while the store's leader record names its incarnation and its lease is provably
 * alive by its own clock. Each leadership of a role has a larger fencing token than all earlier ones. A leader may be
 * replaced without noticing, because of a frozen process, a network partition or a delayed call. Its orders are then
 * rejected in three places: by its own check at the moment of sending, by the store, whose transactions are guarded by
 * the leader record, and by receivers that compare fencing tokens.
 *
 * Typical use:
 *
 *     const lease = new SessionLease(store, registration, timing, monotonicMs, log);
 *     void lease.run();                                     // keeps this process a live member
 *     const election = new LeaderElection({ self, roles: ['cleaner'], ... }, { store, view, ... });
 *     setInterval(() => election.tick(), 250);              // acquires vacant roles, transfers on request
 *
 *     const authorization = election.authorize('cleaner');  // null while another process leads
 *     if (authorization !== null) {
 *       await fencedCompareAndSwap(store, authorization, 'normal', guards, writes);
 *       authorization.ensureValid();                        // call before other systems; throws NotLeaderError
 *       await callOtherSystem(authorization.fencingToken);
 *     }
 *
 * The caller supplies the store (`CompareAndSwapStore`, `LeaseStore`), a view of it (`ElectionView`) and the clocks.
 * The package has no global state, and its only timer renews the lease.
 */

/** Election of the process that leads a role. */
export {
  LeaderElection,
  type LeaderElectionDependencies,
  type LeaderElectionOptions,
} from './leader-election.js';

/** The election's decisions, free of I/O, and the view that they are based on. */
export {
  allSupportElection,
  candidateOrder,
  ElectionPolicy,
  type ElectionStep,
  type ElectionView,
  type LiveMember,
} from './election-policy.js';

/** Authorization to act as a leader, and the actions that it fences. */
export {
  Authorization,
  fencedCompareAndSwap,
  NotLeaderError,
  RecordedIntent,
  type Leadership,
} from './authorization.js';

/** Fencing tokens, and counting of rejected orders. */
export { fencingToken, type FencingToken } from './fencing-token.js';
export {
  FencingRejections,
  type FencingRejection,
  type FencingRejectionCounts,
  type Log,
  type RejectedBy,
} from './fencing-rejections.js';

/** Membership: one lease for each incarnation of a process. */
export { LeaseValidity, type LeaseTiming } from './lease-validity.js';
export { SessionLease, type Registration, type SessionLeaseTiming } from './session-lease.js';

/** Keys and records in the store. */
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

/** The retention clock, which determines the revisions that are old enough to be garbage collected. */
export {
  decodeRetention,
  EMPTY_RETENTION,
  expiredRevision,
  observeElapsed,
  type RetentionMark,
  type RetentionOptions,
  type RetentionRecord,
} from './retention.js';

/** Status report for operators. */
export {
  describeLeadership,
  type LeadershipReport,
  type LeadershipStatus,
  type LeadershipValidity,
  type PendingTransferStatus,
} from './status.js';

/** The interfaces that the caller's store implements. */
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
