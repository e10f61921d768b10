import { Design, type Wanted } from '@pumicebarrow/sim';

const { daemons, servers } = Design;
const UNDER_WAY = 430;
const ROUTES = 2600;
/** Up to these, docs go whole. */
const WHOLE = { servers: 1024, routes: 128 };
type Shape = Wanted['shape'];
const of =
  (file: string, role: string, unit: string, shape: Shape, to: number) =>
  (what: string): Wanted => ({ file, role, what, unit, shape, to });
const line = (file: string, role: string, unit: string, to: number, ...all: string[]): Wanted[] =>
  all.map(of(file, role, unit, 'line', to));
const power = (file: string, role: string, unit: string, to: number, ...all: string[]): Wanted[] =>
  all.map(of(file, role, unit, 'power', to));

/** Which slopes of the routed fleet are drawn to the design size, and how. */
export const RoutedFits: readonly Wanted[] = [
  ...line('routers', 'router', 'B/s', daemons, 'purge.news', 'purge.pull', 'router.list', 'keeper.checkin', 'all'),
  ...line('routers', 'router', 'frames/s', daemons, 'purge.news', 'keeper.checkin', 'all'),
  ...line('routers', 'head', 'B/s', daemons, 'keeper.checkin', 'purge.pull', 'core.read', 'all'),
  ...line('routers', 'head', 'frames/s', daemons, 'keeper.checkin', 'all'),
  ...line('routers', 'keeper', 'B/s', daemons, 'core.beat', 'core.read', 'all'),
  ...line('routers', 'router', 'core%', daemons, 'processor'),
  ...power('routers', 'head', 'core%', daemons, 'processor'),
  ...line('routers', 'keeper', 'core%', daemons, 'processor'),
  ...['a configuration in force, median', 'a configuration in force, worst'].map(
    of('routers', 'router', 'rounds', 'log', daemons),
  ),
  ...line('routers', 'router', 'heap', daemons, 'heap of the process by routers'),
  ...line('routedservers', 'router', 'B/s', servers, 'router.list', 'all'),
  ...line('routedservers', 'router', 'core%', servers, 'processor'),
  ...line('routedservers', 'head', 'core%', servers, 'processor'),
  ...line('routedservers', 'router', 'heap', servers, 'heap of the process by routers'),
  ...line('routedservers', 'router', 'B', servers, 'the list'),
  ...line('routedlist', 'router', 'B/s', WHOLE.servers, 'purge.pull', 'router.list', 'all'),
  ...line('routedlist', 'head', 'B/s', WHOLE.servers, 'purge.pull', 'all'),
  ...line('routedlist', 'router', 'core%', WHOLE.servers, 'processor'),
  ...line('routedlonglist', 'router', 'B/s', servers, 'purge.pull', 'router.list', 'all'),
  ...line('routedlonglist', 'head', 'B/s', servers, 'purge.pull', 'all'),
  ...line('routedlonglist', 'router', 'core%', servers, 'processor'),
  ...line('routedruns', 'router', 'B/s', UNDER_WAY, 'router.loads', 'all'),
  ...line('routedruns', 'router', 'core%', UNDER_WAY, 'processor'),
  ...line('routedroutes', 'router', 'B/s', WHOLE.routes, 'purge.pull', 'all'),
  ...line('routedroutes', 'head', 'B/s', WHOLE.routes, 'core.push', 'all'),
  ...line('routedroutes', 'keeper', 'B/s', WHOLE.routes, 'core.push', 'core.read', 'all'),
  ...line('routedroutes', 'router', 'core%', WHOLE.routes, 'processor'),
  ...line('routedroutes', 'router', 'B', WHOLE.routes, 'the configuration'),
  ...line('routedroutes', 'router', 'heap', WHOLE.routes, 'heap of the process by routers'),
  ...line('routedlongroutes', 'router', 'B/s', ROUTES, 'purge.pull', 'all'),
  ...line('routedlongroutes', 'head', 'B/s', ROUTES, 'core.push', 'all'),
  ...line('routedlongroutes', 'keeper', 'B/s', ROUTES, 'core.push', 'core.read', 'all'),
  ...line('routedlongroutes', 'router', 'core%', ROUTES, 'processor'),
  ...line('routedlongroutes', 'router', 'B', ROUTES, 'the configuration'),
  ...line('routedlongroutes', 'router', 'heap', ROUTES, 'heap of the process by routers'),
  ...['a configuration in force, median', 'a configuration in force, worst'].map(
    of('routersfar', 'router', 'rounds', 'log', daemons),
  ),
  ...line('routedstart', 'router', 'B', servers, 'until it is ready'),
  ...power('desk', 'head', 'us', daemons, 'a check-in at the head', 'all routers known to a new head'),
  ...power('desk', 'head', 'us', daemons, 'all routers weighed, as one of the peers is gone'),
  ...line('deskheap', 'head', 'heap', daemons, 'the routers that it knows'),
  ...line(
    ...(['desk', 'head', 'count', daemons] as const),
    ...['names weighed a check-in, all of them new', 'names weighed a check-in after one went and one came'],
  ),
  ...power(
    ...(['table', 'router', 'us', servers] as const),
    ...['the list taken up at a check-in', 'a list read and checked', 'choosing who reads', 'choosing who decodes'],
  ),
  ...power('table', 'head', 'us', servers, 'the list packed and hashed', 'a look at the stages'),
  ...line('loads', 'router', 'us', UNDER_WAY, 'a tick of news, nothing told', 'news heard of one'),
];
