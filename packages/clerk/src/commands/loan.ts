import { Args, Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { LoanStory } from '../lending/loanstory.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';

/** clerk loan */
export class LoanCommand extends Command {
  static override description = "The story of one server's loans, as one daemon heard it.";
  static override args = { server: Args.string({ description: 'the server', required: true }) };
  static override flags = Common;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(LoanCommand);
    const body = await Where.ask(flags, (at) => Desk.ask(at, 'GET', `/loan/${encodeURIComponent(args.server)}`), null);
    this.exit(
      Printer.show(body, flags.json, (b) => LoanStory.lines(b as unknown as Parameters<typeof LoanStory.lines>[0])),
    );
  }
}
