import {
  Fading,
  Hash,
  Lot,
  Timer,
  Verdicts,
  type Ident,
  type PostBox,
  type Verdict,
  type World,
} from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import { LedgerWords } from './ledgerwords.js';
import type { Request } from './request.js';

type Say = Static<typeof LedgerWords.opened>['say'] | 'lost' | 'unsent';
type Step = 'sent' | 'closed' | 'ran';
const ASK = 350;
const SUSPECT = 3000;
const DOUBTS = 1024;

/**
 * The request's side of the ledger. Invariants: nothing goes to a server before both owners pinned at the opening
 * have acknowledged the mark; a try after the first is opened only on an owner's word that the one before did not run;
 * when an owner may have recorded an opening without our knowing, that try is given up, so that an 'open' record
 * is always one whose mark the sender needs.
 */
export const Witness = {
  make(world: World, post: PostBox, roster: () => readonly Ident[], known: () => readonly Ident[] = roster) {
    const { clock } = world;
    /** Owners that did not reply lately. */
    const doubt = Fading.make<true>(clock.mono, DOUBTS);
    const rendezvous = (key: string): Ident[] =>
      Lot.rank(
        `key:${key}`,
        roster().filter((r) => r.role === 'counter' && !doubt.get(`${r.id}/${r.born}`)),
        (r) => r.id,
      );
    /**
     * Who may record a request, first those who are to: the two lives that it names, or by rendezvous over the live
     * daemons.
     */
    const ranked = (v: Request): Ident[] =>
      v.owners ? known().filter((r) => v.owners!.includes(`${r.id}/${r.born}`)) : rendezvous(v.key);
    const ask = async (o: Ident, v: Request, digest: string, proven: boolean): Promise<Say> => {
      const r = await post.ask(
        o.addr,
        o.id,
        'ledger.open',
        { key: v.key, attempt: v.attempt, digest, proven, life: o.born },
        LedgerWords.opened,
        ASK,
      );
      if (r.ok) return r.val.say;
      doubt.set(`${o.id}/${o.born}`, true, SUSPECT);
      return r.val === 'lost' ? 'lost' : 'unsent';
    };
    const step = async (o: Ident, v: Request, digest: string, to: Step): Promise<boolean> => {
      const r = await post.ask(
        o.addr,
        o.id,
        'ledger.step',
        { key: v.key, attempt: v.attempt, digest, to },
        LedgerWords.stepped,
        ASK,
      );
      return r.ok && r.val.ok;
    };
    const all = async (list: readonly Ident[], v: Request, digest: string, to: Step): Promise<boolean> =>
      (await Promise.all(list.map((o) => step(o, v, digest, to)))).every((x) => x);
    const digestOf = (v: Request): string => Hash.text(`${v.rule ?? ''}\n${v.prefix.length}\n${v.prefix}${v.part}`);

    const judge = (says: readonly Say[]): Verdict | null => {
      const has = (s: Say): boolean => says.includes(s);
      if (has('other')) return Verdicts.not('otherbody', 'This key was used with another body.');
      if (has('ran')) return Verdicts.ran('ran', 'An earlier try of this request ran.');
      if (has('sent')) return Verdicts.maybe('mayhaverun', 'An earlier try of this request may have run.');
      if (has('twin')) return Verdicts.maybe('twin', 'This attempt, or a later one, is known already.');
      if (has('closed')) return Verdicts.not('closed', 'This attempt is closed; use the next number.', 0);
      if (has('lost')) return Verdicts.not('noledger', 'A daemon that records requests did not reply.', 1);
      return null;
    };
    return {
      /** Two owners are pinned, or the request goes no further. */
      async open(v: Request): Promise<{ bad: Verdict | null; owners: Ident[]; digest: string }> {
        const digest = digestOf(v),
          order = ranked(v);
        const asked = order.slice(0, v.attempt > 1 ? 3 : 2);
        const says = await Promise.all(asked.map((o) => ask(o, v, digest, false)));
        const lit = (): Ident[] => asked.filter((_, i) => says[i] === 'ok');
        const give = async (bad: Verdict) => {
          await all(lit(), v, digest, 'closed');
          return { bad, owners: [], digest };
        };
        const first = judge(says);
        if (first) return give(first);
        if (v.attempt > 1) {
          if (!says.includes('ok'))
            return give(Verdicts.maybe('unproven', 'Nothing here proves that the earlier try did not run.'));
          for (const [i, o] of asked.entries()) if (says[i] === 'unknown') says[i] = await ask(o, v, digest, true);
        }
        for (const o of order.slice(asked.length)) {
          if (lit().length >= 2 || judge(says)) break;
          asked.push(o);
          says.push(await ask(o, v, digest, v.attempt > 1));
        }
        const late = judge(says);
        if (late) return give(late);
        if (lit().length < 2)
          return give(Verdicts.not('noledger', 'Too few daemons can be reached to record the request.', 1));
        return { bad: null, owners: lit(), digest };
      },
      sent: (v: Request, owners: readonly Ident[], digest: string): Promise<boolean> => all(owners, v, digest, 'sent'),
      ran: (v: Request, owners: readonly Ident[], digest: string): Promise<boolean> => all(owners, v, digest, 'ran'),
      close: (v: Request, owners: readonly Ident[], digest: string): Promise<boolean> =>
        all(owners, v, digest, 'closed'),
      /** For a request refused at admission: lets its next try be proven. Never holds the outcome back for long. */
      async refused(v: Request): Promise<void> {
        await Timer.within(clock, 150, all(ranked(v).slice(0, 2), v, digestOf(v), 'closed'), () => false);
      },
    };
  },
};
