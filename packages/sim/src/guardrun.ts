import { Crew } from './crew.js';
import type { Guard } from './guard.js';
import { History } from './history.js';
import type { Job } from './job.js';
import { Nevers } from './nevers.js';
import type { Ran } from './ran.js';

type Row = { fleet: string; seeds: number | null; by: string };
const judge = (r: Ran): string[] => {
  if (r.broken) return [...new Set(r.broken.map((w) => (w.startsWith('lending: ') ? 'lending' : 'core')))];
  const h = History.make(r.deeds);
  return Nevers.filter((n) => n.judge(h).broken.length > 0).map((n) => n.name);
};

/**
 * Runs a guard's drill with the guard taken out, over seeds in their order, until one run is caught; the core alone is
 * the same for both deployments. Invariant: the seed it gives is the first that catches it, however many threads run.
 */
export const GuardRun = {
  async run(g: Guard, most: number): Promise<Row[]> {
    const fleets: Job['fleet'][] = g.never === 'core' ? ['coop'] : ['coop', 'registry'];
    const seeds = Array.from({ length: most }, (_, i) => i + 1);
    const step = Crew.hands();
    const first = async (fleet: Job['fleet']): Promise<{ seed: number; by: string } | null> => {
      for (let i = 0; i < most; i += step) {
        const caught: { seed: number; by: string }[] = [];
        await Crew.run(
          seeds.slice(i, i + step).map((seed) => ({ fleet, drill: g.drill, faults: g.faults ?? 1, seed })),
          (b) => {
            const by = judge(b);
            if (by.includes(g.never)) caught.push({ seed: b.job.seed, by: by.join(', ') });
          },
          g,
        );
        const [least] = caught.sort((a, b) => a.seed - b.seed);
        if (least) return least;
      }
      return null;
    };
    const rows: Row[] = [];
    for (const fleet of fleets) {
      const hit = await first(fleet);
      rows.push({ fleet: g.never === 'core' ? 'core' : fleet, seeds: hit?.seed ?? null, by: hit?.by ?? '' });
    }
    return rows;
  },
};
