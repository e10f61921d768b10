import { Command, Flags } from '@oclif/core';
import { LentFleet } from '@pumicebarrow/sim';
import { Drive } from '../drive.js';
import { LentDay } from '../lentday.js';
import { Plant } from '../plant.js';

/** yard lending */
export class LendingCommand extends Command {
  static override description =
    'Real processes: a burst borrows, live load takes its capacity back, the burst is done; each generation judged.';
  static override flags = {
    fleet: Flags.option({ options: ['coop', 'registry'] as const, default: 'coop' as const })({
      description: 'which deployment',
    }),
    dir: Flags.string({ default: '.yard', description: 'the folder for data and logs; emptied first' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(LendingCommand);
    const d = LentFleet.of(flags.fleet);
    const plant = await Plant.make(d, flags.dir);
    try {
      const told = await LentDay.run(d, plant, Drive.make(d, plant), (s) => this.log(s));
      for (const l of told.lines) this.log(l);
      for (const b of told.broken) this.log(`broken: ${b}`);
      for (const what of told.unmet) process.stderr.write(`the trial did not bring about: ${what}\n`);
      if (told.broken.length + told.unmet.length === 0) this.log('Every generation is accounted for, once.');
      process.exitCode = told.broken.length + told.unmet.length > 0 ? 1 : 0;
    } finally {
      await plant.stop();
    }
    process.exit();
  }
}
