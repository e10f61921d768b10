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
  waiting: () => number;
  roster: () => readonly Ident[];
  lender: (server: string) => Ident | null;
  tell: (part: Part, servers: readonly string[]) => void;
};
const ASK = 300;
const AGAIN = 200;

/**
 * Looks whether live work would wait if what is lent counted as taken, and calls it back. Invariant: the live request
 * itself is never held up by that; it goes on as if nothing were lent.
 */
export const LiveWatch = {
  make(t: Tools) {
    const told = new Map<string, number>();
    const would = (part: Part, rule: Rule, loans: readonly Loan[]): boolean => {
      const list = t.choice.usable(part);
      const n = t.roster().filter((r) => r.role === 'counter').length;
      const lent = new Map(loans.map((l) => [l.server, l.slots]));
      const share = (id: string): number => Share.of(Math.max(0, t.slots(id) - (lent.get(id) ?? 0)), n);
      const used = list.reduce((a, s) => a + t.loads.at(s.id), 0) + t.loads.at('*turn') + t.waiting();
      return used > 0 && used + rule.weight > list.reduce((a, s) => a + share(s.id), 0);
    };
    const recall = (loan: Loan): boolean => {
      if (t.clock.mono() - (told.get(loan.server) ?? -Infinity) < AGAIN) return false;
      told.set(loan.server, t.clock.mono());
      const holder = t.roster().find((r) => r.id === loan.holder) ?? null;
      for (const who of [holder, t.lender(loan.server)])
        if (who) void t.post.ask(who.addr, who.id, 'loan.recall', { server: loan.server }, LoanWords.recalled, ASK);
      return true;
    };
    return {
      /** A live request of this rule has come in. */
      arrived(rule: Rule): void {
        const loans = t.loans();
        for (const part of ['prefill', 'decode'] as const) {
          const lent = loans.filter((l) => l.part === part && l.slots > 0);
          if (lent.length === 0 || !would(part, rule, loans)) continue;
          const called = lent.filter(recall).map((l) => l.server);
          if (called.length > 0) t.tell(part, called);
        }
      },
    };
  },
};
