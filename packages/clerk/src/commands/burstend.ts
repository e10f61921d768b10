import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';

/** clerk burst end */
export class BurstEndCommand extends Command {
  static override description =
    'End a burst: what waits is dropped, what was begun runs on. Of one that is over, forget the outcomes.';
  static override args = { key: Args.string({ description: "the burst's key", required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(BurstEndCommand);
    const body = await Where.ask(
      flags,
      (at) => Desk.ask(at, 'POST', `/burst/${encodeURIComponent(args.key)}/end`, {}),
      null,
    );
    this.exit(Printer.show(body, flags.json, (b) => [(b['verdict'] as { why: string }).why]));
  }
}
