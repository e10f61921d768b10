import { Args, Command, Flags } from '@oclif/core';
import { Seeds } from '@pumicebarrow/sim';
import { Day } from '../day.js';
import { Drills } from '../drills.js';
import { Play } from '../play.js';
import { Sizes } from '../sizes.js';

/** routesim run */
export class RunCommand extends Command {
  static override description =
    'Run a drill, all of them, or mixed days of a routed fleet. Exits 1 if a rule is broken.';
  static override examples = [
    '<%= config.bin %> run leader_kill --seeds 1-20',
    '<%= config.bin %> run all --size five',
  ];
  static override args = {
    drill: Args.string({ description: "a drill's name, `all`, or `day`", required: true }),
  };
  static override flags = {
    size: Flags.string({ default: 'small', options: [...Object.keys(Sizes), 'both'], description: 'the fleet' }),
    seeds: Flags.string({ default: '1-5', description: '7, 1-20 or 3,5,8' }),
    quiet: Flags.boolean({ description: 'only what is broken' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RunCommand);
    const seeds = Seeds.read(flags.seeds);
    const names = [...Drills.keys()];
    const known = args.drill === 'all' || args.drill === 'day' || Drills.has(args.drill);
    if (!known)
      process.stderr.write(`unknown drill ${args.drill}; valid: all, day, and those that \`routesim list\` names\n`);
    if (!seeds) process.stderr.write(`bad seeds ${flags.seeds}; valid: 7, 1-20, 3,5,8\n`);
    if (!known || !seeds) return this.exit(2);
    const sizes = flags.size === 'both' ? Object.values(Sizes) : [Sizes[flags.size as keyof typeof Sizes]];
    let broken = 0;
    for (const size of sizes)
      for (const name of args.drill === 'all' ? names : [args.drill])
        for (const seed of seeds) {
          const got = await Play.run(name === 'day' ? Day.of(seed) : Drills.get(name)!, size, seed);
          if (got.faults.length > 0) broken++;
          if (got.faults.length > 0 || !flags.quiet)
            this.log(
              `${size.name} ${name} seed ${seed}: ${Math.round(got.served * 1000) / 10}% of ${got.wishes} served`,
            );
          for (const x of got.faults) this.log(`    ${x}`);
        }
    this.log(`${broken} broken`);
    if (broken > 0) this.exit(1);
  }
}
