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

/** Runs a guard's drill with the guard taken out, over seeds; the core alone is the same for both deployments. */
export const GuardRun = {
  async run(g: Guard, most: number): Promise<Row[]> {
    const fleets: Job['fleet'][] = g.never === 'core' ? ['coop'] : ['coop', 'registry'];
    const job = (fleet: Job['fleet'], seed: number): Job => ({ fleet, drill: g.drill, faults: g.faults ?? 1, seed });
    const jobs = fleets.flatMap((fleet) => Array.from({ length: most }, (_, i) => job(fleet, i + 1)));
    const caught = new Map<string, string>();
    await Crew.run(
      jobs,
      (b) => {
        const by = judge(b);
        if (by.includes(g.never)) caught.set(`${b.job.fleet} ${b.job.seed}`, by.join(', '));
      },
      g,
    );
    return fleets.map((fleet) => {
      const first = jobs.find((j) => j.fleet === fleet && caught.has(`${fleet} ${j.seed}`));
      const by = first ? caught.get(`${fleet} ${first.seed}`)! : '';
      return { fleet: g.never === 'core' ? 'core' : fleet, seeds: first?.seed ?? null, by };
    });
  },
};
