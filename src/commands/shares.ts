/** `sumacstep shares`: shows the machines of each shard, and plans, requests and aborts moves of machines. */
import {
  decodeShardLock,
  decodeMove,
  encodeShardLock,
  isTerminal,
  matchesFilter,
  moveKey,
  parseMoveRequest,
  shardLockKey,
  newMove,
  moveRequestProblems,
  type Move,
  type MoveRequest,
} from '@sumacstep/shard-rebalancing';
import type { PlatformConfig } from '../config/platform.js';
import { shardOfTeam } from '../core/jobs/jobs.js';
import { hasGuarantee, hasLimit } from '../core/jobs/single-shard.js';
import type { MachineRecord } from '../core/model.js';
import { movesById, findObstacle } from '../rebalancing/move-coordinator.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import type { WatchCache } from '../store/watch-cache.js';
import { CommandError, EXIT } from './exit-codes.js';
import { StoreAccess } from './store-access.js';
import { formatTable } from './table.js';

/** attempts to write a move that conflicts with a concurrent write */
const MAX_ATTEMPTS = 3;
/** size of a stored move without the names of its machines */
const MOVE_OVERHEAD_BYTES = 700;
/** space for each machine's name in a stored move: it may be among the chosen and among the moved machines */
const MACHINE_NAME_BYTES = 40;

/** The number of machines of one kind in a shard. Part of the `--json` output. */
interface KindCount {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly machines: number;
}

/** The machines of one shard, counted by kind. Part of the `--json` output. */
export interface ShardMachines {
  /** index of the shard */
  readonly part: number;
  /** node that owns the shard, or null if the shard has no owner record */
  readonly owner: string | null;
  readonly term: number | null;
  readonly machines: number;
  readonly kinds: readonly KindCount[];
}

/** The output of `sumacstep shares show --json`; its property names are printed as they are. */
export interface ShardsOutput {
  /** machines of all shards, by index */
  readonly shares: readonly ShardMachines[];
  readonly moves: readonly Move[];
}

/**
 * The expected effects of a move: the output of `sumacstep shares plan --json`, whose property names are printed as they
 * are.
 */
export interface PlanOutput {
  readonly request: MoveRequest;
  /** names of the machines of the source shard that match by their records; up to `count` of them would move */
  readonly matching: readonly string[];
  /** how many fewer machines match than are requested; the move would wait for the rest until the deadline */
  readonly lacking: number;
  /** whether the target shard would get a newer term; its waiting tasks start only once its machines have answered */
  readonly renewsTerm: boolean;
  /** teams whose jobs run only in the source shard, since the teams have a limit or a guarantee */
  readonly teamsOfSource: readonly string[];
  /** number of jobs with tasks in the source shard; no task is stopped for the move */
  readonly jobsInSource: number;
  /** id of the move that holds the lock of one of the shards, or null */
  readonly heldBy: string | null;
  /** what the move would have to wait for before it starts, or null */
  readonly obstacle: string | null;
}

const withStore = async <T>(
  config: PlatformConfig,
  work: (store: StoreAccess) => Promise<T>,
): Promise<T> => {
  const store = new StoreAccess(config);
  try {
    return await work(store);
  } finally {
    store.close();
  }
};

const machinesOfShard = (cache: WatchCache, shard: number): MachineRecord[] =>
  [...cache.machines.values()].map(({ value }) => value).filter((record) => record.shard === shard);

const countKinds = (machines: readonly MachineRecord[]): KindCount[] => {
  const kinds = new Map<string, KindCount>();
  for (const { type, zone, spot } of machines) {
    const name = `${type} ${zone} ${spot}`;
    const count = (kinds.get(name)?.machines ?? 0) + 1;
    kinds.set(name, { type, zone, spot, machines: count });
  }
  return [...kinds.values()];
};

