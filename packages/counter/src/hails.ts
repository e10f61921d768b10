import { Timer, type Clock, type Result } from '@pumicebarrow/forms';
import type { Back } from './back.js';
import type { BackFault } from './backfault.js';
import type { BackState } from './backstate.js';
import type { Bound } from './bound.js';
import type { Listed } from './listed.js';

type Seen = { born: string; clock: number; at: number };
const TICK = 200;
const AGAIN = 3000;
const LONGEST = 30_000;
const ASK = 500;

/**
 * What is known of each server's own clock, from the last exchange with it.
 * Invariants: `at` is no earlier than the instant at which the server read `clock`, so a bound that is counted from
 * the two is never later than it was meant to be; after a sleep nothing is known until the next exchange.
 */
export const Hails = {
  make(clock: Clock, back: Back, listed: () => readonly Listed[], look: () => void) {
    let book: ReadonlyMap<string, Seen> = new Map();
    const busy = new Set<string>();
    let dropped = 0;
    let stop: () => void = () => undefined;
    const get = (s: Listed): Seen | null => {
      const h = book.get(s.id);
      return h && h.born === s.born && clock.mono() - h.at < LONGEST ? h : null;
    };
    const ask = async (s: Listed, ms: number): Promise<Result<BackState, BackFault>> => {
      const before = dropped,
        got = await back.state(s.addr, ms);
      look();
      if (got.ok && before === dropped)
        book = new Map(book).set(s.id, { born: got.val.born, clock: got.val.clock, at: clock.mono() });
      return got;
    };
    const hail = async (s: Listed): Promise<void> => {
      if (busy.has(s.id)) return;
      busy.add(s.id);
      await ask(s, ASK);
      busy.delete(s.id);
    };
    const tick = (): void => {
      const all = listed();
      if (book.size > all.length) book = new Map([...book].filter(([id]) => all.some((s) => s.id === id)));
      for (const s of all) {
        const h = get(s);
        if (s.mark === 'serving' && (!h || clock.mono() - h.at > AGAIN)) void hail(s);
      }
    };
    return {
      start(): void {
        stop = Timer.every(clock, TICK, tick);
      },
      stop(): void {
        stop();
      },
      tick,
      ask,
      drop(): void {
        book = new Map();
        dropped++;
      },
      known: (s: Listed): boolean => get(s) !== null,
      /** The bound for a send that must not take hold after `until`, on our clock; null when none can be set. */
      bound(s: Listed, until: number): Bound | null {
        look();
        const h = get(s);
        return h && until > clock.mono() ? { born: s.born, by: h.clock + (until - h.at) } : null;
      },
    };
  },
};
