import { Args, Command, Flags } from '@oclif/core';
import type { Figure } from '../capacity/figure.js';
import { Runs } from '../capacity/runs.js';
import { SheetFile } from '../capacity/sheetfile.js';

/** sim capacity */
export class CapacityCommand extends Command {
  static override description = 'What each role costs at growing sizes: a table as CSV and JSON.';
  static override args = { what: Args.string({ description: Object.keys(Runs).join(', '), required: true }) };
  static override flags = {
    seed: Flags.integer({ default: 1, min: 0, description: 'the same seed gives the same counts' }),
    most: Flags.integer({ default: 1_000_000, min: 1, description: 'no size above this' }),
    least: Flags.integer({ default: 1, min: 1, description: 'no size below this' }),
    dir: Flags.string({ default: 'docs/capacity', description: 'where the tables go' }),
    as: Flags.string({ description: "the tables' name, if not the run's" }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(CapacityCommand);
    const run = Object.hasOwn(Runs, args.what) ? Runs[args.what]! : null;
    if (!run) {
      process.stderr.write(`valid: ${Object.keys(Runs).join(', ')}\n`);
      return this.exit(2);
    }
    const all: Figure[] = [];
    for (const n of run.sizes.filter((x) => x >= flags.least && x <= flags.most)) {
      const from = performance.now(),
        cpu = process.cpuUsage();
      all.push(...(await run.job(n).run(flags.seed)));
      const { user, system } = process.cpuUsage(cpu);
      this.log(
        `${args.what} ${n}: ${Math.round(performance.now() - from)} ms, ` +
          `${Math.round((user + system) / 1000)} ms of processor, ${Math.round(process.memoryUsage().rss / 1e6)} MB`,
      );
      await SheetFile.write(flags.dir, flags.as ?? args.what, all);
    }
  }
}
