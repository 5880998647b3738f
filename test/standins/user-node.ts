/** The user interface of a node on its own, whose calls to the store a test can hold and release one by one. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import Koa from 'koa';
import { CborClient, type CborResponse } from '../../src/transport/http.js';
import type { ReadResult } from '../../src/store/types.js';
import type { CompareAndSwapResult, Guard, Write } from '@sumacstep/leader-election';
import { LinearizableReads } from '../../src/store/linearizable-reads.js';
import { WatchCache } from '../../src/store/watch-cache.js';
import { userRoutes } from '../../src/users/user-routes.js';
import { JobReader } from '../../src/users/job-reader.js';
import { JobService } from '../../src/users/job-service.js';
import { transactionBody } from '../../src/wire/store.js';
import { machineType, settings } from '../helpers.js';
import { type AnswerHistory, type UserCall } from './answer-history.js';
import { monotonicMs } from '../../src/clock.js';
import type { FakeStore } from './store.js';

/** ms; longer than the time after which a node rejects a user's request. */
const USER_TIMEOUT_MS = 5000;

/** While closed, holds everything that passes; opening it releases what it holds. */
export class Gate {
  #closed = false;
  #waiting: (() => void)[] = [];

  close(): void {
    this.#closed = true;
  }

  open(): void {
    this.#closed = false;
    for (const release of this.#waiting.splice(0)) release();
  }

  /** Number of calls that wait at the gate. */
  get heldCount(): number {
    return this.#waiting.length;
  }

  /** Resolves at once, or as soon as a closed gate is opened. */
  async pass(): Promise<void> {
    if (this.#closed) await new Promise<void>((resolve) => this.#waiting.push(resolve));
  }
}

/** The store's answer to a watch. */
interface WatchBody {
  readonly Epoch: number;
  readonly News: readonly { Put?: string; Drop?: string; Value?: unknown; Stamp: number }[];
}

/** Counts the submissions that have arrived, so that a test knows when one waits at a gate. */
class CountingJobService extends JobService {
  calls = 0;

  override submit(...args: Parameters<JobService['submit']>): ReturnType<JobService['submit']> {
    this.calls += 1;
    return super.submit(...args);
  }
}

/** Counts the reads of jobs that were requested. */
class CountingJobReader extends JobReader {
  calls = 0;

  override read(uid: string): ReturnType<JobReader['read']> {
    this.calls += 1;
    return super.read(uid);
  }
}

/**
 * The user interface of one controller, with a store that all nodes of a test share. Each call to the store passes two
 * gates, one for the request and one for the response, so that the test decides which call overtakes which; nothing
 * depends on timing.
 */
export class UserNode {
  readonly cache = new WatchCache();
  readonly #reads: LinearizableReads;
  #server: Server | null = null;
  #client: CborClient | null = null;
  #jobs: CountingJobService | null = null;
  #reader: CountingJobReader | null = null;
  readonly writeRequest = new Gate();
  readonly writeResponse = new Gate();
  readonly readRequest = new Gate();
  readonly readResponse = new Gate();
  readonly watchRequest = new Gate();
  readonly watchResponse = new Gate();
  #polling = false;
  #pollAgain = false;
  /** largest value in bytes that this node writes to the store; read by `open` */
  valueBytes = 8192;

  constructor(
    readonly name: string,
    private readonly store: FakeStore,
    private readonly history: AnswerHistory,
  ) {
    this.#reads = new LinearizableReads({ get: (key) => this.#get(key) }, this.cache, monotonicMs);
  }

  /** Fills the cache and starts to serve users on a free port of loopback. */
  async open(): Promise<void> {
    await this.relist();
    const client = {
      compareAndSwap: (_class: unknown, guards: readonly Guard[], writes: readonly Write[]) =>
        this.#compareAndSwap(guards, writes),
      expectedWaitMs: () => 0,
    };
    const linearizable = {
      waitUntilCurrent: () => {
        const current = this.#reads.waitUntilCurrent();
        this.#pollForWaiters();
        return current;
      },
    };
    const get = (name: string) => this.#get(name);
    const reader = new CountingJobReader({ get }, this.cache, linearizable);
    this.#reader = reader;
    const routing = {
      types: () => new Map([['m', machineType()]]),
      loads: () => [{ shard: 0, load: 0, fitsNow: true, hasImage: true }],
      termOf: () => 1,
      random: () => 0,
    };
    const jobs = new CountingJobService(
      { client, cache: this.cache, reader, routing, acceptanceGuard: () => null, now: monotonicMs },
      {
        teams: settings().teams,
        shardCount: 1,
        maxValueBytes: this.valueBytes,
        loadThreshold: 0.85,
      },
    );
    this.#jobs = jobs;
    const app = new Koa();
    app.use(
      userRoutes({
        jobs,
        reader,
        progress: () => ({ done: 0, running: 0 }),
        onCancelled: () => undefined,
        isReady: () => true,
        storeAvailable: () => true,
        timeOfDay: () => 0,
        now: monotonicMs,
        random: () => 0,
        onAccepted: () => undefined,
        onMalformed: () => undefined,
      }),
    );
    const handler = app.callback();
    const server = createServer((req, res) => void handler(req, res));
    this.#server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    this.#client = new CborClient(`127.0.0.1:${port}`, 8);
  }

  /** Number of submissions and job reads so far, including the reads that a submission makes itself. */
  get calls(): number {
    return (this.#jobs?.calls ?? 0) + (this.#reader?.calls ?? 0);
  }

  /** Sends a user's request and has the history check the answer. Returns null if there is none. */
  async sendUserRequest(
    call: UserCall,
    body: { readonly Uid: string },
  ): Promise<CborResponse | null> {
    const request = this.history.recordRequest(call, body.Uid);
    const answer = await this.#send(call, body).catch(() => null);
    this.history.recordAnswer(request, answer, this.name);
    return answer;
  }

  #send(call: UserCall, body: { readonly Uid: string }): Promise<CborResponse> {
    const client = this.#client!;
    const path = `/submissions/${body.Uid}`;
    if (call === 'submit') return client.call('POST', '/submissions', body, USER_TIMEOUT_MS);
    if (call === 'query') return client.call('GET', path, undefined, USER_TIMEOUT_MS);
    return client.call('POST', `${path}/withdraw`, undefined, USER_TIMEOUT_MS);
  }

  async #get(key: string): Promise<ReadResult> {
    await this.readRequest.pass();
    const item = this.store.items.get(key);
    const epoch = this.store.revision;
    await this.readResponse.pass();
    if (item === undefined) return { missing: true, storeRevision: epoch };
    return { key, value: item.value, revision: item.revision };
  }

  async #compareAndSwap(
    guards: readonly Guard[],
    writes: readonly Write[],
  ): Promise<CompareAndSwapResult> {
    await this.writeRequest.pass();
    const body = transactionBody(guards, writes);
    const query = new URLSearchParams();
    const reply = await this.store.handle({ method: 'POST', path: '/multi', query, body });
    if (reply === 'hang') throw new Error('the stand-in answers every transaction');
    await this.writeResponse.pass();
    const answer = reply.body as { Epoch: number; failed?: string[] };
    if (reply.status === 200) return { ok: true, epoch: answer.Epoch };
    return { ok: false, failed: answer.failed ?? [] };
  }

