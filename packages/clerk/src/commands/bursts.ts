import { Command } from '@oclif/core';
import { BurstStory } from '../lending/burststory.js';
import { Common } from '../common.js';
import { Desk } from '../desk.js';
import { Printer } from '../printer.js';

/** clerk bursts */
export class BurstsCommand extends Command {
  static override description = 'The bursts that the core keeps, in the order of their beginning.';
  static override flags = Common;

  async run(): Promise<void> {
    const { flags } = await this.parse(BurstsCommand);
    const r = await Desk.ask(flags.at, 'GET', '/bursts');
    this.exit(
      Printer.show(r.body, flags.json, (b) => {
        const list = b['bursts'] as Parameters<typeof BurstStory.lines>[0][];
        return list.length === 0 ? ['The core keeps no burst.'] : list.flatMap((s) => BurstStory.lines(s));
      }),
    );
  }
}
