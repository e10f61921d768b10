import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';

/** clerk drop */
export class DropCommand extends Command {
  static override description = 'Give up a stored plan. It will never take hold.';
  static override args = { plan: Args.string({ description: 'the plan, as clerk plan named it', required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(DropCommand);
    const r = await Desk.ask(flags.at, 'POST', '/drop', { plan: args.plan });
    this.exit(Printer.show(r.body, flags.json, (b) => [(b['verdict'] as { why: string }).why]));
  }
}
