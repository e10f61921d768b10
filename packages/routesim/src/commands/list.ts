import { Command } from '@oclif/core';
import { Drills } from '../drills.js';

/** routesim list */
export class ListCommand extends Command {
  static override description = 'List the drills.';

  async run(): Promise<void> {
    await this.parse(ListCommand);
    const width = Math.max(...[...Drills.keys()].map((name) => name.length));
    for (const { name, about } of Drills.values()) this.log(`${name.padEnd(width)}  ${about}`);
  }
}
