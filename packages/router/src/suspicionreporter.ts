import type { Log } from '@pumicebarrow/forms';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerLoads } from './serverloads.js';
import type { FailureReports } from './failurereports.js';

type Dependencies = {
  log: Log;
  health: ReturnType<typeof ServerHealth.make>;
  loads: ReturnType<typeof ServerLoads.make>;
  failureReports: ReturnType<typeof FailureReports.make>;
};

/**
 * Records failures and rejections that this router's own requests met, and decides when to report them to the other
 * routers.
 */
export const SuspicionReporter = {
  make(deps: Dependencies) {
    return {
      /**
       * Reports a server that failed here: once each time it becomes suspected, unless the other routers were told just
       * now.
       */
      reportFailure(server: Server, why: string): void {
        if (!deps.health.recordFailure(server.id)) return;
        deps.log.warn(`Server ${server.id} is suspected: ${why}.`);
        deps.failureReports.report(server.id);
      },
      /** A server that should have room and rejects requests does so to all routers: it may be changing its stage. */
      reportRejection(server: Server): void {
        const hasRoom = deps.loads.loadAt(server.id).runs < server.slots / 2;
        if (deps.health.recordRejection(server.id) && hasRoom) deps.failureReports.report(server.id);
      },
    };
  },
};
