/** The commands of one message to a worker, as many as the protocol's size limit of a message allows. */
import type { Command, ReportedTask } from '../model.js';
import { MAX_COMMANDS_PER_MESSAGE } from './constants.js';
import type { InertAttempt } from './inert-attempt.js';

/** A command that may be repeated or arrive late without harm. */
type RepeatableCommand = Exclude<Command, { op: 'forget' }>;

/** An exited task that its worker may forget, as `evidence` shows. */
export interface ForgettableTask {
  readonly task: ReportedTask;
  readonly evidence: InertAttempt<'fenced'>;
}

/** Collects commands, in the order in which the worker will execute them, and leaves out those that do not fit. */
export class CommandMessage {
  readonly commands: Command[] = [];

  get isFull(): boolean {
    return this.commands.length >= MAX_COMMANDS_PER_MESSAGE;
  }

  /** Adds as many of the commands as fit, the first ones first. */
  addAll(commands: readonly RepeatableCommand[]): void {
    this.commands.push(...commands.slice(0, MAX_COMMANDS_PER_MESSAGE - this.commands.length));
  }

  /** Adds the command to forget as many of the tasks as fit, the first ones first. */
  addForgets(tasks: readonly ForgettableTask[]): void {
    for (const { task } of tasks.slice(0, MAX_COMMANDS_PER_MESSAGE - this.commands.length)) {
      const { uid, index, attempt } = task;
      this.commands.push({ op: 'forget', uid, index, attempt });
    }
  }

  /** Adds all of the commands, or none if they do not all fit. */
  addTogether(commands: readonly RepeatableCommand[]): void {
    if (this.commands.length + commands.length <= MAX_COMMANDS_PER_MESSAGE) {
      this.commands.push(...commands);
    }
  }
}
