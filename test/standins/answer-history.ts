/** Checks that users never get an answer that contradicts what they or other users have been told of a job. */
import type { CborResponse } from '../../src/transport/http.js';

/** A user's request about a job. */
export type UserCall = 'submit' | 'query' | 'withdraw';

/** What users have been told of one job: whether it is accepted, and its final state. */
interface ReportedState {
  accepted: boolean;
  final: string | null;
}

/** A request in flight, with what users had been told of the job when it was sent. */
export interface SentRequest {
  readonly call: UserCall;
  readonly uid: string;
  readonly reportedBefore: Readonly<ReportedState>;
}

const FINAL_STATES = new Set(['done', 'cancelled']);
const KNOWN_STATES = new Set(['queued', 'running', 'done', 'cancelled']);

/**
 * Checks every answer against what users had been told, by any node, when its request was sent. Of two requests that
 * overlap in time, either may be answered from the older state. Violations begin with the name of their rule: an
 * accepted job is denied (`forgotten`), its state goes back or ends in two ways (`went_back`), or the job was never
 * submitted (`invented`).
 */
export class AnswerHistory {
  readonly #reported = new Map<string, ReportedState>();
  readonly #submitted = new Set<string>();
  readonly #cancelRequested = new Set<string>();

  constructor(private readonly violations: string[]) {}

  /** Returns the final state of a job that users have been told first, or null. */
  reportedFinalState(uid: string): string | null {
    return this.#reported.get(uid)?.final ?? null;
  }

  /** Registers a job that was submitted before the test began. */
  addEarlierSubmission(uid: string): void {
    this.#submitted.add(uid);
  }

  /** Records that a user sends a request. Returns it for `recordAnswer`. */
  recordRequest(call: UserCall, uid: string): SentRequest {
    if (call === 'submit') this.#submitted.add(uid);
    if (call === 'withdraw') this.#cancelRequested.add(uid);
    return { call, uid, reportedBefore: { ...this.#reportedOf(uid) } };
  }

  /** Records and checks the answer to a request, or null if there was none; `at` is the node that answered. */
  recordAnswer(request: SentRequest, answer: CborResponse | null, at = ''): void {
    if (answer === null) return;
    const { call, uid, reportedBefore } = request;
    const where = at === '' ? call : `${call} at ${at}`;
    if (answer.status === 404 && reportedBefore.accepted) {
      this.violations.push(`forgotten ${uid}: 404 to ${where}`);
    }
    const refused = answer.status === 400 || answer.status === 422;
    if (refused && call === 'submit' && reportedBefore.accepted) {
      this.violations.push(`forgotten ${uid}: ${answer.status} to ${where}`);
    }
    if (answer.status !== 200 && answer.status !== 201) return;
    const { Status: status } = answer.body as { Status: string };
    this.#checkStatus(request, answer.status, status, where);
    const reported = this.#reportedOf(uid);
    reported.accepted = true;
    if (FINAL_STATES.has(status)) reported.final ??= status;
  }

  #checkStatus(request: SentRequest, code: number, status: string, where: string): void {
    const { call, uid, reportedBefore } = request;
    const reportRegression = (text: string) =>
      this.violations.push(`went_back ${uid}: ${text}, to ${where}`);
    if (!this.#submitted.has(uid)) this.violations.push(`invented ${uid}: ${status} to ${where}`);
    if (!KNOWN_STATES.has(status)) reportRegression(`unknown status ${status}`);
    if (code === 201 && reportedBefore.accepted) reportRegression('accepted again with 201');
    if (reportedBefore.final !== null && status !== reportedBefore.final) {
      reportRegression(`${reportedBefore.final}, then ${status}`);
      return;
    }
    const other = this.reportedFinalState(uid);
    if (FINAL_STATES.has(status) && other !== null && other !== status)
      reportRegression(`${other}, then ${status}`);
    if (status === 'cancelled' && !this.#cancelRequested.has(uid))
      reportRegression('cancelled by no user');
    if (call === 'withdraw' && !FINAL_STATES.has(status))
      reportRegression(`a cancellation answered ${status}`);
  }

  #reportedOf(uid: string): ReportedState {
    let reported = this.#reported.get(uid);
    if (reported === undefined) {
      reported = { accepted: false, final: null };
      this.#reported.set(uid, reported);
    }
    return reported;
  }
}
