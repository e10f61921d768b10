import { Budget } from '@pumicebarrow/router';
import { Design, Hollow, type Figure } from '@pumicebarrow/sim';
import { Bounds } from '../bounds.js';

const IDLE = 4 * 3_600_000;
const { window, ratio, slack } = Bounds.budget;

/** Further tries that the real budgets of many routers give in one window, each request's first try failing. */
export const SavedTries = {
  /** Each router sends so many in the window, after hours without any. */
  taken(routers: number, each: number): number {
    let now = 0;
    const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
    const all = Array.from({ length: routers }, () =>
      Budget.make(
        clock,
        () => Bounds.budget,
        () => routers,
      ),
    );
    now = IDLE;
    let taken = 0;
    for (let i = 0; i < each; i++) {
      now = IDLE + (window * i) / each;
      for (const b of all) {
        b.request();
        if (b.take()) taken++;
      }
    }
    return taken;
  },
  run(n: number): Figure[] {
    const a = { run: 'budget', axis: 'routers', at: n };
    const most = Math.round(((Design.visits / Design.daemons) * window) / 1000);
    return [1, most].flatMap((each) => [
      Hollow.figure(a, 'router', `tries in 10 s, ${each} requests each`, 'count', SavedTries.taken(n, each)),
      Hollow.figure(a, 'router', `allowed, ${each} requests each`, 'count', ratio * each * n + slack),
    ]);
  },
};
