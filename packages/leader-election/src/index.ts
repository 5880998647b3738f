/**
 * Exclusive duties: each is held by one process at a time under a lease, and whoever has been replaced is
 * refused by the store, by machines that compare fencing tokens, and by its own check at the moment of sending.
 */
export {
  Authorization,
  NotLeaderError,
  RecordedIntent,
  fencedCompareAndSwap,
  type Leadership,
} from './authorization.js';
export {
  allSupportElection,
  candidateOrder,
  ElectionPolicy,
  type ElectionStep,
  type ElectionView,
  type LiveMember,
} from './election-policy.js';
export { fencingToken, type FencingToken } from './fencing-token.js';
export { LeaseValidity, type LeaseTiming } from './lease-validity.js';
export {
  LeaderElection,
  type LeaderElectionDependencies,
  type LeaderElectionOptions,
} from './leader-election.js';
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
export {
  FencingRejections,
  type Log,
  type FencingRejection,
  type FencingRejectionCounts,
  type RejectedBy,
} from './fencing-rejections.js';
export {
  decodeRetention,
  expiredRevision,
  EMPTY_RETENTION,
  observeElapsed,
  type RetentionMark,
  type RetentionRecord,
} from './retention.js';
export { SessionLease, type Registration, type SessionLeaseTiming } from './session-lease.js';
export {
  describeLeadership,
  type LeadershipReport,
  type LeadershipStatus,
  type LeadershipValidity,
} from './status.js';
export {
  StoreUnavailableError,
  type Guard,
  type LeaseStore,
  type CompareAndSwapResult,
  type CompareAndSwapStore,
  type Urgency,
  type Versioned,
  type Write,
} from './store.js';
