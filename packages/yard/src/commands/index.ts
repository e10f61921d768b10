import { BackCommand } from './back.js';
import { DayCommand } from './day.js';
import { UpCommand } from './up.js';

/** yard's commands, by name. */
export const COMMANDS = { up: UpCommand, day: DayCommand, back: BackCommand };
