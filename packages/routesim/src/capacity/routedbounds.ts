import { Bounds, type Bound, type Figure } from '@pumicebarrow/sim';

const routers = { run: 'routers', role: 'router', shape: 'line' } as const;
const head = { ...routers, role: 'head' } as const;
const lists = { run: 'routedlist', role: 'router', shape: 'line' } as const;
const runs = { run: 'routedruns', role: 'router', shape: 'line' } as const;
const long = { run: 'routedlongroutes', role: 'router', shape: 'line' } as const;
const longlists = { run: 'routedlonglist', role: 'router', shape: 'line' } as const;
const routes = { run: 'routedroutes', role: 'router', shape: 'line' } as const;

/**
 * How quickly counted costs of a routed fleet may grow, for one router, server, request under way or route more, or
 * ('log') for twice as many routers. A bound lies above what was measured by less than growth of another order adds.
 */
export const RoutedBounds = {
  list: [
    { ...routers, what: 'purge.news', unit: 'frames/s', most: 0.01, why: 'a round is the same in any fleet' },
    { ...routers, what: 'purge.news', unit: 'B/s', most: 12, why: 'news does not grow with the fleet' },
    { ...routers, what: 'keeper.checkin', unit: 'frames/s', most: 0.005, why: 'a router checks in as often' },
    { ...routers, what: 'keeper.checkin', unit: 'B/s', most: 2, why: 'a check-in names no more in a larger fleet' },
    { ...routers, what: 'all', unit: 'frames/s', most: 0.03, why: 'no router speaks to all others' },
    { ...head, what: 'keeper.checkin', unit: 'frames/s', most: 4.6, why: '2.2 check-ins a second of each router' },
    { ...head, what: 'keeper.checkin', unit: 'B/s', most: 950, why: 'a check-in is as long in any fleet' },
    { ...head, what: 'core.beat', unit: 'B/s', most: 20, why: 'control replicas beat among themselves' },
    {
      ...routers,
      role: 'keeper',
      what: 'all',
      unit: 'B/s',
      most: 260,
      why: 'control replicas gossip with any router at times',
    },
    { ...lists, what: 'purge.pull', unit: 'B/s', most: 27, why: 'a change brings one row of each server, once' },
    { ...lists, what: 'router.list', unit: 'B/s', most: 20, why: 'rows go to who holds another list only' },
    { ...runs, what: 'router.loads', unit: 'B/s', most: 300, why: 'a row a server in use, each second, to six' },
    { ...routes, what: 'purge.pull', unit: 'B/s', most: 400, why: 'a change brings one line of each route' },
    { ...long, what: 'purge.pull', unit: 'B/s', most: 4, why: 'of a long configuration digests and what changed' },
    { ...longlists, what: 'purge.pull', unit: 'B/s', most: 0.5, why: 'of a long list digests and what changed' },
    {
      ...routes,
      role: 'head',
      what: 'core.change',
      unit: 'B/s',
      most: 260,
      why: 'what changed goes down the chain once',
    },
    {
      ...{ run: 'work', role: 'head', what: 'names weighed a check-in after one went and one came', unit: 'count' },
      ...{ shape: 'line', most: 0.02, why: 'who came is weighed, and all only where a peer went' },
    },
    {
      ...{ run: 'routers', role: 'router', what: 'a configuration in force, median', unit: 'rounds', shape: 'log' },
      ...{ most: 1, why: 'about a round for twice as many' },
    },
  ] satisfies Bound[] as readonly Bound[],
  /** Those that the figures break; one without figures is broken too. */
  broken: (all: readonly Figure[]): string[] =>
    RoutedBounds.list.filter((b) => !(Bounds.slope(all, b) <= b.most)).map((b) => Bounds.name(b)),
};
