import { Command } from '@oclif/core';
import { Alone } from '../drills/alone.js';
import { Drills } from '../drills.js';
import { LentWork } from '../lending/lentwork.js';

/** sim list */
export class ListCommand extends Command {
  static override description = 'List the drills.';

  async run(): Promise<void> {
    await this.parse(ListCommand);
    for (const d of [...Drills.values(), ...Alone]) this.log(`${d.name.padEnd(10)} ${d.about}`);
    for (const name of LentWork.names) this.log(`${name.padEnd(10)} a run of lending`);
  }
}
