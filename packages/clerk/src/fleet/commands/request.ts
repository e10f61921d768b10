import { Args, Command } from '@oclif/core';
import { CommonFlags } from '../../commonflags.js';
import { Printer } from '../../printer.js';
import { CommandTransport } from '../../commandtransport.js';
import { RequestTimeline } from '../requesttimeline.js';

/** The command `clerk request`. */
export class RequestCommand extends Command {
  static override description =
    'Show one request at its router: placement and its reason, prefill, hand-over, decode run and verdict.';
  static override examples = ['<%= config.bin %> request first-1 --daemon 127.0.0.1:8080'];
  static override args = { id: Args.string({ description: 'id of the request', required: true }) };
  static override flags = CommonFlags;

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RequestCommand);
    const body = await CommandTransport.request(flags, null, (f) => f.request(args.id));
    this.exit(
      Printer.print(body, flags.json, (b) =>
        RequestTimeline.formatLines(b as Parameters<typeof RequestTimeline.formatLines>[0]),
      ),
    );
  }
}
