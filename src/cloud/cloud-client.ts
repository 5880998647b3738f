/**
 * The client of the cloud, which rents and returns machines. Calls wait for this node's share of the rate
 * limit, the most important first, and fail with a `CloudRequestError`.
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

/** The result of a rental request that was answered. */
export type RentResult =
  | { readonly kind: 'rented'; readonly machines: readonly string[] }
  | { readonly kind: 'no_capacity' }
  /** the cloud will never accept this request */
  | { readonly kind: 'malformed'; readonly answer: string };

/** Order in which calls get tokens; lower goes first. */
const CALL_PRIORITY = { return: 0, rent: 1, list: 2 } as const;
type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];

interface CloudCall {
  readonly priority: CallPriority;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** what the call was decided on; it must still hold when the call is sent */
  readonly authorization?: Authorization;
}

const burstTokens = (rps: number): number => Math.max(1, rps * CLOUD_BURST_S);

/** The one place for calls to the cloud. */
export class CloudClient {
  readonly #http: CborClient;
  readonly #tokens: TokenBucket;
  /** calls that wait for a token, by priority */
  readonly #waitingCalls = [0, 0, 0];
  #rps: number;
  /** pages of the last complete list */
  #listPageCount = 1;

  constructor(
    address: string,
    rps: number,
    private readonly now: () => number,
  ) {
    this.#http = new CborClient(address, MAX_CLOUD_SOCKETS);
    this.#rps = rps;
    this.#tokens = new TokenBucket(rps, burstTokens(rps), now());
  }

  /** The node's share of the limit changes with the number of live nodes. */
  setRate(rps: number): void {
    this.#rps = rps;
    this.#tokens.setRate(rps, burstTokens(rps), this.now());
  }

  /** ms between two lists so that reading them leaves the other calls their share of the limit. */
  minListIntervalMs(): number {
    return (this.#listPageCount * 1000) / (this.#rps * LIST_RATE_SHARE);
  }

  /** Reads all machine types. */
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
   * Rents machines. The request may be repeated under its name. Throws `NotLeaderError` if the
   * authorization has ended at the moment of sending.
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
   * When this resolves, the machines and everything on them are gone. Throws `NotLeaderError` if the
   * authorization has ended at the moment of sending.
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

  /** Reads all rented machines; those that change meanwhile may or may not be in the list. */
  async listMachines(): Promise<ListedMachine[]> {
    const machines: ListedMachine[] = [];
    let pages = 0;
    for (let since = ''; ;) {
      pages += 1;
      const after = since === '' ? '' : `Since=${encodeURIComponent(since)}&`;
      const response = await this.#call({
        priority: CALL_PRIORITY.list,
        method: 'GET',
        path: `/rentals?${after}Limit=${CLOUD_LIST_PAGE_SIZE}`,
      });
      if (response.status !== 200) throw unexpectedStatus('machines not listed', response);
      const page = machineListSchema.parse(response.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || last === undefined) {
        this.#listPageCount = pages;
        return machines;
      }
      since = last.name;
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#http.close();
  }

  async #takeToken(priority: CallPriority): Promise<void> {
    this.#waitingCalls[priority]! += 1;
    try {
      for (;;) {
        const precededByOthers = this.#waitingCalls.slice(0, priority).some((calls) => calls > 0);
        if (!precededByOthers && this.#tokens.tryTake(1, this.now())) return;
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

const unexpectedStatus = (what: string, { status, body }: CborResponse): CloudRequestError => {
  const error = (body as { error?: unknown } | null)?.error;
  const detail = error === undefined ? '' : ` (${JSON.stringify(error)})`;
  return new CloudRequestError('unavailable', `${what}: the cloud answered ${status}${detail}`);
};
