import type { CborResponse } from '../../src/transport/http.js';

/** What a user can ask of a job. */
export type UserCall = 'submit' | 'query' | 'withdraw';

/** Strongest answers that users have had of one job. */
interface ReportedState {
  accepted: boolean;
  final: string | null;
}

/** A request on its way, with what users had been told of the job when it was sent. */
export interface SentRequest {
  readonly call: UserCall;
  readonly uid: string;
  readonly reportedBefore: Readonly<ReportedState>;
}

const FINAL_STATES = new Set(['done', 'cancelled']);
const KNOWN_STATES = new Set(['queued', 'running', 'done', 'cancelled']);

/**
 * Judges every answer to a user by what users had been told, at any node, when its request was sent. An
 * answer to a request that was under way at the same time may be older: the two overlap.
 */
export class AnswerHistory {
  readonly #reported = new Map<string, ReportedState>();
  readonly #submitted = new Set<string>();
  readonly #cancelRequested = new Set<string>();

  constructor(private readonly violations: string[]) {}

  /** The final state that users have been told, or null. */
  reportedFinalState(uid: string): string | null {
    return this.#reported.get(uid)?.final ?? null;
  }

  /** A job that was submitted before the test began. */
  addEarlierSubmission(uid: string): void {
    this.#submitted.add(uid);
  }

  /** To be called when a request leaves its user. */
  recordRequest(call: UserCall, uid: string): SentRequest {
    if (call === 'submit') this.#submitted.add(uid);
    if (call === 'withdraw') this.#cancelRequested.add(uid);
    return { call, uid, reportedBefore: { ...this.#reportedOf(uid) } };
  }

  /** An answer has reached its user; null if none came. */
  recordAnswer(request: SentRequest, answer: CborResponse | null, at = ''): void {
    if (answer === null) return;
    const { call, uid, reportedBefore: toldBefore } = request;
    const where = at === '' ? call : `${call} at ${at}`;
    if (answer.status === 404 && toldBefore.accepted) {
      this.violations.push(`forgotten ${uid}: 404 to ${where}`);
    }
    const refused = answer.status === 400 || answer.status === 422;
    if (refused && call === 'submit' && toldBefore.accepted) {
      this.violations.push(`forgotten ${uid}: ${answer.status} to ${where}`);
    }
    if (answer.status !== 200 && answer.status !== 201) return;
    const { Status: status } = answer.body as { Status: string };
    this.#checkStatus(request, answer.status, status, where);
    const told = this.#reportedOf(uid);
    told.accepted = true;
    if (FINAL_STATES.has(status)) told.final ??= status;
  }

  #checkStatus(request: SentRequest, code: number, status: string, where: string): void {
    const { call, uid, reportedBefore: toldBefore } = request;
    const went = (text: string) => this.violations.push(`went_back ${uid}: ${text}, to ${where}`);
    if (!this.#submitted.has(uid)) this.violations.push(`invented ${uid}: ${status} to ${where}`);
    if (!KNOWN_STATES.has(status)) went(`unknown status ${status}`);
    if (code === 201 && toldBefore.accepted) went('accepted again with 201');
    if (toldBefore.final !== null && status !== toldBefore.final) {
      went(`${toldBefore.final}, then ${status}`);
      return;
    }
    const other = this.reportedFinalState(uid);
    if (FINAL_STATES.has(status) && other !== null && other !== status)
      went(`${other}, then ${status}`);
    if (status === 'cancelled' && !this.#cancelRequested.has(uid)) went('cancelled by no user');
    if (call === 'withdraw' && !FINAL_STATES.has(status)) went(`a cancellation answered ${status}`);
  }

  #reportedOf(uid: string): ReportedState {
    let told = this.#reported.get(uid);
    if (told === undefined) {
      told = { accepted: false, final: null };
      this.#reported.set(uid, told);
    }
    return told;
  }
}
