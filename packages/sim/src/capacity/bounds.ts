import type { Bound } from './bound.js';
import type { Figure } from './figure.js';
import { Slope } from './slope.js';

const fleet = { run: 'fleet', role: 'edge', shape: 'line' } as const;
const servers = { run: 'servers', role: 'edge', shape: 'line' } as const;

/**
 * How quickly counted costs may grow: by how much for one daemon, server or row more, or ('log') for twice as many
 * daemons. A bound lies above what was measured by less than any growth of another order would add.
 */
export const Bounds = {
  list: [
    { ...fleet, what: 'purge.news', unit: 'frames/s', most: 0.005, why: 'a round is the same in any fleet' },
    { ...fleet, what: 'purge.news', unit: 'B/s', most: 10, why: 'news does not grow with the fleet' },
    { ...fleet, what: 'core.checkin', unit: 'frames/s', most: 0.005, why: 'a daemon checks in as often in any fleet' },
    { ...fleet, what: 'core.checkin', unit: 'B/s', most: 260, why: 'one identity of the roster a check-in' },
    { ...fleet, what: 'all', unit: 'frames/s', most: 0.02, why: 'no daemon speaks to all others' },
    { ...fleet, role: 'head', what: 'core.checkin', unit: 'frames/s', most: 5.2, why: '2.5 check-ins a daemon' },
    { ...fleet, role: 'head', what: 'purge.news', unit: 'B/s', most: 20, why: 'the head gossips as any other does' },
    { ...fleet, role: 'tail', what: 'all', unit: 'B/s', most: 60, why: 'the tail hears of changes only' },
    { ...servers, what: 'back.state', unit: 'frames/s', most: 0.75, why: 'one hail a server in 3 s, one look a row' },
    { ...servers, what: 'town.poll', unit: 'B/s', most: 260, why: 'one line of the list a poll' },
    { ...servers, what: 'purge.pull', unit: 'B/s', most: 120, why: 'one line of the charter a change' },
    {
      run: 'spread',
      role: 'edge',
      what: 'rounds, median',
      unit: 'rounds',
      shape: 'log',
      most: 1.3,
      why: 'about a round for twice as many',
    },
    {
      run: 'newcomer',
      role: 'edge',
      what: 'until it holds all',
      unit: 'frames',
      shape: 'line',
      most: 2.3,
      why: 'one pull a row',
    },
  ] satisfies Bound[] as readonly Bound[],
  name: (b: Bound): string => `${b.run}, ${b.role}: ${b.what}, ${b.unit}`,
  slope: (all: readonly Figure[], b: Bound): number =>
    Slope.fit(
      b.shape,
      Slope.points(
        all.filter((f) => f.run === b.run),
        b.role,
        b.what,
        b.unit,
      ),
    ).b,
  /** Those that the figures break; one without figures is broken too. */
  broken: (all: readonly Figure[]): string[] =>
    Bounds.list.filter((b) => !(Bounds.slope(all, b) <= b.most)).map((b) => Bounds.name(b)),
};
