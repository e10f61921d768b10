import { Args, Command, Flags } from '@oclif/core';
import { Crew } from '../crew.js';
import { Day } from '../day.js';
import { Deployments } from '../deployments.js';
import { Drills } from '../drills.js';
import { Figures } from '../figures.js';
import { History } from '../history.js';
import { LentMeasure } from '../lending/lentmeasure.js';
import { LentReport } from '../lending/lentreport.js';
import { Measure } from '../measure.js';
import { Seeds } from '../seeds.js';

type Rows = ReturnType<typeof Measure.callers>;

/** sim measure */
export class MeasureCommand extends Command {
  static override description =
    'Figures of a drill, of an idle fleet, of casting against a fixed cast; or `all`: every drill in one table.';
  static override args = {
    what: Args.string({ description: 'all, cast, idle, detect, lending, or a drill', required: true }),
  };
  static override flags = {
    fleet: Flags.option({ options: ['coop', 'registry'] as const, default: 'coop' as const })({
      description: 'which deployment',
    }),
    svg: Flags.string({ description: "with lending: a file for the first seed's day as SVG" }),
    seeds: Flags.string({ default: '1-3', description: '7, 1-20 or 3,5,8' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(MeasureCommand);
    const seeds = Seeds.read(flags.seeds);
    if (!seeds || !(['all', 'cast', 'idle', 'detect', 'lending'].includes(args.what) || Drills.has(args.what))) {
      process.stderr.write(
        `valid: all, cast, idle, detect, lending, ${[...Drills.keys()].join(', ')}; seeds 7, 1-20, 3,5,8\n`,
      );
      return this.exit(2);
    }
    if (args.what === 'all') return this.table(seeds);
    if (args.what === 'lending') {
      const days = [];
      for (const seed of seeds) days.push(await LentMeasure.days(flags.fleet, seed));
      this.log(`${flags.fleet} lending, seeds ${seeds.join(', ')}`);
      for (const l of LentMeasure.lines(flags.fleet, days)) this.log(l);
      if (flags.svg) await LentReport.draw(flags.svg, `${flags.fleet}, seed ${seeds[0]}`, days[0]!);
      return;
    }
    const d = Deployments[flags.fleet];
    const rows = (label: string, list: Rows): void => {
      for (const r of list)
        this.log(
          `  ${label.padEnd(9)}${r.rule.padEnd(10)} ${String(r.whole).padStart(5)} of ` +
            `${String(r.requests).padStart(5)} whole; ` +
            `first piece median ${r.median}, p95 ${r.p95}, worst ${r.worst} ms`,
        );
    };
    for (const seed of seeds) {
      this.log(`${flags.fleet} ${args.what}, seed ${seed}`);
      if (args.what === 'detect') {
        const m = await Measure.detect(d, seed);
        this.log(
          `  a dead head, middle, tail: out of the chain after ${m.chain} ms; a charter confirmed ` +
            `again after ${m.again} ms`,
        );
        this.log(
          `  two dark servers: row dark after ${m.row} ms; ${m.sends} requests sent to them ` +
            `meanwhile, the last after ${m.last} ms; nevers broken ${m.broken}`,
        );
      } else if (args.what === 'cast') {
        const m = await Measure.cast(d, seed);
        rows('follows', m.follows.rows);
        rows('fixed', m.fixed.rows);
        this.log(
          `  swaps ${m.follows.swaps}, mixes ${m.follows.mixes}; nevers broken ${m.follows.broken} ` +
            `and ${m.fixed.broken}`,
        );
      } else {
        const m = await Measure.drill(d, args.what, seed);
        rows('', m.rows);
        this.log(
          `  held by way of ${JSON.stringify(m.via)}; purge ${JSON.stringify(m.purge)}; slowest ` +
            `charter ${m.hold}; nevers broken ${m.broken}`,
        );
        if (args.what === 'idle') this.log(`  in ${m.idle.secs} s: ${m.idle.mails} mails, ${m.idle.repairs} repairs`);
      }
    }
  }

  /** Every drill at both deployments: the median of the seeds, the worst in brackets; first pieces are p95, in ms. */
  async table(seeds: readonly number[]): Promise<void> {
    const jobs = (['coop', 'registry'] as const).flatMap((fleet) =>
      Day.names(fleet).flatMap((drill) => seeds.map((seed) => ({ fleet, drill, seed, faults: 1 }))),
    );
    const rows = new Map<string, ReturnType<typeof Figures.of>[]>();
    for (const j of jobs) rows.set(`${j.fleet} ${j.drill}`, []);
    await Crew.run(jobs, (b) => {
      rows.get(`${b.job.fleet} ${b.job.drill}`)!.push(Figures.of(History.make(b.deeds)));
    });
    this.log(Figures.head);
    for (const [name, list] of rows) this.log(Figures.line(name, list));
  }
}
