import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';

/** clerk burst end */
export class BurstEndCommand extends Command {
  static override description =
    'End a burst: what waits is dropped, what was begun runs on. Of one that is over, forget the outcomes.';
  static override args = { key: Args.string({ description: "the burst's key", required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BurstEndCommand);
    const r = await Desk.ask(flags.at, 'POST', `/burst/${encodeURIComponent(args.key)}/end`, {});
    this.exit(Printer.show(r.body, flags.json, (b) => [(b['verdict'] as { why: string }).why]));
  }
}
