import { Hash, Timer, Verdicts, type Rule, type Verdict } from '@pumicebarrow/forms';
import { interpret } from 'robot3';
import type { BackFault } from './backfault.js';
import type { CallerSink } from './callersink.js';
import type { Handle } from './handle.js';
import type { Listed } from './listed.js';
import type { RunTools } from './runtools.js';
import { StreamCheck } from './streamcheck.js';
import type { Visit } from './visit.js';
import { VisitLife } from './visitlife.js';

const IDLE = 2500;
const PATIENCE = 4000;
const MOST = 15;
const tooOld = (wait: number): Verdict =>
  Verdicts.not('late', 'No server had room in time.', Math.min(MOST, Math.max(1, Math.ceil(wait / 1000))));

/**
 * One visit, from the gate to its outcome, written straight down.
 *  Invariants: nothing is sent while this daemon isn't sure of its charter; every send is preceded, in the same
 *  turn, by a look at a young list, and bound by that list's age so that
 * it can't take hold later; a visit is sent again only
 * on proof that it has not run, and each time from the bucket; the sink hears one outcome.
 */
export const Run = {
  make(t: RunTools) {
    const { world, town, select, loads, witness } = t;
    const now = (): number => world.clock.mono();

    const go = async (
      v: Visit,
      rule: Rule,
      sink: CallerSink,
      due: number,
      settled: () => void,
    ): Promise<{ verdict: Verdict; sent: boolean; ran: boolean }> => {
      const life = interpret(VisitLife, () => undefined);
      const is = (): string => life.machine.current;
      const prefix = Hash.text(v.prefix);
      const avoid = new Set<string>();
      let handle: Handle | null = null;
      let reader: Listed | null = null;
      let why: Verdict = tooOld(t.waitlist.foresee(rule.urgency));
      life.send('turn');
      life.send('marked');
      const spend = (f: BackFault, s: Listed): boolean => {
        why = Verdicts.not(f.code, `${s.id}: ${f.why}`, 1);
        if (f.dark) t.sighted(s);
        if (f.code !== 'lapsed') avoid.add(s.id);
        if (now() >= due || !t.bucket.take()) return false;
        world.tell({ what: 'extra', key: v.key, attempt: v.attempt, code: f.code });
        return true;
      };
      const room = async (pick: () => Listed | null): Promise<Listed | null> => {
        for (;;) {
          const s = pick();
          if (s || now() >= due || sink.gone()) return s;
          await Timer.nap(world.clock, 20);
        }
      };
      /** Waits among those with a handle, the most urgent first. */
      const hand = async (pick: () => Listed | null): Promise<Listed | null> => {
        for (;;) {
          const spot = t.hands.enter(rule, due);
          t.pump();
          if (!(await spot.turn) || sink.gone()) return null;
          const s = pick();
          if (s) return s;
          await Timer.nap(world.clock, 20);
        }
      };
      const read = async (): Promise<void> => {
        t.demand.read += rule.weight;
        const pick = (not: ReadonlySet<string>): Listed | null => select.prefill(rule, prefix, not);
        const s = await room(() => (t.sure() ? (pick(avoid) ?? (avoid.size > 0 ? pick(new Set()) : null)) : null));
        settled();
        const free = s ? loads.take(s.id, rule.weight) : null;
        const bound = s && town.good(s.id, s.born) ? t.hails.bound(s, town.until()) : null;
        if (s && free && bound) {
          world.tell({
            what: 'send',
            part: 'prefill',
            server: s.id,
            key: v.key,
            attempt: v.attempt,
            version: t.version(),
          });
          const got = await t.back.prefill(
            s.addr,
            { key: v.key, attempt: v.attempt, ...bound, prefix: v.prefix, part: v.part, weight: rule.weight },
            Math.max(200, Math.min(PATIENCE, due - now())),
          );
          const h = got.ok ? got.val : null;
          const fits =
            h &&
            h.key === v.key &&
            h.attempt === v.attempt &&
            h.server === s.id &&
            h.born === s.born &&
            h.digest === Hash.text(v.prefix + v.part);
          if (h && fits) {
            handle = h;
            reader = s;
            life.send('read');
          } else {
            const f: BackFault = got.ok
              ? { ran: 'no', code: 'bad', dark: false, why: 'gave a handle that does not fit the visit' }
              : got.val;
            life.send(spend({ ...f, ran: 'no' }, s) ? 'again' : 'give');
          }
        } else life.send('give');
        free?.();
        t.demand.read -= rule.weight;
        t.pump();
      };
      const write = async (): Promise<void> => {
        t.demand.write += rule.weight;
        const pick = (not: ReadonlySet<string>): Listed | null => select.decode(rule, reader!, not);
        const s = await hand(() => (t.sure() ? (pick(avoid) ?? (avoid.size > 0 ? pick(new Set()) : null)) : null));
        const free = s ? loads.take(s.id, rule.weight) : null;
        const bound = s && town.good(s.id, s.born) ? t.hails.bound(s, town.until()) : null;
        if (s && free && handle && bound && !sink.gone()) {
          life.send('send');
          world.tell({ what: 'send', part: 'decode', server: s.id, key: v.key, attempt: v.attempt });
          const check = StreamCheck.make({ key: v.key, attempt: v.attempt, born: s.born });
          const from = now();
          let broken: string | null = null;
          const got = await t.back.decode(
            s.addr,
            { key: v.key, attempt: v.attempt, ...bound, handle, pieces: rule.pieces, weight: rule.weight },
            Math.max(IDLE, Math.min(PATIENCE, due - now())),
            (p) => {
              if (broken) return false;
              const look = check.look(p);
              if (!look.ok) {
                broken = look.why;
                return false;
              }
              if (look.n !== undefined) {
                if (look.n === 1) {
                  loads.timed(reader!.id, s.id, now() - from);
                  world.tell({ what: 'streams', key: v.key, attempt: v.attempt, server: s.id });
                }
                life.send('piece');
                sink.piece(look.n, look.text!);
              } else if (look.end) {
                life.send('whole');
                sink.end(look.end.count, look.end.digest);
              }
              return !sink.gone();
            },
          );
          if (is() !== 'ended') {
            const f: BackFault =
              broken !== null
                ? { ran: 'maybe', code: 'broken', dark: false, why: broken }
                : got.ok
                  ? { ran: 'maybe', code: 'broken', dark: false, why: 'the stream stopped before its end' }
                  : got.val;
            if (f.ran === 'no' && check.count() === 0) {
              const more = spend(f, s);
              life.send(f.code === 'lapsed' ? 'lapse' : 'unrun');
              if (!more) life.send('give');
            } else {
              if (f.dark) t.sighted(s);
              why =
                check.count() > 0
                  ? Verdicts.maybe('cut', `The outcome was cut after ${check.count()} pieces: ${f.why}`)
                  : Verdicts.maybe('mayhaverun', `${s.id}: ${f.why}`);
              life.send('give');
            }
          }
        } else life.send('give');
        free?.();
        t.demand.write -= rule.weight;
        t.pump();
      };
      while (is() === 'reading' || is() === 'handing') await (is() === 'reading' ? read() : write());
      settled();
      if (is() === 'ended') return { verdict: Verdicts.ran('ran', 'The outcome is whole.'), sent: true, ran: true };
      return { verdict: why, sent: is() !== 'bounced', ran: false };
    };

    return async (v: Visit, sink: CallerSink): Promise<Verdict> => {
      const end = (verdict: Verdict, cut: boolean): Verdict => {
        world.tell({ what: 'visit', key: v.key, attempt: v.attempt, ran: verdict.ran, code: verdict.code });
        if (cut) sink.cut(verdict);
        else sink.bounce(verdict);
        return verdict;
      };
      const rule = t.gate.check(v);
      if (rule.err) {
        await witness.bounced(v);
        return end(rule.val, false);
      }
      t.bucket.visit();
      world.tell({ what: 'gated', key: v.key, attempt: v.attempt, rule: rule.val.name });
      const due = now() + rule.val.deadline;
      const spot = t.waitlist.enter(rule.val, due);
      const book = await witness.open(v);
      if (book.bad) {
        spot.leave();
        return end(book.bad, false);
      }
      world.tell({ what: 'recorded', key: v.key, attempt: v.attempt, owners: book.owners.map((o) => o.id) });
      t.pump();
      const turn = await spot.turn;
      const mine = turn ? t.gate.begin(rule.val) : null;
      const marked = mine && !sink.gone() ? await witness.sent(v, book.owners, book.digest) : false;
      if (!mine || !marked || now() >= due) {
        mine?.settled();
        mine?.over();
        await witness.close(v, book.owners, book.digest);
        t.pump();
        return end(
          mine && !marked
            ? Verdicts.not('noledger', 'The visit could not be marked as sent.', 1)
            : tooOld(t.waitlist.foresee(rule.val.urgency)),
          false,
        );
      }
      const out = await go(v, rule.val, sink, due, mine.settled);
      mine.over();
      t.pump();
      if (out.ran) {
        void witness.ran(v, book.owners, book.digest);
        world.tell({ what: 'visit', key: v.key, attempt: v.attempt, ran: 'yes', code: 'ran' });
        return out.verdict;
      }
      if (out.verdict.ran === 'no') await witness.close(v, book.owners, book.digest);
      return end(out.verdict, out.verdict.code === 'cut');
    };
  },
};
