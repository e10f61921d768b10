import { Args, Command, Flags } from '@oclif/core';
import type { Figure } from '../capacity/figure.js';
import { Fits } from '../capacity/fits.js';
import { Plots } from '../capacity/plots.js';
import { Runs } from '../capacity/runs.js';
import { SheetFile } from '../capacity/sheetfile.js';

/** sim capacity */
export class CapacityCommand extends Command {
  static override description = 'What each role costs at growing sizes: a table as CSV and JSON.';
  static override args = {
    what: Args.string({ description: [...Object.keys(Runs), 'fits', 'plot'].join(', '), required: true }),
  };
  static override flags = {
    seed: Flags.integer({ default: 1, min: 0, description: 'the same seed gives the same counts' }),
    most: Flags.integer({ default: 1_000_000, min: 1, description: 'no size above this' }),
    least: Flags.integer({ default: 1, min: 1, description: 'no size below this' }),
    dir: Flags.string({ default: 'docs/capacity', description: 'where the tables go' }),
    img: Flags.string({ default: 'docs/img', description: 'where plots go' }),
    as: Flags.string({ description: "the tables' name, if not the run's" }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(CapacityCommand);
    if (args.what === 'fits')
      return this.log([Fits.head, ...(await Fits.rows(flags.dir, Fits.wanted)).map(Fits.line)].join('\n'));
    if (args.what === 'plot') return this.log((await Plots.draw(flags.dir, flags.img, Plots.charts)).join('\n'));
    const run = Object.hasOwn(Runs, args.what) ? Runs[args.what]! : null;
    if (!run) {
      process.stderr.write(`valid: ${Object.keys(Runs).join(', ')}, fits, plot\n`);
      return this.exit(2);
    }
    const all: Figure[] = [];
    for (const n of run.sizes.filter((x) => x >= flags.least && x <= flags.most)) {
      const from = performance.now(),
        cpu = process.cpuUsage();
      all.push(...(await run.job(n, flags.seed)));
      const { user, system } = process.cpuUsage(cpu);
      this.log(
        `${args.what} ${n}: ${Math.round(performance.now() - from)} ms, ` +
          `${Math.round((user + system) / 1000)} ms of processor, ${Math.round(process.memoryUsage().rss / 1e6)} MB`,
      );
      await SheetFile.write(flags.dir, flags.as ?? args.what, all);
    }
  }
}
