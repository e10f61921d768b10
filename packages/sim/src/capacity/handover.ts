import { Random } from '@pumicebarrow/forms';
import { Design } from './design.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';
import { Props } from './props.js';

/**
 * Requests under way at one daemon at the design size: its part of all, for as long as a stream of 486 pieces takes.
 */
const HELD = (Design.requests / Design.daemons) * (0.57 + 486 * 0.072);
const MOST = 48;
const rule = Props.charter(1).rules[2]!;

/**
 * Where requests go when many daemons choose, each knowing its own only: links within a zone, and how even it comes
 * out. Invariant: a daemon's requests to the number of servers are as at the design size.
 */
export const Handover = {
  async run(servers: number, seed: number): Promise<Figure[]> {
    const daemons = Math.round((servers * Design.daemons) / Design.servers),
      roster = Props.idents(daemons),
      chance = Random.seeded(seed);
    const reads = new Map<string, number>(),
      writes = new Map<string, number>();
    const { choice, loads, list } = await Props.choice(servers, roster);
    let all = 0,
      near = 0,
      own = 0,
      none = 0;
    const nobody = new Set<string>();
    for (const me of roster.slice(0, MOST)) {
      const ends: (() => void)[] = [];
      for (let i = 0; i < (HELD * servers) / Design.servers; i++) {
        const from = choice.prefill(rule, `p${Random.int(chance, 1e6)}`, nobody),
          to = from && choice.decode(rule, from, nobody);
        if (!from || !to) {
          none++;
          continue;
        }
        all++;
        if (from.site === to.site) near++;
        if (from.site === me.site) own++;
        reads.set(from.id, (reads.get(from.id) ?? 0) + 1);
        writes.set(to.id, (writes.get(to.id) ?? 0) + 1);
        ends.push(loads.reserve(to.id, 1));
      }
      for (const end of ends) end();
    }
    /** How many of the servers, in 100, have half of it; the most laden first. */
    const half = (m: ReadonlyMap<string, number>, n: number): number => {
      let sum = 0,
        used = 0;
      for (const v of [...m.values()].sort((x, y) => y - x)) {
        if (sum >= all / 2) break;
        sum += v;
        used++;
      }
      return (used / n) * 100;
    };
    const n = list.length,
      a = { run: 'handover', axis: 'servers', at: servers };
    const one = (what: string, unit: string, value: number): Figure => Hollow.figure(a, 'edge', what, unit, value);
    return [
      one('memory handed over within a site', '%', (near / all) * 100),
      one("reads in the daemon's own site", '%', (own / all) * 100),
      one('found no room', '%', (none / (all + none)) * 100),
      one('readers that do half of it', '%', half(reads, n * 0.34)),
      one('writers that do half of it', '%', half(writes, n * 0.66)),
    ];
  },
};
