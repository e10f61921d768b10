import type { Clock, Ident, PostBox, Rule } from '@pumicebarrow/forms';
import type { Loan } from '@pumicebarrow/registry';
import type { LoadBook } from '../loadbook.js';
import type { Choosing } from '../choosing.js';
import { Share } from '../share.js';
import { LoanWords } from './loanwords.js';

type Part = 'prefill' | 'decode';
type Tools = {
  clock: Clock;
  post: PostBox;
  choice: Choosing;
  loads: LoadBook;
  loans: () => readonly Loan[];
  slots: (server: string) => number;
  /** The weight of live requests that wait at this daemon for this part, and not for another. */
  waiting: (part: Part) => number;
  /** What live work of the whole fleet wants, as it last checked in. */
  load: () => { read: number; write: number };
  roster: () => readonly Ident[];
  lender: (server: string) => Ident | null;
  tell: (part: Part, servers: readonly string[]) => void;
};
const ASK = 300;
const AGAIN = 200;
/** Under what name room of a part is promised to those that were given a turn. */
const PROMISED = { prefill: '*turn', decode: '*hand' } as const;

/**
 * Looks whether live work would wait if what is lent counted as taken, and calls it back. Invariant: the live request
 * itself is never held up by that; it goes on as if nothing were lent. A daemon's share is a guess: what is beyond it
 * would wait only if the fleet's live work, with all that is under way here counted as new, has no room beside loans.
 */
export const LiveWatch = {
  make(t: Tools) {
    const told = new Map<string, number>();
    const would = (part: Part, weight: number, loans: readonly Loan[]): boolean => {
      const list = t.choice.usable(part);
      const n = t.roster().filter((r) => r.role === 'counter').length;
      const lent = new Map(loans.map((l) => [l.server, l.slots]));
      const share = (id: string): number => Share.of(Math.max(0, t.slots(id) - (lent.get(id) ?? 0)), n);
      const used = list.reduce((a, s) => a + t.loads.at(s.id), 0) + t.loads.at(PROMISED[part]) + t.waiting(part);
      const left = list.reduce((a, s) => a + share(s.id), 0);
      const all = list.reduce((a, s) => a + Math.max(0, t.slots(s.id) - (lent.get(s.id) ?? 0)), 0);
      const fleet = part === 'prefill' ? t.load().read : t.load().write;
      return used > 0 && used + weight > left && fleet + used + weight > all;
    };
    const recall = (loan: Loan): boolean => {
      if (t.clock.mono() - (told.get(loan.server) ?? -Infinity) < AGAIN) return false;
      told.set(loan.server, t.clock.mono());
      const holder = t.roster().find((r) => r.id === loan.holder) ?? null;
      for (const who of [holder, t.lender(loan.server)])
        if (who) void t.post.ask(who.addr, who.id, 'loan.recall', { server: loan.server }, LoanWords.recalled, ASK);
      return true;
    };
    const check = (part: Part, weight: number, loans: readonly Loan[]): void => {
      const lent = loans.filter((l) => l.part === part && l.slots > 0);
      if (lent.length === 0 || !would(part, weight, loans)) return;
      const called = lent.filter(recall).map((l) => l.server);
      if (called.length > 0) t.tell(part, called);
    };
    return {
      /** A live request of this rule has come in. */
      arrived(rule: Rule): void {
        const loans = t.loans();
        check('prefill', rule.weight, loans);
        check('decode', rule.weight, loans);
      },
      /** A live request of this rule has been read, and wants a decode server. */
      handed(rule: Rule): void {
        check('decode', rule.weight, t.loans());
      },
    };
  },
};
