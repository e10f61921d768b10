import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk burst end`. */
export class BurstEndCommand extends Command {
  static override description =
    'End a burst: waiting generations are dropped, running ones finish. For a finished burst, delete its outcomes.';
  static override args = { key: Args.string({ description: 'key of the burst', required: true }) };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BurstEndCommand);
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'POST', `/burst/${encodeURIComponent(args.key)}/end`, {}),
      null,
    );
    this.exit(Printer.print(body, flags.json, (b) => [(b['verdict'] as { why: string }).why]));
  }
}
