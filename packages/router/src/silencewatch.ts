import type { Job } from './job.js';
import { PeriodicChecks } from './periodicchecks.js';
import type { RequestHandlerDependencies } from './requesthandlerdependencies.js';
import type { Server } from './server.js';

/** How often runs in progress are checked for silence. */
const SILENCE_CHECK_INTERVAL_MS = 100;
/** A server that owes a response and sends no byte for this long is suspected. */
const SILENCE_LIMIT_MS = 900;
/** A request is expected to be lost if its first event takes longer than this. */
const FIRST_EVENT_TIMEOUT_MS = 2200;
/** Like FIRST_EVENT_TIMEOUT_MS, for the time between two events. */
const NEXT_EVENT_TIMEOUT_MS = 1300;
/** From this many runs on a server counts as busy. */
const BUSY_RUNS = 8;

/**
 * Watches runs for silence: suspects a server that sends nothing at all, and tells when a request seems to be lost. It
 * ends nothing by itself, since a silent run may still go on.
 */
export const SilenceWatch = {
  SILENCE_LIMIT_MS,
  make(deps: RequestHandlerDependencies) {
    const now = (): number => deps.world.clock.mono();
    const checkPeriodically = PeriodicChecks.make(deps.world.clock, SILENCE_CHECK_INTERVAL_MS);
    /** Watches one run; `onLost` is called at each check for as long as the request seems to be lost. */
    return (job: Job, server: Server, onLost: () => void) => {
      let lastActivityAt = now();
      let suspicionReported = false;
      const isServerSilent = (): boolean => deps.health.msSinceActivity(server.id) > SILENCE_LIMIT_MS;
      const stop = checkPeriodically(() => {
        const silentMs = now() - lastActivityAt;
        if (silentMs > SILENCE_LIMIT_MS && isServerSilent() && !suspicionReported) {
          suspicionReported = true;
          deps.suspect(server, `silent for ${Math.round(silentMs)} ms`);
        }
        const timeoutMs = job.eventsSent > 0 ? NEXT_EVENT_TIMEOUT_MS : FIRST_EVENT_TIMEOUT_MS;
        // A busy server may just be late with one request; an idle or entirely silent one has lost it.
        const isIdle = deps.loads.loadAt(server.id).runs < BUSY_RUNS;
        if (silentMs > timeoutMs && (isServerSilent() || isIdle)) onLost();
      });
      return {
        recordActivity(): void {
          lastActivityAt = now();
          suspicionReported = false;
          deps.health.recordActivity(server.id);
        },
        stop,
      };
    };
  },
};
