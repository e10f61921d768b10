import { Command, Flags } from '@oclif/core';
import { Deployments } from '@pumicebarrow/sim';
import { Drive } from '../drive.js';
import { Plant } from '../plant.js';
import { RealDay } from '../realday.js';

/** yard day */
export class DayCommand extends Command {
  static override description =
    'Real processes under every fault, with links cut, slowed and torn; judged by the nevers.';
  static override flags = {
    fleet: Flags.option({ options: ['coop', 'registry'] as const, default: 'coop' as const })({
      description: 'which deployment',
    }),
    dir: Flags.string({ default: '.yard', description: 'the folder for data and logs; emptied first' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(DayCommand);
    const d = Deployments[flags.fleet];
    const plant = await Plant.make(d, flags.dir, true);
    let bad = 0;
    try {
      const told = await RealDay.run(d, plant, Drive.make(d, plant), (s) => this.log(s));
      for (const r of told.rows) {
        this.log(
          `${r.name.padEnd(9)}${String(r.checked).padStart(7)} checked ` +
            `${String(r.broken.length).padStart(4)} broken  ${r.worst}`,
        );
        for (const b of r.broken.slice(0, 3)) this.log(`    ${b}`);
        bad += r.broken.length;
      }
      this.log(JSON.stringify({ tally: told.tally }));
      for (const what of told.unmet) process.stderr.write(`the trial did not bring about: ${what}\n`);
      process.exitCode = bad + told.unmet.length > 0 ? 1 : 0;
    } finally {
      await plant.stop();
    }
    process.exit();
  }
}
