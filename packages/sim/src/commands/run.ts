import { Args, Command, Flags } from '@oclif/core';
import { Crew } from '../crew.js';
import { Day } from '../day.js';
import { Drills } from '../drills.js';
import type { Job } from '../job.js';
import { Seeds } from '../seeds.js';

/** sim run */
export class RunCommand extends Command {
  static override description = 'Run a drill, all drills, or whole days, over seeds, and judge the nevers. Exits 1 if one is broken.';
  static override examples = ['<%= config.bin %> run wipe --seeds 1-20', '<%= config.bin %> run day --fleet registry', '<%= config.bin %> run all'];
  static override args = { drill: Args.string({ description: 'a drill\'s name, `all` or `day`', required: true }) };
  static override flags = {
    fleet: Flags.string({ default: 'coop', description: 'coop, registry or both' }),
    seeds: Flags.string({ default: '1-5', description: '7, 1-20 or 3,5,8' }),
    faults: Flags.string({ default: '6', description: 'faults a day' }),
    json: Flags.boolean({ description: 'print JSON' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RunCommand);
    const wrong: string[] = [];
    const seeds = Seeds.read(flags.seeds);
    const faults = /^\d{1,3}$/.test(flags.faults) ? Number(flags.faults) : 0;
    if (!['all', 'day'].includes(args.drill) && !Drills.has(args.drill)) wrong.push(`unknown drill ${args.drill}; valid: all, day, ${[...Drills.keys()].join(', ')}`);
    if (!seeds) wrong.push(`bad seeds ${flags.seeds}; valid: 7, 1-20, 3,5,8`);
    if (!['coop', 'registry', 'both'].includes(flags.fleet)) wrong.push(`unknown fleet ${flags.fleet}; valid: coop, registry, both`);
    if (faults < 1) wrong.push(`impossible number of faults ${flags.faults}; valid: 1 to 999`);
    if (wrong.length > 0 || !seeds) {
      for (const w of wrong) process.stderr.write(`${w}\n`);
      return this.exit(2);
    }
    const fleets = flags.fleet === 'both' ? ['coop', 'registry'] as const : [flags.fleet as 'coop' | 'registry'];
    const jobs: Job[] = fleets.flatMap((fleet) => {
      const names = args.drill === 'all' ? Day.names(fleet) : [args.drill];
      return names.flatMap((drill) => seeds.map((seed) => ({ fleet, drill, faults, seed })));
    });
    const bad: string[] = [];
    const { report, unfinished } = await Crew.report(jobs, (j, n) => { if (n > 0) bad.push(`${j.fleet} ${j.drill} seed ${j.seed}: ${n}`); });
    if (flags.json) this.log(JSON.stringify({ runs: jobs.length, rows: report.rows(), unfinished }, null, 2));
    else {
      this.log(`${jobs.length} runs`);
      for (const l of report.lines()) this.log(l);
      for (const b of bad.sort()) this.log(`broken in ${b}`);
      for (const u of unfinished) this.log(`did not end: ${u.fleet} ${u.drill} seed ${u.seed}`);
    }
    if (report.broken() || unfinished.length > 0) this.exit(1);
  }
}
