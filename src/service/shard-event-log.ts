/** Logs what has happened to the tasks and machines of a shard. */
import type { Logger } from 'pino';
import type { MachineEventType } from '../core/shard/machine-events.js';
import type { Shard } from '../core/shard/shard.js';

const MACHINE_EVENT_MESSAGES = {
  'epoch-began': 'agent epoch began',
  'lease-expired': 'worker lease expired',
  'silent-start': 'tasks started without heartbeats',
} as const satisfies Record<MachineEventType, string>;

/** Moves the events of a shard that have not been logged yet to the log. */
export const logShardEvents = (shard: Shard, log: Logger): void => {
  const { index, term } = shard;
  for (const { uid, ...attempt } of shard.unexpectedAttempts.splice(0)) {
    log.error({ job: uid, shard: index, term, ...attempt }, 'ended attempt runs again');
  }
  for (const { type, ...event } of shard.machineEvents.splice(0)) {
    log.info({ shard: index, term, ...event }, MACHINE_EVENT_MESSAGES[type]);
  }
  const events = shard.events.splice(0);
  // A pass may place as many tasks as the largest job has.
  if (!log.isLevelEnabled('debug')) return;
  for (const { uid, ...event } of events) {
    log.debug({ job: uid, shard: index, term, ...event }, 'task changed');
  }
};
