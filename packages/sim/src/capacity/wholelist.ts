import { GossipDefaults } from '@pumicebarrow/purge';
import { Spread } from '../spread.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';
import { Props } from './props.js';
import { Tally } from './tally.js';

/** The platform's list as one doc of purge. */
export const WholeList = {
  /** What a daemon hears and says of one change, where each change carries the whole list of so many servers. */
  async run(list: number, seed: number): Promise<Figure[]> {
    const tally = Tally.make(),
      nodes = 50,
      docs = 6;
    const r = await Spread.run({
      seed,
      nodes,
      docs,
      gap: 14,
      tunes: GossipDefaults,
      tap: (net) => net.tap(tally.add),
      body: { servers: Props.listed(list) },
    });
    const pull = tally.mean(Array.from({ length: nodes }, (_, i) => `n${i}`)).get('purge.pull');
    // Those that warm the caches carry the list too.
    const made = docs + GossipDefaults.notes;
    const a = { run: 'wholelist', axis: 'servers', at: list };
    return [
      Hollow.figure(a, 'edge', 'a change of the whole list', 'B', pull ? (pull.in + pull.out) / made : NaN),
      Hollow.figure(a, 'edge', 'rounds, worst', 'rounds', Math.max(...r.rounds)),
    ];
  },
};
