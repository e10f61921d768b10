import { Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { LoanStory } from '../lending/loanstory.js';
import { Printer } from '../printer.js';

/** clerk loans */
export class LoansCommand extends Command {
  static override description = 'Which servers are lent: to whom, for which burst, how much, since when, and by whom.';
  static override flags = Common;

  async run(): Promise<void> {
    const { flags } = await this.parse(LoansCommand);
    const r = await Desk.ask(flags.at, 'GET', '/loans');
    this.exit(
      Printer.show(r.body, flags.json, (b) => LoanStory.table(b['loans'] as Parameters<typeof LoanStory.table>[0])),
    );
  }
}
