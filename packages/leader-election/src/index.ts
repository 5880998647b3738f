/**
 * Exclusive duties: each is held by one process at a time under a lease, and whoever has been replaced is
 * refused by the store, by machines that compare fencing tokens, and by its own check at the moment of sending.
 */
export {
  Authorization,
  NotEntitledError,
  RecordedIntent,
  fencedCompareAndSwap,
  type Tenure,
} from './authorization.js';
export {
  allKnowDuties,
  candidateOrder,
  Election,
  type DutyStep,
  type DutyView,
  type LivingMember,
} from './election.js';
export { fencingToken, type FencingToken } from './fencing-token.js';
export { LeaseValidity, type LeaseTiming } from './lease-validity.js';
export { DutyManager, type DutyPorts, type DutySettings } from './manager.js';
export {
  decodeDuty,
  decodeHandOver,
  DUTY_PREFIX,
  dutyKey,
  HAND_OVER_PREFIX,
  handOverKey,
  type DutyRecord,
  type HandOverRequest,
  type Member,
} from './records.js';
export {
  Refusals,
  type Log,
  type Refusal,
  type RefusalCounts,
  type RefusedBy,
} from './refusals.js';
export {
  decodeRetention,
  expiredRevision,
  NOTHING_OBSERVED,
  observe,
  type RetentionMark,
  type RetentionRecord,
} from './retention.js';
export { SessionLease, type Registration, type SessionTiming } from './session-lease.js';
export { describeDuties, type DutiesReport, type DutyStatus, type HeldUntil } from './status.js';
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
