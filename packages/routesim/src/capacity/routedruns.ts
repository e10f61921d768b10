import { Design, type Figure } from '@pumicebarrow/sim';
import { DeskWorks } from './deskworks.js';
import { Handing } from './handing.js';
import { Mixes } from './mixes.js';
import { NewHead } from './newhead.js';
import { RoutedLosses } from './routedlosses.js';
import { RoutedFleet } from './routedfleet.js';
import { RoutedStart } from './routedstart.js';
import { RoutedWorks } from './routedworks.js';
import { SavedTries } from './savedtries.js';
import { UnderWay } from './underway.js';

type Job = (n: number, seed: number, span?: number) => Figure[] | Promise<Figure[]>;
type Run = { about: string; sizes: readonly number[]; job: Job };
const fleet = (run: string, axis: string) => (at: number, seed: number) => ({ run, axis, at, seed });
const routers = fleet('routers', 'routers'),
  longlists = fleet('routedlonglist', 'servers'),
  longroutes = fleet('routedlongroutes', 'routes'),
  servers = fleet('routedservers', 'servers'),
  lists = fleet('routedlist', 'servers'),
  runs = fleet('routedruns', 'requests under way'),
  routes = fleet('routedroutes', 'routes'),
  far = fleet('routersfar', 'routers'),
  whole = fleet('routedwhole', 'routers');
const sizes = [25, 50, 100, 200, 400, 800, 1600, 2900];
const tables = [4, 16, 64, 256, 1024, 4096, 10_000];
/** Sizes from which on docs are handed on by parts (`DocParts`). */
const LONG = { servers: 1360 };
/** Requests under way at a router at the design size. */
const UNDER_WAY = Math.round((Design.requests / Design.daemons / 1000) * UnderWay.STREAM);
/** ms between regions, one way. */
const FAR = 35;
const SERVERS = Design.servers / Design.daemons;

/** The runs of `routesim capacity`, by name, each with the sizes it is made at. */
export const RoutedRuns: Record<string, Run> = {
  routers: {
    about: 'routers before 16 servers, five control replicas, no requests',
    sizes,
    job: (n, seed, span) => RoutedFleet.run({ span, ...routers(n, seed), routers: n, servers: 16 }),
  },
  routedservers: {
    about: '25 routers, a list that stays as it is',
    sizes: tables,
    job: (n, seed, span) => RoutedFleet.run({ span, ...servers(n, seed), routers: 25, servers: n }),
  },
  routedlist: {
    about: '25 routers, one server exchanged each four seconds',
    sizes: tables.filter((n) => n < LONG.servers),
    job: (n, seed, span) => RoutedFleet.run({ span, ...lists(n, seed), routers: 25, servers: n, listed: 0.25 }),
  },
  routedruns: {
    about: '100 routers before 1,024 servers, requests under way at each',
    sizes: [8, 27, 54, 108, 215, 430],
    job: (n, seed, span) => RoutedFleet.run({ span, ...runs(n, seed), routers: 100, servers: 1024, runs: n }),
  },
  routedroutes: {
    about: '25 routers, a configuration of more and more routes',
    sizes: [8, 32, 128],
    job: (n, seed, span) => RoutedFleet.run({ span, ...routes(n, seed), routers: 25, servers: 16, routes: n }),
  },
  routedlonglist: {
    about: 'the same as routedlist, with lists that are handed on by parts',
    sizes: [2000, 4096, 10_000],
    job: (n, seed, span) => RoutedFleet.run({ span, ...longlists(n, seed), routers: 25, servers: n, listed: 0.25 }),
  },
  routedlongroutes: {
    about: 'the same as routedroutes, with configurations that are handed on by parts',
    sizes: [200, 400, 800, 1600, 2600],
    job: (n, seed, span) => RoutedFleet.run({ span, ...longroutes(n, seed), routers: 25, servers: 16, routes: n }),
  },
  routersfar: {
    about: 'routers before 16 servers, 35 ms apart',
    sizes: [100, 200, 400, 800],
    job: (n, seed, span) => RoutedFleet.run({ span, ...far(n, seed), routers: n, servers: 16, slow: FAR }),
  },
  routedstart: {
    about: 'a router that starts in a fleet of 25',
    sizes: tables,
    job: async (n, seed) => [...(await RoutedStart.run(n, seed, 0)), ...(await RoutedStart.run(n, seed, FAR))],
  },
  routedwhole: {
    about: 'all of it at once, servers in proportion, changes as at the design size',
    sizes: [25, 50, 100, 200],
    job: (n, seed, span) =>
      RoutedFleet.run({
        span,
        ...whole(n, seed),
        ...{ routers: n, servers: Math.round(n * SERVERS), runs: UNDER_WAY, routes: 2600 },
        listed: Design.listed,
      }),
  },
  routedlosses: {
    about: 'a rack, a zone, and a region cut off for a minute',
    sizes: [25, 50, 100, 200, 400],
    job: async (n, seed) => [
      ...(await RoutedLosses.power(n, seed, 'rack')),
      ...(await RoutedLosses.power(n, seed, 'zone')),
      ...(await RoutedLosses.region(n, seed, 60_000)),
    ],
  },
  routedhour: {
    about: 'a region cut off for an hour',
    sizes: [25],
    job: (n, seed) => RoutedLosses.region(n, seed, 3_600_000),
  },
  handing: {
    about: 'where prompts are read and decoded, before servers in 40 zones',
    sizes: [1000, 2000, 4000, 10_000],
    job: (n, seed) => Handing.run(n, seed),
  },
  desk: { about: 'timed: check-ins at the head', sizes, job: (n) => DeskWorks.run(n) },
  deskheap: {
    about: 'memory of the routers that a head knows',
    sizes: [200, 400, 800, 1600, 2900],
    job: (n) => DeskWorks.kept(n),
  },
  budget: { about: 'further tries in ten seconds, of what was saved and earned', sizes, job: (n) => SavedTries.run(n) },
  newhead: {
    about: 'timed: all routers check in at a head that begins, on this machine and one half as fast',
    sizes,
    job: (n) => [...NewHead.run(n, 1), ...NewHead.run(n, 2)],
  },
  table: { about: 'timed: the list at a router and the head', sizes: tables, job: (n) => RoutedWorks.table(n) },
  loads: { about: 'timed: news of loads', sizes: [8, 27, 54, 108, 215, 430], job: (n) => RoutedWorks.loads(n) },
  mixes: {
    about: 'how many servers change their stage at once, by how many there are',
    sizes: Mixes.sizes,
    job: (n) => Mixes.run(n),
  },
  prompts: {
    about: 'timed: prompts remembered',
    sizes: [1000, 2000, 5000, 10_000, 50_000, 200_000],
    job: (n) => RoutedWorks.prompts(n),
  },
};
