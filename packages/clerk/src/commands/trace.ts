import { Args, Command, Flags } from '@oclif/core';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';
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
    name: Args.string({
      description:
        'charter, mix, row:SERVER or sight:SERVER; of routers and control replicas configuration, list, or the same',
    }),
  };
  static override flags = {
    ...Common,
    version: Flags.integer({ description: 'the version (for a row: the fence); the newest if left out', min: 1 }),
    step: Flags.integer({ description: 'of routers and control replicas: the step under that fence', min: 0 }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(TraceCommand);
    const tail = flags.version === undefined ? '' : `?version=${flags.version}`;
    const name = args.name ?? 'charter';
    const body = await Where.ask(
      flags,
      (at) => Desk.ask(at, 'GET', `/trace/${encodeURIComponent(name)}${tail}`),
      (f) => f.trace(args.name ?? 'configuration', flags.version ?? null, flags.step ?? null),
    );
    this.exit(Printer.show(body, flags.json, (b) => Story.lines(b as Parameters<typeof Story.lines>[0])));
  }
}
