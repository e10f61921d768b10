import { Command } from '@oclif/core';
import { BurstReport } from '../lending/burstreport.js';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';

/** The command `clerk bursts`. */
export class BurstsCommand extends Command {
  static override description = 'List the bursts stored by the core, in the order in which they began.';
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { flags } = await this.parse(BurstsCommand);
    const body = await CommandTransport.request(flags, (at) => OperatorClient.request(at, 'GET', '/bursts'), null);
    this.exit(
      Printer.print(body, flags.json, (b) => {
        const list = b['bursts'] as Parameters<typeof BurstReport.formatLines>[0][];
        return list.length === 0 ? ['The core has no bursts.'] : list.flatMap((s) => BurstReport.formatLines(s));
      }),
    );
  }
}
