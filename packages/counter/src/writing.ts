import { Timer, Verdicts, type Result } from '@pumicebarrow/forms';
import type { BackFault } from './backfault.js';
import type { Bound } from './bound.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import { StreamCheck } from './streamcheck.js';
import type { Tries } from './tries.js';
import type { Trip } from './trip.js';
import { Urgency } from './urgency.js';

type Checking = ReturnType<typeof StreamCheck.make>;
type Taken = { s: Listed; free: () => void };
type Piece = Parameters<Checking['look']>[0];
const IDLE = 2500;
const PATIENCE = 4000;
const LOOK = 20;
const broken = (why: string): BackFault => ({ ran: 'maybe', code: 'broken', dark: false, why });

/**
 * A request's answer is written by a decode server. Invariants: it is sent in the same turn as the list was looked at;
 * the room it was given is taken in the instant in which it is found;
 * it is sent again only on proof that this try has not run, and never once a piece has come; no piece is handed on
 * that is not the next one of this request and this life.
 */
export const Writing = {
  make(t: RunTools, tries: ReturnType<typeof Tries.make>) {
    const { world, loads } = t;
    const now = (): number => world.clock.mono();
    /** Waits among those with a handle, the most urgent first. */
    const hand = async (trip: Trip): Promise<Taken | null> => {
      const from = (not: ReadonlySet<string>): Listed | null => t.choice.decode(trip.rule, trip.reader!, not);
      for (;;) {
        const spot = t.hands.enter(trip.rule, trip.due);
        t.pump();
        if (!(await spot.turn) || trip.sink.gone()) return null;
        const s = tries.pick(trip, from);
        if (s) return { s, free: loads.take(s.id, trip.rule.weight) };
        await Timer.nap(world.clock, LOOK);
      }
    };
    const first = (trip: Trip, s: Listed, from: number): void => {
      loads.timed(trip.reader!.id, s.id, now() - from);
      world.tell({ what: 'streams', key: trip.v.key, attempt: trip.v.attempt, server: s.id });
    };
    /** Hands pieces on as they come; what it heard that can't be is kept in `wrong`, and ends the stream. */
    const hearer = (trip: Trip, s: Listed, check: Checking) => {
      const from = now();
      const ear = {
        wrong: null as string | null,
        take(p: Piece): boolean {
          if (ear.wrong !== null) return false;
          const look = check.look(p);
          if (!look.ok) {
            ear.wrong = look.why;
            return false;
          }
          if (look.n !== undefined) {
            if (look.n === 1) first(trip, s, from);
            trip.life.send('piece');
            trip.sink.piece(look.n, look.text!);
          } else if (look.end) {
            trip.life.send('whole');
            trip.sink.end(look.end.count, look.end.digest);
          }
          return !trip.sink.gone();
        },
      };
      return ear;
    };
    /** The stream is over without its end: again if it is proven unrun, else the request is given up. */
    const failed = (trip: Trip, s: Listed, f: BackFault, count: number): void => {
      if (f.ran === 'no' && count === 0) {
        const more = tries.spend(trip, f, s);
        trip.life.send(f.code === 'lapsed' ? 'lapse' : 'unrun');
        if (!more) trip.life.send('give');
        return;
      }
      if (f.dark) t.sighted(s);
      trip.why =
        count > 0
          ? Verdicts.maybe('cut', `The answer was cut after ${count} pieces: ${f.why}`)
          : Verdicts.maybe('mayhaverun', `${s.id}: ${f.why}`);
      trip.life.send('give');
    };
    const fault = (got: Result<unknown, BackFault>, wrong: string | null): BackFault => {
      if (wrong !== null) return broken(wrong);
      return got.ok ? broken('the stream stopped before its end') : got.val;
    };
    const send = async (trip: Trip, s: Listed, handle: Handle, bound: Bound): Promise<void> => {
      const { key, attempt } = trip.v,
        { pieces, weight } = trip.rule;
      trip.life.send('send');
      world.tell({ what: 'send', part: 'decode', server: s.id, key, attempt });
      const check = StreamCheck.make({ key, attempt, born: s.born });
      const ear = hearer(trip, s, check);
      const job = { key, attempt, ...Urgency.of(t), ...bound, handle, pieces, weight };
      const ms = Math.max(IDLE, Math.min(PATIENCE, trip.due - now()));
      const got = await t.back.decode(s.addr, job, ms, (p) => ear.take(p));
      if (trip.life.machine.current !== 'ended') failed(trip, s, fault(got, ear.wrong), check.count());
    };
    return async (trip: Trip): Promise<void> => {
      t.demand.write += trip.rule.weight;
      const got = await hand(trip);
      const bound = tries.bound(got?.s ?? null);
      if (got && trip.handle && bound && !trip.sink.gone()) await send(trip, got.s, trip.handle, bound);
      else trip.life.send('give');
      got?.free();
      t.demand.write -= trip.rule.weight;
      t.pump();
    };
  },
};
