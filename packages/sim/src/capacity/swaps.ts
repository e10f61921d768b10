import { Deployments } from '../deployments.js';
import { Drills } from '../drills.js';
import { Stage } from '../stage.js';
import type { Figure } from './figure.js';
import { Hollow } from './hollow.js';

/** How long servers take to swap under drill `swing`: from the row that says so until the server has its new part. */
export const Swaps = {
  async run(at: number, seed: number): Promise<Figure[]> {
    const d = Deployments.coop;
    const r = await Stage.run(d, seed + at - 1, (s) => Drills.get('swing')!.run(s));
    const done = r.history.of('swap').flatMap((s) => {
      const end = r.history
        .of('ordered')
        .find((o) => o.who === s['server'] && o['part'] === s['part'] && o.at > s.at && o.at < s.at + 60_000);
      return end ? [end.at - s.at] : [];
    });
    const a = { run: 'swap', axis: 'seed', at };
    const sorted = [...done].sort((x, y) => x - y);
    return [
      Hollow.figure(a, 'duty', 'swaps', 'count', r.history.of('swap').length),
      Hollow.figure(a, 'duty', 'time to swap, median', 'ms', sorted[Math.floor(sorted.length / 2)] ?? NaN),
      Hollow.figure(a, 'duty', 'time to swap, worst', 'ms', sorted.at(-1) ?? NaN),
      Hollow.figure(a, 'duty', 'orders', 'count', r.history.of('order').length),
    ];
  },
};
