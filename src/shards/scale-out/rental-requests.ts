/**
 * Rents machines from the cloud with write-ahead records. A rental's name is its idempotency key at the cloud, and
 * its record is stored before the first request. A later owner of the shard, after a crash or a failover, finds the
 * record and repeats the request under the same name until the cloud has told the machines. So no rental is carried
 * out twice, and no machine is paid for that is neither recorded nor found through a rental's record.
 */
import { RecordedIntent } from '@sumacstep/leader-election';
import type { Logger } from 'pino';
import type { CloudClient, RentResult } from '../../cloud/cloud-client.js';
import type { RentalRequest } from '../../core/capacity/capacity-planner.js';
import { CALL_PRIORITY } from '../../store/call-priority.js';
import { storeKey } from '../../store/keys.js';
import { encodeRental, type RentalRecord } from '../../store/codecs/rental.js';
import type { WatchCache } from '../../store/watch-cache.js';
import type { Write } from '@sumacstep/leader-election';
import { MAX_RENTAL_BATCH, RENTAL_RETRY_MS } from './constants.js';
import { groupCapacity } from '../machine-records/group-edits.js';
import type { MachineRecords } from '../machine-records/machine-records.js';
import type { OwnedShard } from '../owned-shard.js';
import { attempt } from '../retryable-errors.js';
import { commit, type CommitDependencies, type StoreSizeLimits } from '../transaction.js';
import type { CapacityBackoff } from './capacity-backoff.js';

/** Dependencies of `RentalRequests`. */
export interface RentalRequestsDependencies {
  readonly config: { readonly node: string; readonly storeLimits: StoreSizeLimits };
  /** id of this run of the process; the node, the incarnation and a sequence number make rental names unique */
  readonly incarnation: string;
  readonly cloud: Pick<CloudClient, 'rent'>;
  readonly client: CommitDependencies['client'];
  readonly cache: WatchCache;
  readonly machineRecords: Pick<MachineRecords, 'recordRental'>;
  readonly backoff: CapacityBackoff;
  /** monotonic ms */
  readonly now: () => number;
  readonly log: Logger;
}

/** Records rentals, requests them from the cloud, and settles their records with its answers. */
export class RentalRequests {
  #sequence = 0;
  /** shards whose new rentals are being recorded */
  readonly #recording = new Set<number>();
  /** by rental name: until when it is not requested again, monotonic ms; `Infinity` while a request is in flight */
  readonly #retryAt = new Map<string, number>();
  /** largest number of machines in one rental, whose group must fit one value of the store */
  readonly #maxMachines: number;

  constructor(private readonly dependencies: RentalRequestsDependencies) {
    const capacity = Math.floor(groupCapacity(dependencies.config.storeLimits.valueBytes));
    this.#maxMachines = Math.max(1, Math.min(MAX_RENTAL_BATCH, capacity));
  }

  /** Whether new rentals of the shard are being recorded and so are not in the cache yet. */
  isRecording(shard: number): boolean {
    return this.#recording.has(shard);
  }

  /**
   * Records new rentals and then requests them. Rentals that do not fit one transaction are left to the next capacity
   * plan.
   */
  async start(owned: OwnedShard, wanted: readonly RentalRequest[]): Promise<void> {
    const { config, log } = this.dependencies;
    const { index } = owned.shard;
    const rentals = this.#split(wanted).slice(0, config.storeLimits.transactionOps);
    if (rentals.length === 0) return;
    this.#recording.add(index);
    await attempt(log, 'rentals write failed', async () => {
      const writes = rentals.map((rental): Write => {
        this.#sequence += 1;
        const name = `${config.node}-${this.dependencies.incarnation}-${this.#sequence}`;
        return { put: storeKey.rental(index, name), value: encodeRental(rental) };
      });
      const transaction = { guards: [], writes };
      await commit(this.dependencies, owned.authorization, CALL_PRIORITY.completion, transaction);
    });
    this.#recording.delete(index);
    this.requestRecorded(owned);
  }

  /** Splits requests into rentals of at most `#maxMachines` machines. */
  #split(wanted: readonly RentalRequest[]): RentalRequest[] {
    const rentals: RentalRequest[] = [];
    for (const request of wanted) {
      for (let left = request.count; left > 0; left -= this.#maxMachines) {
        rentals.push({ ...request, count: Math.min(left, this.#maxMachines) });
      }
    }
    return rentals;
  }

  /** Requests the recorded rentals of the shard, except while a request is in flight or has just ended. */
  requestRecorded(owned: OwnedShard): void {
    const { cache, log, now } = this.dependencies;
    const { index } = owned.shard;
    const startedAt = now();
    for (const [name, retryAt] of this.#retryAt) {
      if (retryAt <= startedAt) this.#retryAt.delete(name);
    }
    for (const { value: rental, revision } of cache.tables.rentals.values()) {
      if (rental.shard !== index || this.#retryAt.has(rental.name)) continue;
      this.#retryAt.set(rental.name, Infinity);
      const stored = { key: storeKey.rental(index, rental.name), revision };
      const intent = RecordedIntent.fromStored(owned.authorization, stored);
      void attempt(log, 'rental request failed', () => this.#rent(owned, rental, intent)).finally(
        () => this.#retryAt.set(rental.name, now() + RENTAL_RETRY_MS),
      );
    }
  }

  /** Requests a recorded rental and settles its record with the answer. Rejects like the cloud and the store do. */
  async #rent(owned: OwnedShard, rental: RentalRecord, intent: RecordedIntent): Promise<void> {
    const { cloud, machineRecords } = this.dependencies;
    const result = await cloud.rent({ request: rental.name, ...rental }, intent);
    this.#handleResult(rental, result);
    const machines = result.kind === 'rented' ? result.machines : [];
    await machineRecords.recordRental(owned, rental, machines);
  }

  /** Logs the answer, and begins a backoff if the cloud has not provided all machines. */
  #handleResult(rental: RentalRecord, result: RentResult): void {
    const { backoff, log, now } = this.dependencies;
    const { type, zone, spot, shard } = rental;
    const fields = { type, zone, spot, shard };
    switch (result.kind) {
      case 'rented':
        log.info({ ...fields, machines: result.machines.length }, 'machines rented');
        if (result.machines.length < rental.count) backoff.begin(rental, now());
        return;
      case 'malformed':
        backoff.begin(rental, now());
        log.error({ ...fields, answer: result.answer }, 'rental rejected');
        return;
      case 'no_capacity':
        backoff.begin(rental, now());
        log.info(fields, 'rental found no capacity');
    }
  }
}
