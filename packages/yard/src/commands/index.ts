import { BackCommand } from './back.js';
import { DayCommand } from './day.js';
import { LendingCommand } from './lending.js';
import { RoutersCommand } from '../routed/commands/routers.js';
import { SoakCommand } from '../routed/commands/soak.js';
import { UpCommand } from './up.js';

/** yard's commands, by name. */
export const COMMANDS = {
  up: UpCommand,
  routers: RoutersCommand,
  soak: SoakCommand,
  day: DayCommand,
  lending: LendingCommand,
  back: BackCommand,
};
