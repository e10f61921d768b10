import { Command } from '@oclif/core';
import { BurstStory } from '../lending/burststory.js';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';
import { Where } from '../where.js';

/** clerk bursts */
export class BurstsCommand extends Command {
  static override description = 'The bursts that the core keeps, in the order of their beginning.';
  static override flags = Common;

  async run(): Promise<void> {
    const { flags } = await this.parse(BurstsCommand);
    const body = await Where.ask(flags, (at) => Desk.ask(at, 'GET', '/bursts'), null);
    this.exit(
      Printer.show(body, flags.json, (b) => {
        const list = b['bursts'] as Parameters<typeof BurstStory.lines>[0][];
        return list.length === 0 ? ['The core keeps no burst.'] : list.flatMap((s) => BurstStory.lines(s));
      }),
    );
  }
}
