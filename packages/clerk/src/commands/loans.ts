import { Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { LoanReport } from '../lending/loanreport.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk loans`. */
export class LoansCommand extends Command {
  static override description = 'List the lent servers: borrower, burst, slots, start of the loan and lender.';
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { flags } = await this.parse(LoansCommand);
    const body = await CommandTransport.request(flags, (at) => OperatorClient.request(at, 'GET', '/loans'), null);
    this.exit(
      Printer.print(body, flags.json, (b) =>
        LoanReport.formatTable(b['loans'] as Parameters<typeof LoanReport.formatTable>[0]),
      ),
    );
  }
}
