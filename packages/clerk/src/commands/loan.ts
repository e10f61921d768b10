import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { LoanReport } from '../lending/loanreport.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk loan`. */
export class LoanCommand extends Command {
  static override description = "Show the history of one server's loans, as known to one daemon.";
  static override args = { server: Args.string({ description: 'id of the server', required: true }) };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(LoanCommand);
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'GET', `/loan/${encodeURIComponent(args.server)}`),
      null,
    );
    this.exit(
      Printer.print(body, flags.json, (b) =>
        LoanReport.formatLines(b as unknown as Parameters<typeof LoanReport.formatLines>[0]),
      ),
    );
  }
}
