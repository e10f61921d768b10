import type { FleetConfiguration, NamedRoute, Verdict } from '@pumicebarrow/forms';
import { AdmissionControl } from './admissioncontrol.js';
import type { Borrower } from './lending/borrower.js';
import { BorrowedServerPicker } from './lending/borrowedserverpicker.js';
import type { LoadTracker } from './loadtracker.js';
import { TurnGranter } from './turngranter.js';
import { RequestRunner } from './requestrunner.js';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';
import { Queue } from './queue.js';

type Dependencies = Pick<
  RequestRunnerDependencies,
  'world' | 'choice' | 'town' | 'hails' | 'witness' | 'back' | 'sighted' | 'version' | 'sure'
> & {
  site: string;
  charter: () => FleetConfiguration | null;
  open: () => Verdict | null;
  young: () => boolean;
  serving: () => boolean;
  borrower: ReturnType<typeof Borrower.make>;
  loads: ReturnType<typeof LoadTracker.make>;
};

/**
 * Runs burst requests on borrowed servers. They take the same path as live requests, with admission, queues and loads
 * of their own. Invariants: live requests share none of these, so they never wait for borrowed ones; every send is
 * bounded by the lease on its server and has the lowest urgency there; there are no retries, a request that meets a
 * fault goes back to its burst.
 */
export const BorrowedRequestRunner = {
  make(deps: Dependencies) {
    const { clock } = deps.world;
    const queue = Queue.make(clock),
      decodeQueue = Queue.make(clock);
    const serverPicker = BorrowedServerPicker.make({ live: deps.choice, loads: deps.loads, borrower: deps.borrower });
    const admission = AdmissionControl.make({ ...deps, queue, choice: serverPicker });
    const grantTurns = TurnGranter.make({
      clock,
      queue,
      decodeQueue,
      admission,
      choice: serverPicker,
      loads: deps.loads,
      serving: deps.serving,
    });
    const boundedServerClocks = {
      ...deps.hails,
      bound: (s: Parameters<typeof deps.hails.bound>[0], until: number) => {
        const lease = deps.borrower.lease(s.id, s.born);
        return lease && deps.hails.bound(s, Math.min(until, lease.until));
      },
    };
    const retryBudget = { recordRequest: (): void => undefined, tryTake: (): boolean => false, level: (): number => 0 };
    const demand = { read: 0, write: 0 };
    const queues = { queue, decodeQueue, choice: serverPicker, loads: deps.loads };
    const request = RequestRunner.make({
      ...deps,
      ...queues,
      hails: boundedServerClocks,
      admission,
      grantTurns,
      retryBudget,
      demand,
      urgency: 0,
    });
    return {
      request,
      grantTurns,
      inFlight: admission.inFlight,
      /**
       * Slots that requests of a route may use at once: those borrowed at decode servers, or 0 if the borrowed prefill
       * servers cannot take one request.
       */
      slotsFor: (route: NamedRoute): number => {
        const borrowedSlots = (part: 'prefill' | 'decode'): number =>
          serverPicker.usable(part).reduce((n, s) => n + deps.borrower.slots(s.id, s.born), 0);
        return borrowedSlots('prefill') >= route.weight ? borrowedSlots('decode') : 0;
      },
      /** Gives up all queued requests; they have not run. */
      clear(): void {
        queue.clear();
        decodeQueue.clear();
      },
    };
  },
};
