import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../common.js';
import { OperatorClient } from '../desk.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../where.js';

/** clerk burst end */
export class BurstEndCommand extends Command {
  static override description =
    'End a burst: what waits is dropped, what was begun runs on. Of one that is over, forget the outcomes.';
  static override args = { key: Args.string({ description: "the burst's key", required: true }) };
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
