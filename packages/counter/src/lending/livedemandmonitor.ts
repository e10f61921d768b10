import type { Clock, Ident, Messenger, NamedRoute } from '@pumicebarrow/forms';
import type { Loan } from '@pumicebarrow/registry';
import type { InFlightLoads } from '../inflightloads.js';
import type { ServerPicker } from '../serverpicker.js';
import { SlotShare } from '../slotshare.js';
import { LoanMessages } from './loanmessages.js';

type Stage = 'prefill' | 'decode';
type Dependencies = {
  clock: Clock;
  post: Messenger;
  choice: ServerPicker;
  loads: InFlightLoads;
  loans: () => readonly Loan[];
  slots: (server: string) => number;
  /** Weight of live requests that wait at this daemon for this stage only. */
  waiting: (stage: Stage) => number;
  /** Load of the whole fleet by live requests, as of its last check-in: `read` is prefill, `write` is decode. */
  load: () => { read: number; write: number };
  roster: () => readonly Ident[];
  lender: (server: string) => Ident | null;
  /** Called with the servers whose loans are recalled. */
  onRecall: (stage: Stage, servers: readonly string[]) => void;
};
const REQUEST_TIMEOUT_MS = 300;
/** Least time between two recalls of a loan. */
const RECALL_INTERVAL_MS = 200;
/** Keys under which the load of requests that have left a queue but have no server yet is tracked. */
const RESERVED_LOAD_KEYS = { prefill: '*turn', decode: '*hand' } as const;

/**
 * Recalls loans when live requests would have to wait if lent capacity counted as used. Invariant: the live request
 * itself is never delayed by this; it proceeds as if nothing were lent. A daemon's share of a server is an estimate:
 * a request beyond it would wait only if the fleet's live load, with everything in flight here counted as not yet
 * included, does not fit beside the loans.
 */
export const LiveDemandMonitor = {
  make(deps: Dependencies) {
    const recalledAt = new Map<string, number>();
    const wouldWait = (stage: Stage, weight: number, loans: readonly Loan[]): boolean => {
      const servers = deps.choice.usable(stage);
      const daemons = deps.roster().filter((r) => r.role === 'counter').length;
      const lentSlots = new Map(loans.map((l) => [l.server, l.slots]));
      const shareOf = (id: string): number =>
        SlotShare.of(Math.max(0, deps.slots(id) - (lentSlots.get(id) ?? 0)), daemons);
      const used =
        servers.reduce((a, s) => a + deps.loads.weightAt(s.id), 0) +
        deps.loads.weightAt(RESERVED_LOAD_KEYS[stage]) +
        deps.waiting(stage);
      const ownShare = servers.reduce((a, s) => a + shareOf(s.id), 0);
      const fleetCapacity = servers.reduce((a, s) => a + Math.max(0, deps.slots(s.id) - (lentSlots.get(s.id) ?? 0)), 0);
      const fleetLoad = stage === 'prefill' ? deps.load().read : deps.load().write;
      return used > 0 && used + weight > ownShare && fleetLoad + used + weight > fleetCapacity;
    };
    const recall = (loan: Loan): boolean => {
      if (deps.clock.mono() - (recalledAt.get(loan.server) ?? -Infinity) < RECALL_INTERVAL_MS) return false;
      recalledAt.set(loan.server, deps.clock.mono());
      const holder = deps.roster().find((r) => r.id === loan.holder) ?? null;
      for (const ident of [holder, deps.lender(loan.server)])
        if (ident)
          void deps.post.ask(
            ident.addr,
            ident.id,
            'loan.recall',
            { server: loan.server },
            LoanMessages.recallReply,
            REQUEST_TIMEOUT_MS,
          );
      return true;
    };
    const check = (stage: Stage, weight: number, loans: readonly Loan[]): void => {
      const lent = loans.filter((l) => l.part === stage && l.slots > 0);
      if (lent.length === 0 || !wouldWait(stage, weight, loans)) return;
      const recalled = lent.filter(recall).map((l) => l.server);
      if (recalled.length > 0) deps.onRecall(stage, recalled);
    };
    return {
      /** Called when a live request of this route has arrived. */
      onArrival(route: NamedRoute): void {
        const loans = deps.loans();
        check('prefill', route.weight, loans);
        check('decode', route.weight, loans);
      },
      /** Called when a live request of this route has finished prefill and needs a decode server. */
      onPrefillDone(route: NamedRoute): void {
        check('decode', route.weight, deps.loans());
      },
    };
  },
};
