import { BurstBeginCommand } from './burstbegin.js';
import { BurstEndCommand } from './burstend.js';
import { BurstsCommand } from './bursts.js';
import { BurstWatchCommand } from './burstwatch.js';
import { ConfirmCommand } from './confirm.js';
import { DropCommand } from './drop.js';
import { LoanCommand } from './loan.js';
import { LoansCommand } from './loans.js';
import { PlanCommand } from './plan.js';
import { ReadCommand } from './read.js';
import { FleetCommands } from '../fleet/commands/index.js';
import { StatusCommand } from './status.js';
import { TraceCommand } from './trace.js';
import { CounterRequestCommand } from './counterrequest.js';

/** The commands of clerk by name. */
export const COMMANDS = {
  plan: PlanCommand,
  confirm: ConfirmCommand,
  drop: DropCommand,
  read: ReadCommand,
  status: StatusCommand,
  trace: TraceCommand,
  visit: CounterRequestCommand,
  ...FleetCommands,
  bursts: BurstsCommand,
  'burst:begin': BurstBeginCommand,
  'burst:watch': BurstWatchCommand,
  'burst:end': BurstEndCommand,
  loans: LoansCommand,
  loan: LoanCommand,
};
