import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';
import { CounterRequestTimeline } from '../counterrequesttimeline.js';

/** The command `clerk visit`. */
export class CounterRequestCommand extends Command {
  static override description =
    'Show one request: its admission, its record, the servers it was sent to and its outcome.';
  static override args = { key: Args.string({ description: 'key of the request', required: true }) };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(CounterRequestCommand);
    const path = `/visit/${encodeURIComponent(args.key)}`;
    const body = await CommandTransport.request(flags, (at) => OperatorClient.request(at, 'GET', path), null);
    this.exit(
      Printer.print(body, flags.json, (b) =>
        CounterRequestTimeline.formatLines(b as Parameters<typeof CounterRequestTimeline.formatLines>[0]),
      ),
    );
  }
}
