import { CapacityCommand } from './capacity.js';
import { RunCommand } from './run.js';

/** routesim's commands, by name. */
export const COMMANDS = {
  capacity: CapacityCommand,
  run: RunCommand,
};
