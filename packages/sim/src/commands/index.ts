import { CapacityCommand } from './capacity.js';
import { GuardsCommand } from './guards.js';
import { ListCommand } from './list.js';
import { MeasureCommand } from './measure.js';
import { ModelCommand } from './model.js';
import { RunCommand } from './run.js';
import { SpreadCommand } from './spread.js';

/** sim's commands, by name. */
export const COMMANDS = {
  run: RunCommand,
  list: ListCommand,
  guards: GuardsCommand,
  spread: SpreadCommand,
  measure: MeasureCommand,
  capacity: CapacityCommand,
  model: ModelCommand,
};
