import { Args, Command, Flags } from '@oclif/core';
import { Fits, Plots, SheetFile, type Figure } from '@pumicebarrow/sim';
import { RoutedFits } from '../capacity/routedfits.js';
import { RoutedPlots } from '../capacity/routedplots.js';
import { RoutedRuns } from '../capacity/routedruns.js';

/** routesim capacity */
export class CapacityCommand extends Command {
  static override description = 'What each role of a routed fleet costs at growing sizes: a table as CSV and JSON.';
  static override args = {
    what: Args.string({ description: [...Object.keys(RoutedRuns), 'fits', 'plot'].join(', '), required: true }),
  };
  static override flags = {
    seed: Flags.integer({ default: 1, min: 0, description: 'the same seed gives the same counts' }),
    most: Flags.integer({ default: 1_000_000, min: 1, description: 'no size above this' }),
    least: Flags.integer({ default: 1, min: 1, description: 'no size below this' }),
    dir: Flags.string({ default: 'docs/capacity', description: 'where the tables go' }),
    img: Flags.string({ default: 'docs/img', description: 'where plots go' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(CapacityCommand);
    if (args.what === 'fits') {
      const rows = await Fits.rows(flags.dir, RoutedFits);
      return this.log([Fits.head, ...rows.map(Fits.line)].join('\n'));
    }
    if (args.what === 'plot') return this.log((await Plots.draw(flags.dir, flags.img, RoutedPlots)).join('\n'));
    const run = Object.hasOwn(RoutedRuns, args.what) ? RoutedRuns[args.what]! : null;
    if (!run) {
      process.stderr.write(`valid: ${Object.keys(RoutedRuns).join(', ')}, fits, plot\n`);
      return this.exit(2);
    }
    const all: Figure[] = [];
    for (const n of run.sizes.filter((x) => x >= flags.least && x <= flags.most)) {
      const from = performance.now();
      all.push(...(await run.job(n, flags.seed)));
      const rss = Math.round(process.memoryUsage().rss / 1e6);
      this.log(`${args.what} ${n}: ${Math.round(performance.now() - from)} ms, ${rss} MB`);
      await SheetFile.write(flags.dir, args.what, all);
    }
  }
}
