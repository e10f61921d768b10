import { Dice } from '@pumicebarrow/forms';
import { Design } from './design.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';
import { Props } from './props.js';

/** Visits under way at one daemon at the design size: its part of all, for the time that a stream of 486 pieces takes. */
const HELD = Math.round((Design.visits / Design.daemons) * (0.57 + 486 * 0.072));
const rule = Props.charter(1).rules[2]!;

/** Where visits go when many daemons choose, each knowing its own only: links within a site, and how even it comes out. */
export const Handover = {
  async run(servers: number, seed: number): Promise<Figure[]> {
    const daemons = Math.round((servers * Design.daemons) / Design.servers),
      roster = Props.idents(daemons),
      chance = Dice.seeded(seed);
    const reads = new Map<string, number>(),
      writes = new Map<string, number>();
    const { select, loads, list } = await Props.select(servers, roster);
    let all = 0,
      near = 0,
      own = 0,
      none = 0;
    const nobody = new Set<string>();
    for (const me of roster) {
      const ends: (() => void)[] = [];
      for (let i = 0; i < HELD; i++) {
        const from = select.prefill(rule, `p${Dice.int(chance, 1e6)}`, nobody),
          to = from && select.decode(rule, from, nobody);
        if (!from || !to) {
          none++;
          continue;
        }
        all++;
        if (from.site === to.site) near++;
        if (from.site === me.site) own++;
        reads.set(from.id, (reads.get(from.id) ?? 0) + 1);
        writes.set(to.id, (writes.get(to.id) ?? 0) + 1);
        ends.push(loads.take(to.id, 1));
      }
      for (const end of ends) end();
    }
    const worst = (m: ReadonlyMap<string, number>, n: number): number =>
      n === 0 ? 0 : (Math.max(...m.values()) * n) / all;
    const n = list.length,
      a = { run: 'handover', axis: 'servers', at: servers };
    const one = (what: string, unit: string, value: number): Figure => Hollow.figure(a, 'edge', what, unit, value);
    return [
      one('memory handed over within a site', '%', (near / all) * 100),
      one("reads in the daemon's own site", '%', (own / all) * 100),
      one('found no room', '%', (none / (all + none)) * 100),
      one('most reads at a server, against the mean', 'x', worst(reads, n * 0.34)),
      one('most writes at a server, against the mean', 'x', worst(writes, n * 0.66)),
    ];
  },
};
