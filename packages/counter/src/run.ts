import { Hash, Verdicts, type Ident, type Rule, type Verdict } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import type { CallerSink } from './callersink.js';
import { Reading } from './reading.js';
import type { RunTools } from './runtools.js';
import { Tries } from './tries.js';
import type { Trip } from './trip.js';
import type { Request } from './request.js';
import { RequestLife } from './requestlife.js';
import { Writing } from './writing.js';

type Turn = { settled: () => void; over: () => void };
type Book = { owners: readonly Ident[]; digest: string };
type Done = { verdict: Verdict; ran: boolean };
const MOST = 15;
const tooOld = (wait: number): Verdict =>
  Verdicts.not('late', 'No server had room in time.', Math.min(MOST, Math.max(1, Math.ceil(wait / 1000))));

/**
 * One request, from admission to its outcome, written straight down.
 * Invariants: nothing is sent while this daemon isn't sure of its charter; every send is preceded, in the same turn, by
 * a look at a young list, and bound by that list's age so that it can't take hold later; a request is sent again only
 * on proof that it has not run, and each time from the bucket; the sink hears one outcome.
 */
export const Run = {
  make(t: RunTools) {
    const { world, witness } = t;
    const now = (): number => world.clock.mono();
    const tries = Tries.make(t);
    const read = Reading.make(t, tries),
      write = Writing.make(t, tries);
    const late = (rule: Rule): Verdict => tooOld(t.queue.foresee(rule.urgency));

    /** A marked request is read and written, again and again where that is safe, until it is whole or given up. */
    const go = async (v: Request, rule: Rule, sink: CallerSink, due: number, settled: () => void): Promise<Done> => {
      const life = interpret(RequestLife, () => undefined);
      const prefix = Hash.text(v.prefix);
      const trip: Trip = {
        ...{ v, rule, sink, due, settled, life, prefix, why: late(rule) },
        avoid: new Set(),
        handle: null,
        reader: null,
      };
      const is = (): string => life.machine.current;
      life.send('turn');
      life.send('marked');
      while (is() === 'reading' || is() === 'handing') await (is() === 'reading' ? read(trip) : write(trip));
      settled();
      if (is() === 'ended') return { verdict: Verdicts.ran('ran', 'The answer is whole.'), ran: true };
      return { verdict: trip.why, ran: false };
    };
    const told = (v: Request, verdict: Verdict): void =>
      world.tell({ what: 'visit', key: v.key, attempt: v.attempt, ran: verdict.ran, code: verdict.code });
    const end = (v: Request, sink: CallerSink, verdict: Verdict): Verdict => {
      told(v, verdict);
      if (verdict.code === 'cut') sink.cut(verdict);
      else sink.refuse(verdict);
      return verdict;
    };
    /** Its turn never came, or it could not be marked in time: the try is closed before the caller is told. */
    const unmarked = async (
      v: Request,
      rule: Rule,
      book: Book,
      mine: Turn | null,
      marked: boolean,
    ): Promise<Verdict> => {
      mine?.settled();
      mine?.over();
      await witness.close(v, book.owners, book.digest);
      t.pump();
      return mine && !marked ? Verdicts.not('noledger', 'The request could not be marked as sent.', 1) : late(rule);
    };

    return async (v: Request, sink: CallerSink): Promise<Verdict> => {
      const rule = t.admission.check(v);
      if (rule.err) {
        await witness.refused(v);
        return end(v, sink, rule.val);
      }
      t.bucket.request();
      world.tell({ what: 'gated', key: v.key, attempt: v.attempt, rule: rule.val.name });
      const due = now() + rule.val.deadline;
      const spot = t.queue.enter(rule.val, due);
      const book = await witness.open(v);
      if (book.bad) {
        spot.leave();
        return end(v, sink, book.bad);
      }
      const { owners, digest } = book;
      world.tell({ what: 'recorded', key: v.key, attempt: v.attempt, owners: owners.map((o) => o.id) });
      t.pump();
      const turn = await spot.turn;
      const mine = turn ? t.admission.begin(rule.val) : null;
      const marked = mine && !sink.gone() ? await witness.sent(v, owners, digest) : false;
      if (!mine || !marked || now() >= due) return end(v, sink, await unmarked(v, rule.val, book, mine, marked));
      const out = await go(v, rule.val, sink, due, mine.settled);
      mine.over();
      t.pump();
      if (out.ran) {
        void witness.ran(v, owners, digest);
        told(v, out.verdict);
        return out.verdict;
      }
      if (out.verdict.ran === 'no') await witness.close(v, owners, digest);
      return end(v, sink, out.verdict);
    };
  },
};
