import type { Ident } from '@pumicebarrow/forms';
import { CheckinHandler } from '@pumicebarrow/router';
import { Hollow, type Figure } from '@pumicebarrow/sim';
import { RoutedWorks } from './routedworks.js';

/** ms from a reply to the next check-in, and for which a reply is waited for. */
const CHECKIN = 450;
const ASK = 500;
const SPAN = 12_000;
const BODY = { version: 1, list: null, epoch: 1, peers: '', load: { read: 1, beside: 1, run: 1 } };
type Tools = { routers: number; handle: (router: number, now: number) => number; span: number };
type Seen = { late: number; worst: number; calm: number };

/**
 * A head that begins beside routers which all check in, as its one thread has time for them. Invariants: mail is
 * handled in the order in which it was sent, also what nobody waits for any more; a router sends again once it has its
 * reply, or has given up waiting for it.
 */
export const NewHead = {
  /** `handle` does one check-in and gives back the ms of the thread that it took. */
  play({ routers, handle, span }: Tools): Seen {
    const next = Array.from({ length: routers }, (_, i) => (i / routers) * CHECKIN);
    const seen: Seen = { late: 0, worst: 0, calm: 0 };
    let queue: { router: number; sent: number }[] = [];
    let now = 0;
    while (now < span) {
      for (let more = true; more;) {
        const due = next.flatMap((sent, router) => (sent <= now ? [{ router, sent }] : []));
        more = due.length > 0;
        for (const d of due) next[d.router] = d.sent + ASK + CHECKIN;
        queue.push(...due);
      }
      queue.sort((a, b) => a.sent - b.sent);
      if (queue.length === 0) now = next.reduce((a, b) => Math.min(a, b));
      // What is sent meanwhile lies behind all of these.
      const turn = queue;
      queue = [];
      for (const { router, sent } of turn) {
        now += handle(router, now);
        const wait = now - sent;
        seen.worst = Math.max(seen.worst, wait);
        if (wait <= ASK) next[router] = now + CHECKIN;
        else {
          seen.late++;
          seen.calm = now;
        }
      }
    }
    return seen;
  },
  /** The real desk of the head on a thread so many times slower than this machine's. */
  run(n: number, slower: number): Figure[] {
    const { post, hear } = RoutedWorks.post();
    const all: Ident[] = Array.from({ length: n }, (_, i) => RoutedWorks.ident(i));
    let time = 0;
    CheckinHandler.make({
      clock: { mono: () => time, wall: () => time, after: () => () => undefined },
      ...{ post, view: () => null, isActingHead: () => true, configurationVersion: () => 1, publishedList: () => null },
    });
    const handle = (router: number, now: number): number => {
      time = now;
      const from = process.cpuUsage();
      void hear('keeper.checkin', BODY, all[router]!);
      const { user, system } = process.cpuUsage(from);
      return ((user + system) / 1000) * slower;
    };
    const seen = NewHead.play({ routers: n, handle, span: SPAN });
    const a = { run: slower === 1 ? 'new head' : `new head, ${slower} times slower`, axis: 'routers', at: n };
    return [
      Hollow.figure(a, 'head', 'check-ins replied to too late', 'count', seen.late),
      Hollow.figure(a, 'head', 'longest wait', 'ms', seen.worst),
      Hollow.figure(a, 'head', 'until none is late', 'ms', seen.calm < SPAN * 0.9 ? seen.calm : NaN),
    ];
  },
};
