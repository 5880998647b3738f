/**
 * Fencing of the starts that are sent directly to one machine. The network may deliver a direct command once more at
 * any later time. The worker executes such a copy if the fencing token and the agent epoch are still the newest it
 * knows; a start then takes effect unless the worker still lists the attempt. So an attempt is forgotten only by a
 * message under a higher token than that of its direct start.
 */
import { DIRECT_START_OUTCOME_TIMEOUT_MS, MAX_UNSETTLED_DIRECT_STARTS } from './constants.js';

/** The fencing tokens that are reserved for one shard under one term, which is the first of them. */
export interface TokenRange {
  readonly first: number;
  readonly last: number;
}

/**
 * What is known of a start that was sent directly.
 *
 * - `unsettled`: whether the worker has executed it is not known;
 * - `executed`: the worker has executed it, and may execute a copy;
 * - `void`: the worker has not executed it and never will.
 */
export type DirectStartState = 'unsettled' | 'executed' | 'void';

/** A start that was sent by direct command. */
export interface DirectStart {
  /** see `attemptKey` */
  readonly attempt: string;
  /** the fencing token of the message */
  readonly token: number;
  /** set only by `StartFencing` */
  state: DirectStartState;
}

/** The fencing token of one machine, and the direct starts of which the worker may still execute a copy. */
export class StartFencing {
  #token: number;
  #confirmedToken = -Infinity;
  /** by attempt */
  readonly #executable = new Map<string, DirectStart>();
  #unsettledCount = 0;
  #lastSentAt = -Infinity;
  /** whether the present token was used for a start, or an unknown start may have been sent under it */
  #isTokenUsed = false;
  #isHigherTokenRequested = false;

  constructor(private readonly range: TokenRange) {
    this.#token = range.first;
  }

  /** The fencing token of every message to the worker from now on. */
  get token(): number {
    return this.#token;
  }

  /** Whether the token can't be raised any more, so that no direct start may be sent. */
  get isExhausted(): boolean {
    return this.#token >= this.range.last;
  }

  /** Whether a start may be sent by direct command. */
  get mayStartDirectly(): boolean {
    return !this.isExhausted && this.#unsettledCount < MAX_UNSETTLED_DIRECT_STARTS;
  }

  /** Whether it is unknown of some direct start whether the worker has executed it. */
  get hasUnsettledStarts(): boolean {
    return this.#unsettledCount > 0;
  }

  /** Whether the worker may still execute some direct start or a copy of one. */
  get hasExecutableStarts(): boolean {
    return this.#executable.size > 0;
  }

  /** Whether the worker may still execute a direct start of the attempt, or a copy of one. */
  isExecutable(attempt: string): boolean {
    return this.#executable.has(attempt);
  }

  /** Whether the worker executes no direct start of the attempt any more once it has seen the present token. */
  isFencedByToken(attempt: string): boolean {
    const start = this.#executable.get(attempt);
    return start === undefined || start.token < this.#token;
  }

  /** Records a direct start that is sent now, under the present token. */
  recordStart(attempt: string, now: number): DirectStart {
    const start: DirectStart = { attempt, token: this.#token, state: 'unsettled' };
    this.#executable.set(attempt, start);
    this.#unsettledCount += 1;
    this.#lastSentAt = now;
    this.#isTokenUsed = true;
    return start;
  }

  /** Records whether the worker has executed the start. If it has not, it never will. */
  settle(start: DirectStart, executed: boolean): void {
    if (start.state !== 'unsettled') return;
    this.#unsettledCount -= 1;
    if (executed) start.state = 'executed';
    else this.#remove(start);
  }

  /** Records the highest token that the worker has confirmed: it executes nothing any more that has a lower one. */
  confirmToken(token: number): void {
    if (token > this.#token) {
      // An earlier record of this machine was removed, so starts under this token may be unknown here.
      this.#token = token;
      this.#isTokenUsed = true;
    }
    if (token <= this.#confirmedToken) return;
    this.#confirmedToken = token;
    for (const start of this.#executable.values()) {
      if (start.token >= token) continue;
      if (start.state === 'unsettled') this.#unsettledCount -= 1;
      this.#remove(start);
    }
  }

  /** Asks for a higher token, since the worker does not list an attempt that it was seen to have. */
  requestHigherToken(): void {
    this.#isHigherTokenRequested = true;
  }

  /** Records that a later agent epoch of the worker has begun, in which it refuses all earlier direct commands. */
  endAgentEpoch(): void {
    for (const start of this.#executable.values()) this.#remove(start);
    this.#unsettledCount = 0;
  }

  /**
   * Whether the token should be raised, also if no attempt is to be forgotten. A start without an answer that the worker
   * does not list under the higher token was not executed.
   */
  get needsHigherToken(): boolean {
    return this.#unsettledCount > 0 || this.#isHigherTokenRequested;
  }

  /**
   * Raises the token for the answer to a heartbeat and all later messages, so that the worker refuses copies of earlier
   * direct starts. Does nothing if no start has the present token, or if a start is probably in flight, which the worker
   * would refuse.
   */
  raiseToken(now: number): void {
    if (!this.#isTokenUsed || this.isExhausted || this.#mayBeInFlight(now)) return;
    this.#token += 1;
    this.#isTokenUsed = false;
    this.#isHigherTokenRequested = false;
  }

  #mayBeInFlight(now: number): boolean {
    return this.#unsettledCount > 0 && now - this.#lastSentAt <= DIRECT_START_OUTCOME_TIMEOUT_MS;
  }

  #remove(start: DirectStart): void {
    start.state = 'void';
    if (this.#executable.get(start.attempt) === start) this.#executable.delete(start.attempt);
  }
}
