import { ListCommand } from './list.js';
import { RunCommand } from './run.js';
import { SpreadCommand } from './spread.js';

/** sim's commands, by name. */
export const COMMANDS = { run: RunCommand, list: ListCommand, spread: SpreadCommand };
