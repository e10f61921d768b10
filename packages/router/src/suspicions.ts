import type { Log } from '@pumicebarrow/forms';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerLoads } from './serverloads.js';
import type { Sightings } from './sightings.js';

type Dependencies = {
  log: Log;
  health: ReturnType<typeof ServerHealth.make>;
  loads: ReturnType<typeof ServerLoads.make>;
  sightings: ReturnType<typeof Sightings.make>;
};

/**
 * Records failures and rejections that this router's own requests met, and decides when to report them to the other
 * routers.
 */
export const Suspicions = {
  make(deps: Dependencies) {
    return {
      /**
       * Reports a server that failed here: once each time it becomes suspected, unless the other routers were told just
       * now.
       */
      suspect(server: Server, why: string): void {
        if (!deps.health.bad(server.id)) return;
        deps.log.warn(`Server ${server.id} is suspected: ${why}.`);
        deps.sightings.report(server.id);
      },
      /** A server that should have room and rejects requests does so to all routers: it may be changing its stage. */
      turned(server: Server): void {
        const hasRoom = deps.loads.at(server.id).runs < server.slots / 2;
        if (deps.health.turned(server.id) && hasRoom) deps.sightings.report(server.id);
      },
    };
  },
};
