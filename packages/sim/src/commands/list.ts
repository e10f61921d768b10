import { Command } from '@oclif/core';
import { Drills } from '../drills.js';

/** sim list */
export class ListCommand extends Command {
  static override description = 'List the drills.';

  async run(): Promise<void> {
    await this.parse(ListCommand);
    for (const d of Drills.values()) this.log(`${d.name.padEnd(10)} ${d.about}`);
  }
}
