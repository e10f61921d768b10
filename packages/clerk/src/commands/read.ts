import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';

/** clerk read */
export class ReadCommand extends Command {
  static override description = 'Read back the charter in force, or the fate of a plan.';
  static override args = { plan: Args.string({ description: 'a plan; the charter in force if left out' }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ReadCommand);
    const path = args.plan === undefined ? '/charter' : `/plan/${encodeURIComponent(args.plan)}`;
    const r = await Desk.ask(flags.at, 'GET', path);
    this.exit(
      Printer.show(r.body, flags.json, (b) =>
        args.plan === undefined
          ? [JSON.stringify(b['charter'], null, 2), `Version ${String(b['version'])}, from plan ${String(b['plan'])}.`]
          : [(b['verdict'] as { why: string }).why],
      ),
    );
  }
}
