import { CapacityCommand } from './capacity.js';
import { ListCommand } from './list.js';
import { RunCommand } from './run.js';

/** routesim's commands, by name. */
export const COMMANDS = {
  capacity: CapacityCommand,
  list: ListCommand,
  run: RunCommand,
};