const describeShard = (cache: WatchCache, shard: number): ShardMachines => {
  const owner = cache.tables.shards.get(String(shard))?.value;
  const machines = machinesOfShard(cache, shard);
  return {
    part: shard,
    owner: owner?.owner ?? null,
    term: owner?.term ?? null,
    machines: machines.length,
    kinds: countKinds(machines),
  };
};

const formatTime = (ms: number | null): string => (ms === null ? '-' : new Date(ms).toISOString());

const formatKindCount = ({ machines, type, zone, spot }: KindCount): string =>
  `${machines} ${type} ${zone}${spot ? ' spot' : ''}`;

const formatShards = ({ shares, moves }: ShardsOutput): string => {
  const parts = shares.map((share) => [
    String(share.part),
    share.owner ?? '-',
    String(share.machines),
    share.kinds.map(formatKindCount).join(', '),
  ]);
  const rows = moves.map((move) => [
    move.id,
    `${move.from} -> ${move.to}`,
    `${move.moved.length} of ${move.count}`,
    move.direction === 'back' ? `${move.state}, back` : move.state,
    formatTime(move.deadlineMs),
    formatTime(move.returnAtMs),
    move.waitsFor ?? '-',
  ]);
  const text = formatTable(['PART', 'OWNER', 'MACHINES', 'KINDS'], parts);
  if (rows.length === 0) return text;
  const titles = ['MOVE', 'PARTS', 'MOVED', 'STATE', 'DEADLINE', 'RETURN', 'WAITS FOR'];
  return `${text}\n${formatTable(titles, rows)}`;
};

/** Returns the machines of each shard and all moves, as JSON or as tables. Rejects with `CommandError`. */
export const showShards = (config: PlatformConfig, json: boolean): Promise<string> =>
  withStore(config, async (store) => {
    const cache = await store.readPrefixes(['parts/', 'machines/', 'shares/']);
    const shares = Array.from({ length: config.nodes }, (_, part) => describeShard(cache, part));
    const moves = [...movesById(cache.tables).values()].map(({ value }) => value);
    const output: ShardsOutput = { shares, moves };
    return json ? `${JSON.stringify(output, null, 2)}\n` : formatShards(output);
  });

/** Validates and parses an operator's request; throws a `CommandError` that names each invalid field. */
export const validateRequest = (
  config: PlatformConfig,
  value: unknown,
  nowMs: number,
): MoveRequest => {
  const problems = moveRequestProblems(value);
  if (problems.length === 0) {
    const request = parseMoveRequest(value);
    for (const field of ['from', 'to'] as const) {
      const part = request[field];
      if (part >= config.nodes) problems.push(`${field}: no such part: ${part}`);
    }
    if (request.deadlineMs <= nowMs) problems.push('deadlineMs: is past');
    const maxCount = Math.floor(
      (config.storeLimits.valueBytes - MOVE_OVERHEAD_BYTES) / MACHINE_NAME_BYTES,
    );
    if (request.count > maxCount)
      problems.push(`count: one move holds ${maxCount} machines at most`);
  }
  if (problems.length > 0) throw new CommandError(EXIT.badInput, problems.join('\n'));
  return parseMoveRequest(value);
};

/** Returns the id of the move that holds the lock of one of the two shards; null if both are unlocked. */
const findLockingMove = (cache: WatchCache, { from, to }: MoveRequest): string | null => {
  for (const { value } of cache.tables.moves.values()) {
    if (value.kind === 'lock' && (value.shard === from || value.shard === to)) return value.move;
  }
  return null;
};

