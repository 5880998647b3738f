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
import { hasGuarantee, hasLimit, shardOfTeam } from '../core/jobs/jobs.js';
import type { MachineRecord } from '../core/model.js';
import { movesById, obstacleTo } from '../rebalancing/move-coordinator.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import type { WatchCache } from '../store/watch-cache.js';
import { CommandError, EXIT } from './exit-codes.js';
import { StoreAccess } from './store-access.js';
import { table } from './table.js';

/** tries of a request that meets another one at the same moment */
const TRIES = 3;
/** bytes of a stored move besides the names of its machines */
const MOVE_BYTES = 700;
/** bytes of a machine's name in a move, which may stand among the chosen and among the moved ones */
const NAME_BYTES = 40;

/** Machines of one kind in a shard. */
interface KindCount {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly machines: number;
}

/** One shard's share of the machines. */
export interface ShardMachines {
  readonly part: number;
  readonly owner: string | null;
  readonly term: number | null;
  readonly machines: number;
  readonly kinds: readonly KindCount[];
}

/** What `sumacstep shares show --json` prints. */
export interface SharesOutput {
  readonly shares: readonly ShardMachines[];
  readonly moves: readonly Move[];
}

/** What a move would do, told before anything happens. */
export interface PlanOutput {
  readonly request: MoveRequest;
  /** machines of the shard that match, by their records; as many as `count` of them move */
  readonly matching: readonly string[];
  /** fewer machines match than are asked for: the rest would be waited for until the deadline */
  readonly lacking: number;
  /** the target's shard would get a newer term: what waits there starts again once its machines have answered */
  readonly renewsTerm: boolean;
  /** teams that live whole in the source's shard, since they have a limit or a guarantee */
  readonly teamsOfSource: readonly string[];
  /** jobs with tasks in the source's shard; no task is stopped for the move */
  readonly jobsInSource: number;
  /** a move that holds one of the shards now */
  readonly heldBy: string | null;
  /** what would have to be waited for first */
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

const machinesOf = (cache: WatchCache, shard: number): MachineRecord[] =>
  [...cache.machines.values()].map((m) => m.value).filter((record) => record.shard === shard);

const kindsOf = (machines: readonly MachineRecord[]): KindCount[] => {
  const kinds = new Map<string, KindCount>();
  for (const { type, zone, spot } of machines) {
    const name = `${type} ${zone} ${spot}`;
    const count = (kinds.get(name)?.machines ?? 0) + 1;
    kinds.set(name, { type, zone, spot, machines: count });
  }
  return [...kinds.values()];
};

const shareOf = (cache: WatchCache, shard: number): ShardMachines => {
  const owner = cache.tables.shards.get(String(shard))?.value;
  const machines = machinesOf(cache, shard);
  return {
    part: shard,
    owner: owner?.owner ?? null,
    term: owner?.term ?? null,
    machines: machines.length,
    kinds: kindsOf(machines),
  };
};

const time = (ms: number | null): string => (ms === null ? '-' : new Date(ms).toISOString());

const render = ({ shares, moves }: SharesOutput): string => {
  const parts = shares.map((share) => [
    String(share.part),
    share.owner ?? '-',
    String(share.machines),
    share.kinds.map((k) => `${k.machines} ${k.type} ${k.zone}${k.spot ? ' spot' : ''}`).join(', '),
  ]);
  const rows = moves.map((move) => [
    move.id,
    `${move.from} -> ${move.to}`,
    `${move.moved.length} of ${move.count}`,
    move.direction === 'back' ? `${move.state}, back` : move.state,
    time(move.deadlineMs),
    time(move.returnAtMs),
    move.waitsFor ?? '-',
  ]);
  const text = table(['PART', 'OWNER', 'MACHINES', 'KINDS'], parts);
  if (rows.length === 0) return text;
  const titles = ['MOVE', 'PARTS', 'MOVED', 'STATE', 'DEADLINE', 'RETURN', 'WAITS FOR'];
  return `${text}\n${table(titles, rows)}`;
};

/** Who has which machines, and what moves. */
export const showShards = (config: PlatformConfig, json: boolean): Promise<string> =>
  withStore(config, async (store) => {
    const cache = await store.read(['parts/', 'machines/', 'shares/']);
    const shares = Array.from({ length: config.nodes }, (_, part) => shareOf(cache, part));
    const moves = [...movesById(cache.tables).values()].map(({ value }) => value);
    const output: SharesOutput = { shares, moves };
    return json ? `${JSON.stringify(output, null, 2)}\n` : render(output);
  });

/** Reads a request as an operator wrote it; throws a `CommandError` that names each bad field. */
export const checkRequest = (
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
    const most = Math.floor((config.storeLimits.valueBytes - MOVE_BYTES) / NAME_BYTES);
    if (request.count > most) problems.push(`count: one move holds ${most} machines at most`);
  }
  if (problems.length > 0) throw new CommandError(EXIT.badInput, problems.join('\n'));
  return parseMoveRequest(value);
};

