import type { Clock, Doc } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { Loan } from '@pumicebarrow/registry';

type Step = { mark: Doc['mark']; wall: number; loan: Loan };
const MOST = 32;

/** What this daemon heard of each server's loans, the latest last. Invariant: at most MOST steps a server. */
export const LoanDiary = {
  make(clock: Clock, shelf: Holding) {
    const rows = new Map<string, readonly Step[]>();
    shelf.heed((doc) => {
      if (!doc.name.startsWith('loan:')) return;
      const loan = doc.body as Loan,
        old = rows.get(loan.server) ?? [];
      rows.set(loan.server, [...old, { mark: doc.mark, wall: clock.wall(), loan }].slice(-MOST));
    });
    return { of: (server: string): readonly Step[] => rows.get(server) ?? [] };
  },
};
