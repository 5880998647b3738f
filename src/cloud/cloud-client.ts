import {
  CLOUD_BURST_S,
  CLOUD_CALL_TIMEOUT_MS,
  CLOUD_LIST_PAGE_SIZE,
  MAX_CLOUD_SOCKETS,
  LIST_RATE_SHARE,
  TOKEN_POLL_MS,
} from './constants.js';
import type { Authorization, RecordedIntent } from '@sumacstep/leader-election';
import { setTimeout as sleep } from 'node:timers/promises';
import type { MachineType } from '../core/model.js';
import { CborClient, NoResponseError, type Response } from '../transport/http.js';
import { TokenBucket } from '../transport/token-bucket.js';
import {
  machineListSchema,
  machineTypesSchema,
  rentBody,
  rentedSchema,
  returnBody,
  type ListedMachine,
  type RentRequest,
} from '../wire/schemas.js';

/** The cloud did not carry the call out, or did not answer; ask again later. */
export class CloudRequestError extends Error {}

export type RentResult =
  | { readonly kind: 'rented'; readonly machines: readonly string[] }
  | { readonly kind: 'no_capacity' }
  | { readonly kind: 'malformed'; readonly answer: string };

/** Order in which calls get tokens: what must be gone, then what is waited for, then news. */
const CALL_PRIORITY = { giveBack: 0, rent: 1, list: 2 } as const;
type CallPriority = (typeof CALL_PRIORITY)[keyof typeof CALL_PRIORITY];

const burst = (rps: number): number => Math.max(1, rps * CLOUD_BURST_S);

export class CloudClient {
  readonly #http: CborClient;
  readonly #tokens: TokenBucket;
  /** calls that wait for a token, by class */
  readonly #waiting = [0, 0, 0];
  #rps: number;
  /** of the newest list */
  #pages = 1;

  constructor(
    address: string,
    rps: number,
    private readonly now: () => number,
  ) {
    this.#http = new CborClient(address, MAX_CLOUD_SOCKETS);
    this.#rps = rps;
    this.#tokens = new TokenBucket(rps, burst(rps), now());
  }

  /** The node's share of the limit changes with the number of nodes that live. */
  setRate(rps: number): void {
    this.#rps = rps;
    this.#tokens.setRate(rps, burst(rps), this.now());
  }

  /** ms; a list of so many pages may be read this often without taking the calls from the rest. */
  minListIntervalMs(): number {
    return (this.#pages * 1000) / (this.#rps * LIST_RATE_SHARE);
  }

  async #token(cls: CallPriority): Promise<void> {
    this.#waiting[cls]! += 1;
    try {
      for (;;) {
        const ahead = this.#waiting.slice(0, cls).some((n) => n > 0);
        if (!ahead && this.#tokens.take(1, this.now())) return;
        await sleep(Math.max(TOKEN_POLL_MS, Math.ceil(this.#tokens.waitMs(1, this.now()))));
      }
    } finally {
      this.#waiting[cls]! -= 1;
    }
  }

  async #call(
    cls: CallPriority,
    method: string,
    path: string,
    body?: unknown,
    authorization?: Authorization,
  ): Promise<Response> {
    await this.#token(cls);
    // The wait may have been long, or the process may have stood still: what it was decided on is over.
    authorization?.ensureValid();
    try {
      const answer = await this.#http.call(method, path, body, CLOUD_CALL_TIMEOUT_MS);
      if (answer.status === 429) throw new CloudRequestError(`${method} ${path}: 429`);
      return answer;
    } catch (error) {
      if (error instanceof NoResponseError) throw new CloudRequestError(error.message);
      throw error;
    }
  }

  async listMachineTypes(): Promise<MachineType[]> {
    const a = await this.#call(CALL_PRIORITY.rent, 'GET', '/machine_types');
    if (a.status !== 200) throw new CloudRequestError(`machine types: ${a.status}`);
    return machineTypesSchema.parse(a.body).Hosttypes;
  }

  /** Throws `NotLeaderError` if the tenure is over at the moment of sending. */
  async rent(request: RentRequest, { authorization }: RecordedIntent): Promise<RentResult> {
    const a = await this.#call(
      CALL_PRIORITY.rent,
      'POST',
      '/rentals',
      rentBody(request),
      authorization,
    );
    if (a.status === 200) return { kind: 'rented', machines: rentedSchema.parse(a.body).Hosts };
    if (a.status === 400) return { kind: 'malformed', answer: JSON.stringify(a.body) };
    const error = (a.body as { error?: unknown } | null)?.error;
    if (a.status === 503 && error === 'no capacity') return { kind: 'no_capacity' };
    throw new CloudRequestError(`rental: ${a.status} ${String(error)}`);
  }

  /**
   * When this resolves, the machines and everything on them are gone. Throws `NotLeaderError` if the tenure
   * is over at the moment of sending.
   */
  async returnMachines(machines: readonly string[], authorization: Authorization): Promise<void> {
    const body = returnBody(machines);
    const a = await this.#call(
      CALL_PRIORITY.giveBack,
      'POST',
      '/rentals/return',
      body,
      authorization,
    );
    if (a.status !== 200) throw new CloudRequestError(`return: ${a.status}`);
  }

  async listMachines(): Promise<ListedMachine[]> {
    const out: ListedMachine[] = [];
    let pages = 0;
    for (let since = ''; ;) {
      pages += 1;
      const after = since === '' ? '' : `Since=${encodeURIComponent(since)}&`;
      const a = await this.#call(
        CALL_PRIORITY.list,
        'GET',
        `/rentals?${after}Limit=${CLOUD_LIST_PAGE_SIZE}`,
      );
      if (a.status !== 200) throw new CloudRequestError(`machine list: ${a.status}`);
      const page = machineListSchema.parse(a.body);
      out.push(...page.Hosts);
      const last = page.Hosts.at(-1);
      if (!(page.Truncated ?? false) || last === undefined) {
        this.#pages = pages;
        return out;
      }
      since = last.name;
    }
  }

  close(): void {
    this.#http.close();
  }
}
