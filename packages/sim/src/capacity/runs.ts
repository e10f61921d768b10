import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';

/** What one run does at one size. */
type Job = { at: number; run: (seed: number) => Promise<Figure[]> };
const fleet = (n: number): Job => ({
  at: n,
  run: (seed) => Hollow.fleet({ run: 'fleet', axis: 'daemons', at: n, edges: n, servers: 4, seed }),
});
const servers = (n: number): Job => ({
  at: n,
  run: (seed) => Hollow.fleet({ run: 'servers', axis: 'servers', at: n, edges: 25, servers: n, seed }),
});
const spread =
  (run: string, docs: number, gap: number, burst: number) =>
  (n: number): Job => ({
    at: n,
    run: (seed) => Hollow.purge(run, n, docs, gap, burst, seed),
  });
const sizes = [25, 50, 100, 200, 400, 800];

/** The runs of `sim capacity` that count, by name, each with the sizes it is made at. */
export const Runs: Record<string, { about: string; sizes: readonly number[]; job: (n: number) => Job }> = {
  fleet: { about: 'whole hollow fleets, four servers', sizes, job: fleet },
  servers: { about: '25 hollow daemons, more and more servers', sizes: [4, 8, 16, 32, 64, 128, 256], job: servers },
  spread: { about: '40,000 notices a day', sizes: [...sizes, 1600, 2900], job: spread('spread', 12, 14, 1) },
  burst: { about: '100 notices at once', sizes: sizes.slice(0, 5), job: spread('burst', 100, 60, 100) },
};
