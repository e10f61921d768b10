import { Args, Command, Flags } from '@oclif/core';
import { GuardRun } from '../guardrun.js';
import { Guards } from '../guards.js';

/** sim guards */
export class GuardsCommand extends Command {
  static override description =
    'Take out one guard at a time, and say which run catches it after how many seeds. Exits 1 if one is not caught.';
  static override args = { guard: Args.string({ description: "a guard's name; all if left out" }) };
  static override flags = {
    most: Flags.integer({ default: 8, min: 1, max: 200, description: 'seeds to try at the most' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(GuardsCommand);
    const list = Guards.filter((g) => args.guard === undefined || g.name === args.guard);
    if (list.length === 0) {
      process.stderr.write(`unknown guard ${args.guard ?? ''}; valid: ${Guards.map((g) => g.name).join(', ')}\n`);
      return this.exit(2);
    }
    let missed = 0;
    for (const g of list) {
      for (const r of await GuardRun.run(g, flags.most)) {
        if (r.seeds === null) missed++;
        const told =
          r.seeds === null
            ? `not caught in ${flags.most} seeds`
            : `caught by ${r.by} after ${r.seeds} seed${r.seeds === 1 ? '' : 's'}`;
        this.log(`${g.name.padEnd(11)}${r.fleet.padEnd(10)}${g.drill.padEnd(25)}${told}`);
      }
    }
    if (missed > 0) this.exit(1);
  }
}
