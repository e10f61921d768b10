import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { LoanStory } from '../lending/loanstory.js';
import { Printer } from '../printer.js';

/** clerk loan */
export class LoanCommand extends Command {
  static override description = "The story of one server's loans, as one daemon heard it.";
  static override args = { server: Args.string({ description: 'the server', required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(LoanCommand);
    const r = await Desk.ask(flags.at, 'GET', `/loan/${encodeURIComponent(args.server)}`);
    this.exit(
      Printer.show(r.body, flags.json, (b) => LoanStory.lines(b as unknown as Parameters<typeof LoanStory.lines>[0])),
    );
  }
}
