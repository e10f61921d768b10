import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk confirm`. */
export class ConfirmCommand extends Command {
  static override description = 'Put a stored plan in force. Repeating it has no effect.';
  static override args = {
    plan: Args.string({ description: 'name of the plan, as printed by clerk plan', required: true }),
  };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ConfirmCommand);
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'POST', '/confirm', { plan: args.plan }),
      (f) => f.settle('confirm', args.plan),
    );
    this.exit(Printer.print(body, flags.json, (b) => [(b['verdict'] as { why: string }).why]));
  }
}
