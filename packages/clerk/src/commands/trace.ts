import { Args, Command, Flags } from '@oclif/core';
import { CommonFlags } from '../commonflags.js';
import { OperatorClient } from '../operatorclient.js';
import { Printer } from '../printer.js';
import { CommandTransport } from '../commandtransport.js';
import { TraceReport } from '../tracereport.js';

/** The command `clerk trace`. */
export class TraceCommand extends Command {
  static override description =
    'Show how one change or gossiped document spread from its origin to every daemon that holds it.';
  static override examples = [
    '<%= config.bin %> trace',
    '<%= config.bin %> trace --version 3',
    '<%= config.bin %> trace row:m1',
  ];
  static override args = {
    name: Args.string({
      description:
        'charter, mix, row:SERVER or sight:SERVER; for routers and control replicas also configuration or list',
    }),
  };
  static override flags = {
    ...CommonFlags,
    version: Flags.integer({ description: 'version (for a row: its fence); default: the newest', min: 1 }),
    step: Flags.integer({ description: 'for routers and control replicas: the step under that fence', min: 0 }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(TraceCommand);
    const query = flags.version === undefined ? '' : `?version=${flags.version}`;
    const name = args.name ?? 'charter';
    const body = await CommandTransport.request(
      flags,
      (at) => OperatorClient.request(at, 'GET', `/trace/${encodeURIComponent(name)}${query}`),
      (f) => f.trace(args.name ?? 'configuration', flags.version ?? null, flags.step ?? null),
    );
    this.exit(
      Printer.print(body, flags.json, (b) =>
        TraceReport.formatLines(b as Parameters<typeof TraceReport.formatLines>[0]),
      ),
    );
  }
}
