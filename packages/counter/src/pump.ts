import type { Clock } from '@pumicebarrow/forms';
import type { RunTools } from './runtools.js';

type Dependencies = Pick<RunTools, 'admission' | 'queue' | 'decodeQueue' | 'choice' | 'loads'> & {
  clock: Clock;
  serving: () => boolean;
};

/**
 * Gives turns to requests that wait: at admission, and with a handle for a decode server. Invariant: room that a turn
 * was given for counts as taken until that request has had its chance to take it.
 */
export const TurnGranter = {
  make(deps: Dependencies): () => void {
    return () => {
      const reservations: (() => void)[] = [];
      deps.queue.pump((route) => {
        if (!deps.serving() || !deps.admission.room(route)) return false;
        reservations.push(deps.loads.take('*turn', route.weight));
        return true;
      });
      deps.decodeQueue.pump((route) => {
        if (!deps.choice.roomy('decode', route, '*hand')) return false;
        reservations.push(deps.loads.take('*hand', route.weight));
        return true;
      });
      if (reservations.length === 0) return;
      deps.clock.after(0, () => {
        for (const release of reservations) release();
      });
    };
  },
};
