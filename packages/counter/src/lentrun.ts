import type { Charter, Rule, Verdict } from '@pumicebarrow/forms';
import { Admission } from './admission.js';
import type { Borrower } from './lending/borrower.js';
import { LentChoice } from './lending/lentchoice.js';
import type { Loads } from './loads.js';
import { Pump } from './pump.js';
import { Run } from './run.js';
import type { RunTools } from './runtools.js';
import { Queue } from './queue.js';

type Tools = Pick<
  RunTools,
  'world' | 'choice' | 'town' | 'hails' | 'witness' | 'back' | 'sighted' | 'version' | 'sure'
> & {
  site: string;
  charter: () => Charter | null;
  open: () => Verdict | null;
  young: () => boolean;
  serving: () => boolean;
  borrower: ReturnType<typeof Borrower.make>;
  loads: ReturnType<typeof Loads.make>;
};

/**
 * The path of borrowed requests: that of live ones, with admission, queues and loads of its own. Invariants: live work
 * shares none of these, so it never waits for what is borrowed; every send is bound by its server's lease, and of the
 * lowest urgency there; there are no extra tries, what finds a fault goes back to its burst.
 */
export const LentRun = {
  make(t: Tools) {
    const { clock } = t.world;
    const queue = Queue.make(clock),
      hands = Queue.make(clock);
    const choice = LentChoice.make({ live: t.choice, loads: t.loads, borrower: t.borrower });
    const admission = Admission.make({ ...t, queue, choice });
    const pump = Pump.make({ clock, queue, hands, admission, choice, loads: t.loads, serving: t.serving });
    const hails = {
      ...t.hails,
      bound: (s: Parameters<typeof t.hails.bound>[0], until: number) => {
        const lent = t.borrower.lease(s.id, s.born);
        return lent && t.hails.bound(s, Math.min(until, lent.until));
      },
    };
    const bucket = { request: (): void => undefined, take: (): boolean => false, level: (): number => 0 };
    const demand = { read: 0, write: 0 };
    const lists = { queue, hands, choice, loads: t.loads };
    const request = Run.make({ ...t, ...lists, hails, admission, pump, bucket, demand, urgency: 0 });
    return {
      request,
      pump,
      under: admission.under,
      /** How much of a rule may be in hand at once: what is lent at decode servers, while readers are lent too. */
      room: (rule: Rule): number => {
        const slots = (part: 'prefill' | 'decode'): number =>
          choice.usable(part).reduce((n, s) => n + t.borrower.slots(s.id, s.born), 0);
        return slots('prefill') >= rule.weight ? slots('decode') : 0;
      },
      /** All that waits is given up, as not run. */
      clear(): void {
        queue.clear();
        hands.clear();
      },
    };
  },
};
