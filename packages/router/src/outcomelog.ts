import { Timer, type Clock, type Log } from '@pumicebarrow/forms';

const EVERY = 5000;
/** The part of the requests of a period that must have ended otherwise than whole before the period is logged. */
const UNUSUAL = 0.1;
const WHOLE = 'whole';

type Tools = {
  clock: Clock;
  log: Log;
  /** Requests by outcome since the start. */
  requests: () => ReadonlyMap<string, number>;
  /** What waits at the servers, in words. */
  servers: () => string;
};

/** Logs how requests ended, for periods in which many were not answered whole. */
export const OutcomeLog = {
  start(t: Tools): () => void {
    let last: ReadonlyMap<string, number> = new Map();
    return Timer.every(t.clock, EVERY, () => {
      const now = t.requests();
      const ended = [...now].map(([outcome, n]) => [outcome, n - (last.get(outcome) ?? 0)] as const);
      last = now;
      const all = ended.reduce((sum, [, n]) => sum + n, 0);
      const whole = ended.find(([outcome]) => outcome === WHOLE)?.[1] ?? 0;
      if (all - whole <= all * UNUSUAL) return;
      const text = ended.flatMap(([outcome, n]) => (n > 0 ? [`${n} ${outcome}`] : [])).join(', ');
      t.log.say(`Requests ended in ${EVERY / 1000} s: ${text}. ${t.servers()}`);
    });
  },
};
