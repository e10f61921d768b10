import { Command } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { LoanStory } from '../lending/loanstory.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';

/** clerk loans */
export class LoansCommand extends Command {
  static override description = 'Which servers are lent: to whom, for which burst, how much, since when, and by whom.';
  static override flags = Common;

  async run(): Promise<void> {
    const { flags } = await this.parse(LoansCommand);
    const body = await Where.ask(flags, (at) => Desk.ask(at, 'GET', '/loans'), null);
    this.exit(
      Printer.show(body, flags.json, (b) => LoanStory.table(b['loans'] as Parameters<typeof LoanStory.table>[0])),
    );
  }
}
