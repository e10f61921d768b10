import type { Clock, Doc } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { Loan } from '@pumicebarrow/registry';

type Step = { mark: Doc['mark']; wall: number; loan: Loan };
const MAX_STEPS = 32;

/** The loan records that this daemon has received, the latest last. Invariant: at most MAX_STEPS per server. */
export const LoanHistory = {
  make(clock: Clock, recordStore: RecordStore) {
    const stepsByServer = new Map<string, readonly Step[]>();
    recordStore.onChange((doc) => {
      if (!doc.name.startsWith('loan:')) return;
      const loan = doc.body as Loan,
        steps = stepsByServer.get(loan.server) ?? [];
      stepsByServer.set(loan.server, [...steps, { mark: doc.mark, wall: clock.wall(), loan }].slice(-MAX_STEPS));
    });
    return { of: (server: string): readonly Step[] => stepsByServer.get(server) ?? [] };
  },
};
