import { Design, type Chart } from '@pumicebarrow/sim';

const { daemons, servers, budget } = Design;
const bytes = { unit: 'B/s', y: 'bytes a second, in and out', budget: budget.bytes };
const core = { unit: 'core%', y: 'part of a core in 100', budget: budget.core };

/** Plots of the routed fleet's slopes. */
export const RoutedPlots: readonly Chart[] = [
  {
    ...{ name: 'routed-bytes', title: 'A router, control bytes by fleet size (16 servers, no requests)' },
    ...{ file: ['routers'], role: 'router', what: ['purge.news', 'purge.pull', 'keeper.checkin', 'all'], ...bytes },
    ...{ x: 'routers', to: daemons },
  },
  {
    ...{ name: 'routed-list-bytes', title: 'A router, control bytes by servers (25 routers, a change each 4 s)' },
    ...{
      file: ['routedlist', 'routedlonglist'],
      role: 'router',
      what: ['purge.pull', 'router.list', 'keeper.checkin', 'all'],
      ...bytes,
    },
    ...{ x: 'servers', to: servers },
  },
  {
    ...{ name: 'routed-route-bytes', title: 'A router, control bytes by routes (25 routers, 40,000 changes a day)' },
    ...{ file: ['routedroutes', 'routedlongroutes'], role: 'router', what: ['purge.pull', 'all'], ...bytes },
    ...{ x: 'routes', to: 2600 },
  },
  {
    ...{ name: 'routed-loads-bytes', title: 'A router, control bytes by requests under way (100 routers)' },
    ...{ file: ['routedruns'], role: 'router', what: ['router.loads', 'purge.news', 'all'], ...bytes },
    ...{ x: 'requests under way at a router', to: 430 },
  },
  {
    ...{ name: 'routed-core', title: "The head's processor time by fleet size (16 servers, no requests, no sockets)" },
    ...{ file: ['routers'], role: 'head', what: ['processor'], ...core, x: 'routers', to: daemons },
  },
  {
    ...{ name: 'routed-router-core', title: 'A router, processor time by servers (25 routers, no sockets)' },
    ...{ file: ['routedservers'], role: 'router', what: ['processor'], ...core, x: 'servers', to: servers },
  },
  {
    ...{ name: 'routed-time', title: 'Work over the list at a router' },
    ...{ file: ['table'], role: 'router', unit: 'us', y: 'microseconds a call', x: 'servers', to: servers },
    what: ['the list taken up at a check-in', 'a list read and checked', 'choosing who reads', 'choosing who decodes'],
  },
];
