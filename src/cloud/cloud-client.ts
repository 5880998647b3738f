/**
 * The client of the cloud's API, which rents, returns and lists machines. Calls wait for this node's share of the rate
 * limit in order of priority, and fail with a `CloudRequestError`.
 */
import type { Authorization, RecordedIntent } from '@sumacstep/leader-election';
import { setTimeout as sleep } from 'node:timers/promises';
import type { MachineType } from '../core/model.js';
import { CborClient, NoResponseError, type CborResponse } from '../transport/http.js';
import { TokenBucket } from '../transport/token-bucket.js';
import {
  machineListSchema,
  machineTypesSchema,
  rentalRequestBody,
  rentedMachinesSchema,
  returnBody,
  type ListedMachine,
  type CloudRentalRequest,
} from '../wire/cloud.js';
import {
  CLOUD_BURST_S,
  CLOUD_CALL_TIMEOUT_MS,
  CLOUD_LIST_PAGE_SIZE,
  LIST_RATE_SHARE,
  MAX_CLOUD_SOCKETS,
  TOKEN_POLL_MS,
} from './constants.js';
import { CloudRequestError } from './errors.js';

/** The cloud's answer to a rental request. */
export type RentResult =
  | { readonly kind: 'rented'; readonly machines: readonly string[] }
  | { readonly kind: 'no_capacity' }
  /** the cloud will never accept the request */
  | { readonly kind: 'malformed'; readonly answer: string };

/** The order in which calls get rate limit tokens, lowest number first. */
const CALL_PRIORITY = { return: 0, rent: 1, list: 2 } as const;
type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];

interface CloudCall {
  readonly priority: CallPriority;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** the authorization under which the call was decided; it must still be valid when the call is sent */
  readonly authorization?: Authorization;
}

const burstTokens = (rps: number): number => Math.max(1, rps * CLOUD_BURST_S);

/** Sends all of this node's calls to the cloud. */
export class CloudClient {
  readonly #http: CborClient;
  readonly #tokens: TokenBucket;
  /** numbers of calls that wait for a token, by priority */
  readonly #waitingCalls = [0, 0, 0];
  #rps: number;
  /** number of pages of the last complete list */
  #listPageCount = 1;

  constructor(
    address: string,
    rps: number,
    /** reads the monotonic clock, ms */
    private readonly now: () => number,
  ) {
    this.#http = new CborClient(address, MAX_CLOUD_SOCKETS);
    this.#rps = rps;
    this.#tokens = new TokenBucket(rps, burstTokens(rps), now());
  }

  /** Sets this node's share of the rate limit, in calls per second; it depends on the number of live nodes. */
  setRate(rps: number): void {
    this.#rps = rps;
    this.#tokens.setRate(rps, burstTokens(rps), this.now());
  }

  /**
   * Returns the minimum ms between two complete lists that keeps listing within `LIST_RATE_SHARE` of the rate limit, so
   * that the other calls keep their share.
   */
  minListIntervalMs(): number {
    return (this.#listPageCount * 1000) / (this.#rps * LIST_RATE_SHARE);
  }

  /** Resolves with all machine types. */
  async listMachineTypes(): Promise<MachineType[]> {
    const response = await this.#call({
      priority: CALL_PRIORITY.rent,
      method: 'GET',
      path: '/machine_types',
    });
    if (response.status !== 200) throw unexpectedStatus('machine types not read', response);
    return machineTypesSchema.parse(response.body);
  }

  /**
   * Rents machines. The request may be repeated under the same name. Rejects with `NotLeaderError` if the authorization
   * is not valid at the moment of sending.
   */
  async rent(rental: CloudRentalRequest, { authorization }: RecordedIntent): Promise<RentResult> {
    const response = await this.#call({
      priority: CALL_PRIORITY.rent,
      method: 'POST',
      path: '/rentals',
      body: rentalRequestBody(rental),
      authorization,
    });
    const { status, body } = response;
    if (status === 200) return { kind: 'rented', machines: rentedMachinesSchema.parse(body) };
    if (status === 400) return { kind: 'malformed', answer: JSON.stringify(body) };
    const error = (body as { error?: unknown } | null)?.error;
    if (status === 503 && error === 'no capacity') return { kind: 'no_capacity' };
    throw unexpectedStatus(`rental ${rental.request} not granted`, response);
  }

  /**
   * Returns machines to the cloud. Once this resolves, the machines and everything on them are gone. Rejects with
   * `NotLeaderError` if the authorization is not valid at the moment of sending.
   */
  async returnMachines(machines: readonly string[], authorization: Authorization): Promise<void> {
    const response = await this.#call({
      priority: CALL_PRIORITY.return,
      method: 'POST',
      path: '/rentals/return',
      body: returnBody(machines),
      authorization,
    });
    if (response.status !== 200) throw unexpectedStatus('machines not returned', response);
  }

  /**
   * Resolves with all rented machines; machines that are rented or returned during the call may or may not be listed.
   */
  async listMachines(): Promise<ListedMachine[]> {
    const machines: ListedMachine[] = [];
    let pageCount = 0;
    for (let since = ''; ;) {
      pageCount += 1;
      const sinceParameter = since === '' ? '' : `Since=${encodeURIComponent(since)}&`;
      const response = await this.#call({
        priority: CALL_PRIORITY.list,
        method: 'GET',
        path: `/rentals?${sinceParameter}Limit=${CLOUD_LIST_PAGE_SIZE}`,
      });
      if (response.status !== 200) throw unexpectedStatus('machines not listed', response);
      const page = machineListSchema.parse(response.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) {
        this.#listPageCount = pageCount;
        return machines;
      }
      since = last.name;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#http.close();
  }

  /** Waits until a rate limit token is available and no call of a higher priority waits for one. */
  async #takeToken(priority: CallPriority): Promise<void> {
    this.#waitingCalls[priority]! += 1;
    try {
      for (;;) {
        const higherPriorityWaiting = this.#waitingCalls
          .slice(0, priority)
          .some((calls) => calls > 0);
        if (!higherPriorityWaiting && this.#tokens.tryTake(1, this.now())) return;
        await sleep(Math.max(TOKEN_POLL_MS, Math.ceil(this.#tokens.waitMs(1, this.now()))));
      }
    } finally {
      this.#waitingCalls[priority]! -= 1;
    }
  }

  async #call({ priority, method, path, body, authorization }: CloudCall): Promise<CborResponse> {
    await this.#takeToken(priority);
    // The authorization may have ended while the call waited or the process was suspended.
    authorization?.ensureValid();
    let response: CborResponse;
    try {
      response = await this.#http.call(method, path, body, CLOUD_CALL_TIMEOUT_MS);
    } catch (error) {
      if (!(error instanceof NoResponseError)) throw error;
      throw new CloudRequestError('no_response', error.message, { cause: error });
    }
    if (response.status !== 429) return response;
    throw new CloudRequestError('rate_limited', `${method} ${path}: 429, rate limit reached`);
  }
}

const unexpectedStatus = (failure: string, { status, body }: CborResponse): CloudRequestError => {
  const error = (body as { error?: unknown } | null)?.error;
  const detail = error === undefined ? '' : ` (${JSON.stringify(error)})`;
  return new CloudRequestError('unavailable', `${failure}: the cloud answered ${status}${detail}`);
};
