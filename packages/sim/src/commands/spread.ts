import { Command, Flags } from '@oclif/core';
import { GossipDefaults } from '@pumicebarrow/purge';
import { Seeds } from '../seeds.js';
import { Spread } from '../spread.js';

const median = (l: readonly number[]): number => [...l].sort((a, b) => a - b)[Math.floor(l.length / 2)] ?? NaN;

/** sim spread */
export class SpreadCommand extends Command {
  static override description =
    "The source's spread over 128 daemons: rounds until all hold a notice, the median of the runs.";
  static override flags = {
    seeds: Flags.string({ default: '1-20', description: 'one run a seed' }),
    docs: Flags.integer({ default: 80, min: 1, max: 1000, description: 'notices a run' }),
    gap: Flags.integer({ default: 2, min: 1, max: 100, description: 'rounds between two' }),
    nodes: Flags.integer({ default: 128, min: 4, max: 1000, description: 'daemons beside the origin' }),
    length: Flags.integer({ default: 3, min: 1, max: 5, description: 'notice gossip length' }),
    burst: Flags.integer({ default: 1, min: 1, max: 100, description: 'notices at once' }),
    unlike: Flags.integer({
      default: 3,
      min: 0,
      max: 1000,
      description: 'rounds of unlike digests before ranges are compared; 0 for never',
    }),
    notes: Flags.integer({ default: 5, min: 1, max: 64, description: 'notice cache size' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(SpreadCommand);
    const seeds = Seeds.read(flags.seeds);
    if (!seeds) {
      process.stderr.write(`bad seeds ${flags.seeds}; valid: 7, 1-20, 3,5,8\n`);
      return this.exit(2);
    }
    const meds: number[] = [];
    const worst: number[] = [];
    const via: Record<string, number> = {};
    let mails = 0;
    let reached = 0;
    for (const seed of seeds) {
      const r = await Spread.run({
        seed,
        nodes: flags.nodes,
        docs: flags.docs,
        gap: flags.gap,
        burst: flags.burst,
        tunes: { ...GossipDefaults, notes: flags.notes, noteLength: flags.length, round: 1000, unlike: flags.unlike },
      });
      meds.push(median(r.rounds));
      worst.push(Math.max(...r.rounds));
      reached += r.rounds.length;
      mails += r.mails;
      for (const [k, v] of Object.entries(r.via)) via[k] = (via[k] ?? 0) + v;
    }
    this.log(
      `${seeds.length} runs, ${flags.nodes} daemons, a notice every ${flags.gap} rounds, length ` +
        `${flags.length}, cache ${flags.notes}, ${flags.burst} at once, repair ${flags.unlike === 0 ? 'off' : 'on'}`,
    );
    this.log(
      `rounds until all hold it: median ${median(meds).toFixed(1)}, worst ` +
        `${Math.max(...worst).toFixed(1)}; reached all: ${reached} of ${seeds.length * flags.docs}`,
    );
    this.log(
      `held by way of: ${Object.entries(via)
        .map(([k, v]) => `${k} ${v}`)
        .join(', ')}; mails ${mails}`,
    );
  }
}
