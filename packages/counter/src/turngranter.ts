import type { Clock } from '@pumicebarrow/forms';
import type { RequestRunnerDependencies } from './requestrunnerdependencies.js';

type Dependencies = Pick<RequestRunnerDependencies, 'admission' | 'queue' | 'decodeQueue' | 'choice' | 'loads'> & {
  clock: Clock;
  serving: () => boolean;
};

/**
 * Grants turns to queued requests: at admission, and, after prefill, for a decode server. Invariant: the capacity for
 * which a turn was granted counts as reserved until that request has had the chance to reserve it itself.
 */
export const TurnGranter = {
  make(deps: Dependencies): () => void {
    return () => {
      const reservations: (() => void)[] = [];
      deps.queue.grantTurns((route) => {
        if (!deps.serving() || !deps.admission.hasRoom(route)) return false;
        reservations.push(deps.loads.reserve('*turn', route.weight));
        return true;
      });
      deps.decodeQueue.grantTurns((route) => {
        if (!deps.choice.hasRoom('decode', route, '*hand')) return false;
        reservations.push(deps.loads.reserve('*hand', route.weight));
        return true;
      });
      if (reservations.length === 0) return;
      deps.clock.after(0, () => {
        for (const release of reservations) release();
      });
    };
  },
};
