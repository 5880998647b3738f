/** The commands of one message to a worker, as many as the protocol's size limit of a message allows. */
import type { Command } from '../model.js';
import { MAX_COMMANDS_PER_MESSAGE } from './constants.js';

/** Collects commands, in the order in which the worker will execute them, and leaves out those that do not fit. */
export class CommandMessage {
  readonly commands: Command[] = [];

  get isFull(): boolean {
    return this.commands.length >= MAX_COMMANDS_PER_MESSAGE;
  }

  /** Adds as many of the commands as fit, the first ones first. */
  addAll(commands: readonly Command[]): void {
    this.commands.push(...commands.slice(0, MAX_COMMANDS_PER_MESSAGE - this.commands.length));
  }

  /** Adds all of the commands, or none if they do not all fit. */
  addTogether(commands: readonly Command[]): void {
    if (this.commands.length + commands.length <= MAX_COMMANDS_PER_MESSAGE) {
      this.commands.push(...commands);
    }
  }
}
