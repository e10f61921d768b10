import { Args, Command, Flags } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { Story } from '../story.js';

/** clerk trace */
export class TraceCommand extends Command {
  static override description = 'Follow one change, or one slip, from its origin through every daemon that holds it.';
  static override examples = [
    '<%= config.bin %> trace',
    '<%= config.bin %> trace --version 3',
    '<%= config.bin %> trace row:m1',
  ];
  static override args = {
    name: Args.string({ description: 'charter, mix, row:SERVER or sight:SERVER', default: 'charter' }),
  };
  static override flags = {
    ...Common,
    version: Flags.integer({ description: 'the version (for a row: the fence); the newest if left out', min: 1 }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(TraceCommand);
    const tail = flags.version === undefined ? '' : `?version=${flags.version}`;
    const r = await Desk.ask(flags.at, 'GET', `/trace/${encodeURIComponent(args.name)}${tail}`);
    this.exit(Printer.show(r.body, flags.json, (b) => Story.lines(b as Parameters<typeof Story.lines>[0])));
  }
}