/** The move that holds one of the shards; null if none does. */
const holderOf = (cache: WatchCache, { from, to }: MoveRequest): string | null => {
  for (const { value } of cache.tables.moves.values()) {
    if (value.kind === 'lock' && (value.shard === from || value.shard === to)) return value.move;
  }
  return null;
};

/** What a move would do and disrupt. Nothing is written. */
export const planMove = (config: PlatformConfig, request: MoveRequest): Promise<PlanOutput> =>
  withStore(config, async (store) => {
    const cache = await store.read(['parts/', 'nodes/', 'machines/', 'shares/', 'active/']);
    const matching = machinesOf(cache, request.from).filter((m) =>
      matchesFilter(request.filter, m),
    );
    const term = (shard: number) => cache.tables.shards.get(String(shard))?.value.term ?? 0;
    const jobs = [...cache.tables.activeJobs.values()];
    return {
      request,
      matching: matching.map((m) => m.name),
      lacking: Math.max(0, request.count - matching.length),
      renewsTerm: term(request.to) <= term(request.from),
      teamsOfSource: [...config.teams.values()]
        .filter((team) => hasLimit(team) || hasGuarantee(team))
        .filter((team) => shardOfTeam(team.name, config.nodes) === request.from)
        .map((team) => team.name),
      jobsInSource: jobs.filter((j) => j.value.ranges.some((r) => r.shard === request.from)).length,
      heldBy: holderOf(cache, request),
      obstacle: obstacleTo(cache.tables, newMove(request)),
    };
  });

/** What became of a request. */
export interface MoveOutput {
  readonly move: Move;
  /** false: the same request stood there already */
  readonly written: boolean;
}

/**
 * Asks for a move. The same id is the same move. It takes both shards at once, or nothing: a move that holds one of
 * them is a conflict, named.
 */
export const requestMove = (config: PlatformConfig, request: MoveRequest): Promise<MoveOutput> =>
  withStore(config, async (store) => {
    const key = moveKey(request.id);
    const locks = [shardLockKey(request.from), shardLockKey(request.to)];
    for (let tries = 0; tries < TRIES; tries++) {
      const found = await store.attempt(() => store.client.get(key, CALL_PRIORITY.read));
      if (!('missing' in found)) {
        const move = decodeMove(found.value);
        if (move !== null) return { move, written: false };
        throw new CommandError(EXIT.conflict, `${request.id}: a move of another version`);
      }
      const move = newMove(request);
      const guards = [key, ...locks].map((name) => ({ key: name, revision: 0 }));
      const lock = encodeShardLock(request.id);
      const writes = [{ put: key, value: move }, ...locks.map((put) => ({ put, value: lock }))];
      const result = await store.attempt(() =>
        store.client.compareAndSwap(CALL_PRIORITY.background, guards, writes),
      );
      if (result.ok) return { move, written: true };
      const held = result.failed.find((name) => locks.includes(name));
      if (held === undefined) continue;
      const holder = await store.attempt(() => store.client.get(held, CALL_PRIORITY.read));
      if ('missing' in holder) continue;
      const id = decodeShardLock(holder.value) ?? 'one of another version';
      // An answer that got lost: the lock is this move's own.
      if (id === request.id) continue;
      throw new CommandError(EXIT.conflict, `${held}: another move holds it (${id})`);
    }
    throw new CommandError(EXIT.conflict, `${request.id}: others write at the same moment`);
  });

/** Asks that a move is given up: what has moved goes back. */
export const abortMove = (config: PlatformConfig, id: string): Promise<MoveOutput> =>
  withStore(config, async (store) => {
    const key = moveKey(id);
    for (let tries = 0; tries < TRIES; tries++) {
      const found = await store.attempt(() => store.client.get(key, CALL_PRIORITY.read));
      const move = 'missing' in found ? null : decodeMove(found.value);
      if (move === null || 'missing' in found) {
        throw new CommandError(EXIT.badInput, `no such move: ${id}`);
      }
      if (isTerminal(move) || move.abortAsked) return { move, written: false };
      const next: Move = { ...move, abortAsked: true };
      const guards = [{ key, revision: found.revision }];
      const writes = [{ put: key, value: next }];
      const result = await store.attempt(() =>
        store.client.compareAndSwap(CALL_PRIORITY.background, guards, writes),
      );
      if (result.ok) return { move: next, written: true };
    }
    throw new CommandError(EXIT.conflict, `${id}: it changes faster than it can be aborted`);
  });
