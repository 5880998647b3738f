/** `sumacstep duties`: who leads which singleton controller, and requests to transfer a leadership. */
import {
  decodeTransferRequest,
  describeLeadership,
  transferRequestKey,
  type LeadershipReport,
  type LeadershipStatus,
  type LeadershipTransferRequest,
} from '@sumacstep/leader-election';
import type { PlatformConfig } from '../config/platform.js';
import { SINGLETON_ROLES } from '../singletons/roles.js';
import { electionView } from '../singletons/singleton-election.js';
import { CALL_PRIORITY } from '../store/call-priority.js';
import { storeKey } from '../store/keys.js';
import type { WatchCache } from '../store/watch-cache.js';
import { CommandError, EXIT } from './exit-codes.js';
import { StoreAccess } from './store-access.js';
import { formatTable } from './table.js';

/** attempts of a request that meets another one at the same moment */
const MAX_ATTEMPTS = 3;

/** A shard's owner, which leads the shard under its term. A part of the `--json` output. */
export interface ShardOwnerStatus {
  readonly duty: string;
  readonly holder: string;
  readonly incarnation: string;
  readonly token: number;
  readonly until: LeadershipStatus['until'];
}

/** What `sumacstep duties --json` prints, name by name. */
export interface LeadershipOutput extends LeadershipReport {
  readonly parts: readonly ShardOwnerStatus[];
}

const describeShardOwners = ({ tables }: WatchCache): ShardOwnerStatus[] =>
  [...tables.shards].map(([index, { value }]) => {
    const live = tables.nodes.has(`${value.owner}/${value.incarnation}`);
    return {
      duty: storeKey.shard(Number(index)),
      holder: value.owner,
      incarnation: value.incarnation,
      token: value.term,
      until: { kind: live ? 'lease_renewed' : 'lease_ended' },
    };
  });

const VALIDITY_TEXT: Readonly<Record<LeadershipStatus['until']['kind'], string>> = {
  lease_renewed: 'as long as its node renews its lease',
  lease_ended: 'over: the lease has ended',
  vacant: '-',
};

const formatTime = (ms: number | null): string =>
  ms === null ? '-' : new Date(ms).toISOString().replace(/\.\d+Z$/, 'Z');

const formatTransfer = (request: LeadershipStatus['handOver']): string =>
  request === null
    ? '-'
    : `to ${request.to ?? 'any'} (${request.id}), waits for ${request.waitsFor}`;

const formatLeadership = ({ duties, pausedBy, parts }: LeadershipOutput): string => {
  const rows = duties.map((status) => [
    status.duty,
    status.holder ?? '-',
    String(status.token ?? '-'),
    formatTime(status.sinceMs),
    VALIDITY_TEXT[status.until.kind],
    formatTransfer(status.handOver),
  ]);
  const owners = parts.map((owner) => [
    owner.duty,
    owner.holder,
    String(owner.token),
    '-',
    VALIDITY_TEXT[owner.until.kind],
    '-',
  ]);
  const titles = ['DUTY', 'HOLDER', 'TOKEN', 'SINCE', 'UNTIL', 'HAND-OVER'];
  const text = formatTable(titles, [...rows, ...owners]);
  if (pausedBy.length === 0) return text;
  return `${text}paused: duties are not known to ${pausedBy.join(', ')}\n`;
};

/** Who leads each role, since and until when, as JSON or as a table. Rejects with `CommandError`. */
export const showLeadership = async (config: PlatformConfig, json: boolean): Promise<string> => {
  const store = new StoreAccess(config);
  try {
    const cache = await store.readPrefixes(['parts/', 'nodes/', 'duties/']);
    const report = describeLeadership(electionView(cache.tables), SINGLETON_ROLES);
    const output: LeadershipOutput = { ...report, parts: describeShardOwners(cache) };
    return json ? `${JSON.stringify(output, null, 2)}\n` : formatLeadership(output);
  } finally {
    store.close();
  }
};

const assertKnownRole = (role: string): void => {
  if ((SINGLETON_ROLES as readonly string[]).includes(role)) return;
  throw new CommandError(EXIT.badInput, `no such duty: ${role} (${SINGLETON_ROLES.join(', ')})`);
};

const assertKnownNode = (config: PlatformConfig, node: string): void => {
  const nodes = [config.node, ...config.peers.map((peer) => peer.node)];
  if (nodes.includes(node)) return;
  throw new CommandError(EXIT.badInput, `no such node: ${node} (${nodes.join(', ')})`);
};

/** The outcome of a transfer request, as `--json` prints it. */
export interface TransferRequestOutput {
  readonly duty: string;
  readonly request: LeadershipTransferRequest;
  /** false: the same request was stored already */
  readonly written: boolean;
}

/**
 * Stores a request that another node leads the role. The same id is the same request; a request with another id is
 * a conflict. Rejects with `CommandError`.
 */
export const requestTransfer = async (
  config: PlatformConfig,
  role: string,
  request: LeadershipTransferRequest,
): Promise<TransferRequestOutput> => {
  assertKnownRole(role);
  if (request.to !== null) assertKnownNode(config, request.to);
  const store = new StoreAccess(config);
  const requestKey = transferRequestKey(role);
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const found = await store.callWithRetries(() =>
        store.client.get(requestKey, CALL_PRIORITY.read),
      );
      if (!('missing' in found)) {
        const stored = decodeTransferRequest(found.value);
        if (stored?.id === request.id) return { duty: role, request: stored, written: false };
        const id = stored?.id ?? 'one of another version';
        throw new CommandError(EXIT.conflict, `${role}: another request waits (${id})`);
      }
      const guards = [{ key: requestKey, revision: 0 }];
      const writes = [{ put: requestKey, value: request }];
      const result = await store.callWithRetries(() =>
        store.client.compareAndSwap(CALL_PRIORITY.background, guards, writes),
      );
      if (result.ok) return { duty: role, request, written: true };
    }
    throw new CommandError(EXIT.conflict, `${role}: others write requests at the same moment`);
  } finally {
    store.close();
  }
};

/** Deletes a request that is not carried out yet; resolves with false if there was none. Rejects with `CommandError`. */
export const withdrawTransfer = async (config: PlatformConfig, role: string): Promise<boolean> => {
  assertKnownRole(role);
  const store = new StoreAccess(config);
  const requestKey = transferRequestKey(role);
  try {
    const found = await store.callWithRetries(() =>
      store.client.get(requestKey, CALL_PRIORITY.read),
    );
    if ('missing' in found) return false;
    const guards = [{ key: requestKey, revision: found.revision }];
    const writes = [{ drop: requestKey }];
    const result = await store.callWithRetries(() =>
      store.client.compareAndSwap(CALL_PRIORITY.background, guards, writes),
    );
    return result.ok;
  } finally {
    store.close();
  }
};
