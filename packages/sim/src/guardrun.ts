import { Crew } from './crew.js';
import type { Guard } from './guard.js';
import { History } from './history.js';
import type { Job } from './job.js';
import { Nevers } from './nevers.js';

type Row = { fleet: string; seeds: number | null; by: string };
/** Runs that the core alone makes are the same for both deployments. */
const lone = (g: Guard): boolean => g.never === 'core';

/** Runs a guard's drill with the guard taken out, until a seed is caught. */
export const GuardRun = {
  async run(g: Guard, most: number, fleets: readonly Job['fleet'][] = ['coop', 'registry']): Promise<Row[]> {
    const rows: Row[] = [];
    for (const fleet of lone(g) ? ['coop' as const] : fleets) {
      const jobs = Array.from({ length: most }, (_, i) => ({
        fleet,
        drill: g.drill,
        faults: g.faults ?? 1,
        seed: i + 1,
      }));
      const caught = new Map<number, string>();
      await Crew.run(
        jobs,
        (b) => {
          const by = b.broken
            ? b.broken.length > 0
              ? ['core']
              : []
            : Nevers.filter((n) => n.judge(History.make(b.deeds)).broken.length > 0).map((n) => n.name);
          if (lone(g) ? by.length > 0 : by.includes(g.never)) caught.set(b.job.seed, by.join(', '));
        },
        g,
      );
      const first = [...caught.keys()].sort((a, b) => a - b)[0];
      rows.push({
        fleet: lone(g) ? 'core' : fleet,
        seeds: first ?? null,
        by: first === undefined ? '' : caught.get(first)!,
      });
    }
    return rows;
  },
};