/** Returns the expected effects of a move without writing anything. Rejects with `CommandError`. */
export const planMove = (config: PlatformConfig, request: MoveRequest): Promise<PlanOutput> =>
  withStore(config, async (store) => {
    const cache = await store.readPrefixes(['parts/', 'nodes/', 'machines/', 'shares/', 'active/']);
    const matching = machinesOfShard(cache, request.from).filter((machine) =>
      matchesFilter(request.filter, machine),
    );
    const term = (shard: number) => cache.tables.shards.get(String(shard))?.value.term ?? 0;
    const jobs = [...cache.tables.activeJobs.values()];
    return {
      request,
      matching: matching.map(({ name }) => name),
      lacking: Math.max(0, request.count - matching.length),
      renewsTerm: term(request.to) <= term(request.from),
      teamsOfSource: [...config.teams.values()]
        .filter((team) => hasLimit(team) || hasGuarantee(team))
        .filter((team) => shardOfTeam(team.name, config.nodes) === request.from)
        .map((team) => team.name),
      jobsInSource: jobs.filter(({ value: job }) =>
        job.ranges.some(({ shard }) => shard === request.from),
      ).length,
      heldBy: findLockingMove(cache, request),
      obstacle: findObstacle(cache.tables, newMove(request)),
    };
  });

/** The outcome of a request, as `--json` prints it. */
export interface MoveOutput {
  readonly move: Move;
  /** false if the same request had been stored before */
  readonly written: boolean;
}

/**
 * Stores a move in its initial state together with the locks of both shards, in one transaction. The request is
 * idempotent by its id. If another move holds one of the locks, the request is a conflict, and the error names that
 * move. Rejects with `CommandError`.
 */
export const requestMove = (config: PlatformConfig, request: MoveRequest): Promise<MoveOutput> =>
  withStore(config, async (store) => {
    const key = moveKey(request.id);
    const locks = [shardLockKey(request.from), shardLockKey(request.to)];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const found = await store.callWithRetries(() => store.client.get(key, CALL_PRIORITY.read));
      if (!('missing' in found)) {
        const move = decodeMove(found.value);
        if (move !== null) return { move, written: false };
        throw new CommandError(EXIT.conflict, `${request.id}: a move of another version`);
      }
      const move = newMove(request);
      const guards = [key, ...locks].map((name) => ({ key: name, revision: 0 }));
      const lock = encodeShardLock(request.id);
      const writes = [{ put: key, value: move }, ...locks.map((put) => ({ put, value: lock }))];
      const result = await store.callWithRetries(() =>
        store.client.compareAndSwap(CALL_PRIORITY.background, guards, writes),
      );
      if (result.ok) return { move, written: true };
      const held = result.failed.find((name) => locks.includes(name));
      if (held === undefined) continue;
      const holder = await store.callWithRetries(() => store.client.get(held, CALL_PRIORITY.read));
      if ('missing' in holder) continue;
      const id = decodeShardLock(holder.value) ?? 'one of another version';
      // The answer to an earlier attempt was lost: the move is stored and holds the lock itself.
      if (id === request.id) continue;
      throw new CommandError(EXIT.conflict, `${held}: another move holds it (${id})`);
    }
    throw new CommandError(EXIT.conflict, `${request.id}: others write at the same moment`);
  });

/** Requests the abort of a move; machines that have moved are returned. Rejects with `CommandError`. */
export const abortMove = (config: PlatformConfig, id: string): Promise<MoveOutput> =>
  withStore(config, async (store) => {
    const key = moveKey(id);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const found = await store.callWithRetries(() => store.client.get(key, CALL_PRIORITY.read));
      const move = 'missing' in found ? null : decodeMove(found.value);
      if (move === null || 'missing' in found) {
        throw new CommandError(EXIT.badInput, `no such move: ${id}`);
      }
      if (isTerminal(move) || move.abortAsked) return { move, written: false };
      const next: Move = { ...move, abortAsked: true };
      const guards = [{ key, revision: found.revision }];
      const writes = [{ put: key, value: next }];
      const result = await store.callWithRetries(() =>
        store.client.compareAndSwap(CALL_PRIORITY.background, guards, writes),
      );
      if (result.ok) return { move: next, written: true };
    }
    throw new CommandError(EXIT.conflict, `${id}: it changes faster than it can be aborted`);
  });
