import { FORGET_DELAY_MAX_MS, FORGET_BATCH_LIMIT, STOP_OVERDUE_MARGIN_S } from './constants.js';
import { attemptKey, isUndispatched, taskKey, type MachineState, type Placement } from './types.js';
import { type ShardState } from './shard-state.js';
import type { Command, Heartbeat } from '../model.js';

/** The commands that make workers do what the shard's state say. */
export class CommandPlanner {
  constructor(private readonly state: ShardState) {}

  #stopCommand(p: Placement, now: number): Command {
    const stop = p.stop!;
    const overdue = now - stop.at > (stop.graceS + STOP_OVERDUE_MARGIN_S) * 1000;
    return {
      op: 'stop',
      uid: p.job.spec.uid,
      index: p.index,
      attempt: p.attempt,
      graceS: overdue ? 0 : stop.graceS,
    };
  }

  answerHeartbeat(
    m: MachineState,
    heartbeat: Heartbeat,
    now: number,
    mayStart: boolean,
  ): Command[] {
    const out: Command[] = [];
    /** what nothing hangs on: a completed task is never started again */
    const completed: Command[] = [];
    for (const t of heartbeat.tasks) {
      const { uid, index, attempt } = t;
      const job = this.state.jobs.get(uid);
      if (t.state === 'exited') {
        // A completion is forgotten by its worker only once it is saved.
        const unsaved = t.why === 'done' && job !== undefined && job.unsavedTasks.has(index);
        const again = m.unsettledDirectStarts.has(`${uid}/${index}@${attempt}`);
        if (!unsaved && !again) {
          (t.why === 'done' ? completed : out).push({ op: 'forget', uid, index, attempt });
        }
        continue;
      }
      const p = m.tasks.get(taskKey(uid, index));
      if (p === undefined || p.attempt !== attempt) {
        out.push({ op: 'stop', uid, index, attempt, graceS: 0 });
      } else if (p.stop !== null) out.push(this.#stopCommand(p, now));
    }
    for (const p of m.tasks.values()) {
      if (p.observed) continue;
      const start: Command = {
        op: 'start',
        uid: p.job.spec.uid,
        index: p.index,
        attempt: p.attempt,
      };
      if (mayStart && this.#startable(p, m)) {
        p.startSentCounter = heartbeat.counter;
        out.push(start);
      } else if (mayStart && p.directStartUnsettled && p.stop !== null) {
        // A direct start that may yet arrive must find its attempt known and ended.
        out.push(start, { ...this.#stopCommand(p, now), graceS: 0 } as Command);
      }
    }
    return this.#forgetsDue(m, completed, out.length > 0, now) ? [...out, ...completed] : out;
  }

  /**
   * A worker reports again whenever its list has changed, so being told to forget costs a report of its
   * own: a quarter of all of them at the fleet's size. Told along with other orders it costs none.
   */
  #forgetsDue(m: MachineState, tasks: readonly Command[], along: boolean, now: number): boolean {
    m.forgettableSince = tasks.length === 0 ? null : (m.forgettableSince ?? now);
    if (m.forgettableSince === null) return false;
    // A machine that is to move has to be empty in its worker's eyes, too.
    const soon = along || m.cordoned || tasks.length >= FORGET_BATCH_LIMIT;
    const due = soon || now - m.forgettableSince >= FORGET_DELAY_MAX_MS;
    if (due) m.forgettableSince = null;
    return due;
  }

  #startable(p: Placement, m: MachineState): boolean {
    const open = !m.terminating && !m.draining && !m.cordoned && m.preemptionNoticeAt === null;
    return !p.job.ended && p.stop === null && open;
  }

  /** Starts and stops that should not wait for the next report, by machine, of `most` machines. */
  directCommands(
    now: number,
    most: number,
    mayStart: boolean,
  ): { machine: MachineState; commands: Command[]; starts: Placement[] }[] {
    const out: { machine: MachineState; commands: Command[]; starts: Placement[] }[] = [];
    for (const m of this.state.machines.values()) {
      if (out.length >= most) break;
      if (m.address === null || !this.state.health.isFresh(m, now)) continue;
      const commands: Command[] = [];
      const starts: Placement[] = [];
      for (const p of m.tasks.values()) {
        if (p.stop !== null && !p.stop.sentDirect) {
          p.stop.sentDirect = true;
          commands.push(this.#stopCommand(p, now));
        } else if (mayStart && isUndispatched(p) && this.#startable(p, m)) {
          p.directStartUnsettled = true;
          starts.push(p);
          m.unsettledDirectStarts.add(attemptKey(p));
          const { index, attempt } = p;
          commands.push({ op: 'start', uid: p.job.spec.uid, index, attempt });
        }
      }
      if (commands.length > 0) out.push({ machine: m, commands, starts });
    }
    return out;
  }

  /** The outcome of direct starts is known: they were carried out, or never will be. */
  directStartsSettled(starts: readonly Placement[], executed: boolean): void {
    for (const p of starts) {
      p.machine.unsettledDirectStarts.delete(attemptKey(p));
      if (!executed) p.directStartUnsettled = false;
    }
  }
}
