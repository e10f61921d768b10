import { Verdicts } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import type { Trip } from './trip.js';

type Pick = (not: ReadonlySet<string>) => Listed | null;

/**
 * What the reading and the writing of a request share. Invariants: no server is picked while this daemon isn't sure of
 * its charter; a request is sent again only for a token from the bucket, and not past its deadline.
 */
export const Tries = {
  make(t: RunTools) {
    const { world } = t;
    return {
      /** A server that was not met with a fault yet; any other where there is none. */
      pick(trip: Trip, from: Pick): Listed | null {
        if (!t.sure()) return null;
        return from(trip.avoid) ?? (trip.avoid.size > 0 ? from(new Set()) : null);
      },
      /** The bound of a send to a server, by a look at the list in this instant; null if it must not be sent to. */
      bound: (s: Listed | null): Bound | null =>
        s && t.town.good(s.id, s.born) ? t.hails.bound(s, t.town.until()) : null,
      /** Takes a fault that proves the try unrun; true if the request may be tried again. */
      spend(trip: Trip, f: BackFault, s: Listed): boolean {
        trip.why = Verdicts.not(f.code, `${s.id}: ${f.why}`, 1);
        if (f.dark) t.sighted(s);
        if (f.code !== 'lapsed') trip.avoid.add(s.id);
        if (world.clock.mono() >= trip.due || !t.bucket.take()) return false;
        world.tell({ what: 'extra', key: trip.v.key, attempt: trip.v.attempt, code: f.code });
        return true;
      },
    };
  },
};
