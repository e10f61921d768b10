import { Command, Flags } from '@oclif/core';
import { Deployments } from '@pumicebarrow/sim';
import { Drive } from '../drive.js';
import { Plant } from '../plant.js';
import { ShortDay } from '../shortday.js';

/** yard day */
export class DayCommand extends Command {
  static override description =
    'Bring up a fleet of processes, serve callers while things are killed, and print what came of it.';
  static override flags = {
    fleet: Flags.option({ options: ['coop', 'registry'] as const, default: 'coop' as const })({
      description: 'which deployment',
    }),
    dir: Flags.string({ default: '.yard', description: 'the folder for data and logs; emptied first' }),
    json: Flags.boolean({ description: 'print JSON' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(DayCommand);
    const d = Deployments[flags.fleet];
    const plant = await Plant.make(d, flags.dir);
    try {
      const told = await ShortDay.run(d, plant, Drive.make(d, plant), (s) => {
        if (!flags.json) this.log(s);
      });
      this.log(flags.json ? JSON.stringify(told, null, 2) : '');
      if (told.broken.length > 0) {
        for (const b of told.broken) process.stderr.write(`broken: ${b}\n`);
        process.exitCode = 1;
      }
    } finally {
      await plant.stop();
    }
    process.exit();
  }
}