  /** Applies a full listing to the cache, as after a restart of the watch. */
  async relist(): Promise<void> {
    const startedAt = monotonicMs();
    const { revision: epoch } = this.store;
    const changes = [...this.store.items].map(([key, { value, revision }]) => {
      return { key, value, revision, removed: false };
    });
    await this.watchResponse.pass();
    const cached = changes.filter(({ key }) => !key.startsWith('final/'));
    this.cache.apply({
      isListing: true,
      changes: cached,
      revision: epoch,
      consistentFrom: epoch,
      readStartedAt: startedAt,
    });
  }

  /**
   * Polls the watch until a poll that began after this call has ended, so that everyone who waits for a current cache
   * gets one. If a poll is in flight, another one follows.
   */
  #pollForWaiters(): void {
    this.#pollAgain = true;
    if (this.#polling) return;
    this.#polling = true;
    void (async () => {
      while (this.#pollAgain) {
        this.#pollAgain = false;
        await this.pollWatch();
      }
      this.#polling = false;
    })();
  }

  /** Polls the watch once and applies the changes to the cache. */
  async pollWatch(): Promise<void> {
    const startedAt = monotonicMs();
    this.#reads.onReadState(startedAt);
    await this.watchRequest.pass();
    const query = new URLSearchParams({ Since: String(this.cache.revision), BlockMs: '0' });
    const request = { method: 'GET', path: '/follow', query, body: null };
    const reply = await this.store.handle(request);
    if (reply === 'hang') throw new Error('the stand-in answers every watch');
    await this.watchResponse.pass();
    const { Epoch: epoch, News: news } = reply.body as WatchBody;
    const changes = news.map((entry) => ({
      key: entry.Put ?? entry.Drop ?? '',
      revision: entry.Stamp,
      value: entry.Value,
      removed: entry.Drop !== undefined,
    }));
    this.#reads.onReadState(null);
    this.cache.apply({ isListing: false, changes, revision: epoch, readStartedAt: startedAt });
  }

  close(): void {
    this.#reads.close();
    this.#client?.close();
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
