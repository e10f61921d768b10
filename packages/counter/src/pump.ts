import type { Clock } from '@pumicebarrow/forms';
import type { RunTools } from './runtools.js';

type Tools = Pick<RunTools, 'admission' | 'queue' | 'hands' | 'choice' | 'loads'> & {
  clock: Clock;
  serving: () => boolean;
};

/**
 * Gives turns to requests that wait: at admission, and with a handle for a decode server. Invariant: room that a turn
 * was given for counts as taken until that request has had its chance to take it.
 */
export const Pump = {
  make(t: Tools): () => void {
    return () => {
      const turns: (() => void)[] = [];
      t.queue.pump((rule) => {
        if (!t.serving() || !t.admission.room(rule)) return false;
        turns.push(t.loads.take('*turn', rule.weight));
        return true;
      });
      t.hands.pump((rule) => {
        if (!t.choice.roomy('decode', rule, '*hand')) return false;
        turns.push(t.loads.take('*hand', rule.weight));
        return true;
      });
      if (turns.length === 0) return;
      t.clock.after(0, () => {
        for (const f of turns) f();
      });
    };
  },
};
