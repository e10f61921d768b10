import { Timer, type Clock, type Log } from '@pumicebarrow/forms';

const LOG_INTERVAL_MS = 5000;
/** A period is logged if more than this fraction of its requests did not complete. */
const MIN_UNSUCCESSFUL_FRACTION = 0.1;
const COMPLETE_OUTCOME = 'whole';

type Dependencies = {
  clock: Clock;
  log: Log;
  /** Number of requests by outcome since the start. */
  requestsByOutcome: () => ReadonlyMap<string, number>;
  /** Text that summarizes the work queued at the servers. */
  serverSummary: () => string;
};

/** Logs the outcomes of requests for periods in which an unusual fraction did not complete. */
export const OutcomeLog = {
  start(deps: Dependencies): () => void {
    let previous: ReadonlyMap<string, number> = new Map();
    return Timer.every(deps.clock, LOG_INTERVAL_MS, () => {
      const current = deps.requestsByOutcome();
      const ended = [...current].map(([outcome, count]) => [outcome, count - (previous.get(outcome) ?? 0)] as const);
      previous = current;
      const total = ended.reduce((sum, [, count]) => sum + count, 0);
      const complete = ended.find(([outcome]) => outcome === COMPLETE_OUTCOME)?.[1] ?? 0;
      if (total - complete <= total * MIN_UNSUCCESSFUL_FRACTION) return;
      const summary = ended.flatMap(([outcome, count]) => (count > 0 ? [`${count} ${outcome}`] : [])).join(', ');
      deps.log.info(`Requests ended in ${LOG_INTERVAL_MS / 1000} s: ${summary}. ${deps.serverSummary()}`);
    });
  },
};
