import { Args, Command, Flags } from '@oclif/core';
import { Crew } from '../crew.js';
import { Day } from '../day.js';
import { DiskPoints } from '../diskpoints.js';
import { Alone } from '../drills/alone.js';
import { Drills } from '../drills.js';
import { Explore } from '../explore.js';
import { Guards } from '../guards.js';
import { BootstrapSearches } from '../modelcheck/bootstrapsearches.js';
import { ModelSearches } from '../modelcheck/modelsearches.js';
import { LentWork } from '../lending/lentwork.js';
import type { Job } from '../job.js';
import { Seeds } from '../seeds.js';

type Fleet = Job['fleet'];
const SETS = ['all', 'day', 'core', 'explore', 'points', 'lending', 'model'];
const FLEETS = ['coop', 'registry', 'both'];

/** sim run */
export class RunCommand extends Command {
  static override description =
    'Run a drill, all drills, whole days, or the core alone, over seeds, and judge. Exits 1 if a never is broken.';
  static override examples = [
    '<%= config.bin %> run wipe --seeds 1-20',
    '<%= config.bin %> run day --fleet registry',
    '<%= config.bin %> run all',
    '<%= config.bin %> run explore --faults 14 --seeds 1-200',
    '<%= config.bin %> run duty --without quiet',
  ];
  static override args = {
    drill: Args.string({
      description: "a drill's name, `all`, `day`, `core`, `explore`, `points`, `lending` or `model`",
      required: true,
    }),
  };
  static override flags = {
    fleet: Flags.string({ default: 'coop', description: 'coop, registry or both' }),
    seeds: Flags.string({ default: '1-5', description: '7, 1-20 or 3,5,8' }),
    faults: Flags.string({ default: '6', description: 'faults a day, or acts of an explored schedule' }),
    without: Flags.string({ description: "take one guard out of the daemons' code, to see what breaks" }),
    json: Flags.boolean({ description: 'print JSON' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(RunCommand);
    const wrong: string[] = [];
    const seeds = Seeds.read(flags.seeds);
    const faults = /^\d{1,3}$/.test(flags.faults) ? Number(flags.faults) : 0;
    const guard = Guards.find((g) => g.name === flags.without) ?? null;
    const names = [...SETS, ...Drills.keys(), ...Alone.map((d) => d.name), ...LentWork.names];
    if (!names.includes(args.drill)) {
      wrong.push(`unknown drill ${args.drill}; valid: ${SETS.join(', ')}, and those that \`sim list\` names`);
    }
    if (!seeds) wrong.push(`bad seeds ${flags.seeds}; valid: 7, 1-20, 3,5,8`);
    if (!FLEETS.includes(flags.fleet)) wrong.push(`unknown fleet ${flags.fleet}; valid: ${FLEETS.join(', ')}`);
    if (faults < 1) wrong.push(`impossible number of faults ${flags.faults}; valid: 1 to 999`);
    if (flags.without !== undefined && !guard)
      wrong.push(`unknown guard ${flags.without}; valid: ${Guards.map((g) => g.name).join(', ')}`);
    if (wrong.length > 0 || !seeds) {
      for (const w of wrong) process.stderr.write(`${w}\n`);
      return this.exit(2);
    }
    const jobs = RunCommand.jobs(
      args.drill,
      flags.fleet === 'both' ? ['coop', 'registry'] : [flags.fleet as Fleet],
      seeds,
      faults,
    );
    const bad: string[] = [];
    const tick = (j: Job, n: number): void => {
      if (n > 0) bad.push(`${j.fleet} ${j.drill} seed ${j.seed}: ${n}`);
    };
    const { report, unfinished, core, points, unmet } = await Crew.report(jobs, tick, guard);
    if (flags.json)
      this.log(JSON.stringify({ runs: jobs.length, rows: report.rows(), core, points, unfinished, unmet }, null, 2));
    else {
      this.log(`${jobs.length} runs${points > 0 ? `, ${points} points or acts` : ''}`);
      if (points === 0) for (const l of report.lines()) this.log(l);
      for (const c of core) this.log([`${c.job.drill} seed ${c.job.seed}`, ...c.why.slice(0, 8)].join('\n    '));
      const first = core.find((c) => c.job.drill === 'explore');
      if (first && !guard) {
        this.log('The fewest acts that still break it:');
        for (const a of await Explore.shorten(first.job.seed, Explore.acts(first.job.seed, faults)))
          this.log(`    ${JSON.stringify(a)}`);
      }
      for (const b of bad.sort()) this.log(`broken in ${b}`);
      for (const u of unmet)
        this.log(`${u.job.fleet} ${u.job.drill} seed ${u.job.seed} did not bring about: ${u.what.join(', ')}`);
      for (const u of unfinished) this.log(`did not end: ${u.fleet} ${u.drill} seed ${u.seed}`);
    }
    if (report.broken() || unfinished.length + core.length + (guard ? 0 : unmet.length) > 0) this.exit(1);
  }

  /** The jobs that a name stands for. */
  static jobs(drill: string, fleets: readonly Fleet[], seeds: readonly number[], faults: number): Job[] {
    const all = (names: readonly string[], fleet: Fleet): Job[] =>
      names.flatMap((n) => seeds.map((seed) => ({ fleet, drill: n, faults, seed })));
    if (drill === 'explore') return all(['explore'], 'coop');
    if (drill === 'core')
      return all(
        Alone.map((d) => d.name),
        'coop',
      );
    if (Alone.some((d) => d.name === drill)) return all([drill], 'coop');
    if (drill === 'points') return all(DiskPoints.names, 'coop');
    if (drill === 'model')
      return [...Object.keys(ModelSearches), ...Object.keys(BootstrapSearches)].map((n) => ({
        fleet: 'coop',
        drill: `model ${n}`,
        faults: 1,
        seed: 1,
      }));
    if (drill === 'lending') return fleets.flatMap((fleet) => all(LentWork.names, fleet));
    return fleets.flatMap((fleet) => all(drill === 'all' ? Day.names(fleet) : [drill], fleet));
  }
}
