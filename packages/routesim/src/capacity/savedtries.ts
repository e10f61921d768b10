import { RetryBudgets } from '@pumicebarrow/router';
import { Design, Hollow, type Figure } from '@pumicebarrow/sim';
import { Bounds } from '../bounds.js';

const IDLE = 4 * 3_600_000;
const { window, ratio, slack } = Bounds.budget;

/** Services of the design size, of which one fails. */
const SERVICES = 8;

/** Further tries that the real budgets of many routers give in one window, each request's first try failing. */
export const SavedTries = {
  /** Each router sends so many in the window, after hours without any, to so many services in turn; the first fails. */
  taken(routers: number, each: number, services: number): number {
    let now = 0;
    const clock = { mono: () => now, wall: () => now, after: () => () => undefined };
    const all = Array.from({ length: routers }, () =>
      RetryBudgets.make(
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
        const budget = b.of(`model-${i % services}`);
        budget.recordRequest();
        if (i % services === 0 && budget.tryTake()) taken++;
      }
    }
    return taken;
  },
  run(n: number): Figure[] {
    const a = { run: 'budget', axis: 'routers', at: n };
    const most = Math.round(((Design.requests / Design.daemons) * window) / 1000);
    const asked = [1, most].map((each) => ({ what: `${each} requests each`, each, services: 1 }));
    const one = {
      what: `${most} requests each, to one of ${SERVICES} services that fails`,
      each: most,
      services: SERVICES,
    };
    return [...asked, one].flatMap(({ what, each, services }) => [
      Hollow.figure(a, 'router', `tries in 10 s, ${what}`, 'count', SavedTries.taken(n, each, services)),
      Hollow.figure(a, 'router', `allowed, ${what}`, 'count', ratio * Math.ceil(each / services) * n + slack),
    ]);
  },
};
