import { Hash, Timer } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import type { Tries } from './tries.js';
import type { Trip } from './trip.js';
import { Urgency } from './urgency.js';
import type { Request } from './request.js';

type Taken = { s: Listed; free: () => void };
const PATIENCE = 4000;
const LEAST = 200;
const LOOK = 20;
const MISFIT: BackFault = { ran: 'no', code: 'bad', dark: false, why: 'gave a handle that does not fit the request' };

/** Whether a handle is of this request, this life of the server and this prompt. */
const fits = (h: Handle | null, v: Request, s: Listed): boolean =>
  h !== null &&
  h.key === v.key &&
  h.attempt === v.attempt &&
  h.server === s.id &&
  h.born === s.born &&
  h.digest === Hash.text(v.prefix + v.part);

/**
 * A request's prompt is read by a prefill server. Invariants: it is sent in the same turn as the list was looked at;
 * the room it was given is taken in the instant in which it is found;
 * whatever comes of it, the request has not run.
 */
export const Reading = {
  make(t: RunTools, tries: ReturnType<typeof Tries.make>) {
    const { world, loads } = t;
    const now = (): number => world.clock.mono();
    const room = async (trip: Trip): Promise<Taken | null> => {
      const from = (not: ReadonlySet<string>): Listed | null => t.choice.prefill(trip.rule, trip.prefix, not);
      for (;;) {
        const s = tries.pick(trip, from);
        if (s) return { s, free: loads.take(s.id, trip.rule.weight) };
        if (now() >= trip.due || trip.sink.gone()) return null;
        await Timer.nap(world.clock, LOOK);
      }
    };
    const send = async (trip: Trip, s: Listed, bound: Bound): Promise<void> => {
      const { v, rule, life } = trip;
      const { key, attempt, prefix, part } = v;
      world.tell({ what: 'send', part: 'prefill', server: s.id, key, attempt, version: t.version() });
      const job = { key, attempt, ...Urgency.of(t), ...bound, prefix, part, weight: rule.weight };
      const got = await t.back.prefill(s.addr, job, Math.max(LEAST, Math.min(PATIENCE, trip.due - now())));
      const h = got.ok ? got.val : null;
      if (fits(h, v, s)) {
        trip.handle = h;
        trip.reader = s;
        life.send('read');
        return;
      }
      const f: BackFault = got.ok ? MISFIT : got.val;
      life.send(tries.spend(trip, { ...f, ran: 'no' }, s) ? 'again' : 'give');
    };
    return async (trip: Trip): Promise<void> => {
      t.demand.read += trip.rule.weight;
      const got = await room(trip);
      trip.settled();
      const bound = tries.bound(got?.s ?? null);
      if (got && bound) await send(trip, got.s, bound);
      else trip.life.send('give');
      got?.free();
      t.demand.read -= trip.rule.weight;
      t.pump();
    };
  },
};
