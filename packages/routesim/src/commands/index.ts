import { RunCommand } from './run.js';

/** routesim's commands, by name. */
export const COMMANDS = {
  run: RunCommand,
};
