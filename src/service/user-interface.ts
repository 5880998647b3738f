/** What users reach: submissions, queries and cancellations, and the routing of accepted jobs. */
import type Koa from 'koa';
import type { MachineTypes } from '../cloud/machine-types.js';
import type { ShardController } from '../shards/shard-controller.js';
import type { SingletonControllers } from '../singletons/singleton-controllers.js';
import { JobReader } from '../users/job-reader.js';
import { JobService } from '../users/job-service.js';
import { userRoutes } from '../users/user-routes.js';
import type { NodeContext } from './node-context.js';
import type { PeerExchange } from './peer-exchange.js';
import type { StoreAccess } from './store-access.js';
import type { PeriodicSummary } from './summary.js';

/** What the users' side needs of the node. */
export interface UserInterfaceDependencies {
  readonly context: NodeContext;
  readonly store: StoreAccess;
  readonly peers: PeerExchange;
  readonly machineTypes: MachineTypes;
  readonly shardController: ShardController;
  /** null: switched off */
  readonly singletons: SingletonControllers | null;
  readonly summary: PeriodicSummary;
  /** whether the load balancer should send users here */
  readonly isReady: () => boolean;
}

/** Owns the job service and its routes. */
export class UserInterface {
  readonly jobs: JobService;
  readonly #reader: JobReader;

  constructor(private readonly dependencies: UserInterfaceDependencies) {
    const { context, store, peers, machineTypes, shardController, singletons } = dependencies;
    const { config, operator, random, now } = context;
    const { client, cache, linearizableReads: linearizable } = store;
    this.#reader = new JobReader(client, cache, linearizable);
    this.jobs = new JobService(
      {
        client,
        cache,
        reader: this.#reader,
        routing: {
          types: () => machineTypes.current,
          loads: (spec) => peers.directory.loads(spec),
          termOf: (shard) => shardController.termOf(shard),
          random,
        },
        acceptanceGuard: () => singletons?.acceptanceGuard() ?? null,
        now,
      },
      {
        teams: config.teams,
        shardCount: config.nodes,
        maxValueBytes: config.storeLimits.valueBytes,
        loadThreshold: operator.loadThreshold,
      },
    );
  }

  /** The users' routes. */
  routes(): Koa.Middleware {
    const { context, store, peers, summary, isReady } = this.dependencies;
    const { log } = context;
    return userRoutes({
      jobs: this.jobs,
      reader: this.#reader,
      progress: (uid) => peers.directory.progress(uid),
      onCancelled: (uid) => peers.flushCancellation(uid),
      isReady,
      storeAvailable: () => store.client.available,
      timeOfDay: context.timeOfDay,
      now: context.now,
      random: context.random,
      onMalformed: (reason) => log.info({ reason }, 'malformed submission rejected'),
      onAccepted: ({ uid, jobClass, tasks }, ms) => {
        summary.recordAcceptance(ms);
        log.debug({ job: uid, class: jobClass, tasks }, 'job accepted');
      },
    });
  }
}
