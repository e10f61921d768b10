import type { Log } from '@pumicebarrow/forms';
import type { Server } from './server.js';
import type { ServerHealth } from './serverhealth.js';
import type { ServerLoads } from './serverloads.js';
import type { Sightings } from './sightings.js';

type Tools = {
  log: Log;
  health: ReturnType<typeof ServerHealth.make>;
  loads: ReturnType<typeof ServerLoads.make>;
  sightings: ReturnType<typeof Sightings.make>;
};

/** What this router's own requests say against a server, and when the other routers are told of it. */
export const Suspicions = {
  make(t: Tools) {
    return {
      /** A server failed here: it is told to all, once each time that it begins to, unless they just heard it. */
      suspect(server: Server, why: string): void {
        if (!t.health.bad(server.id)) return;
        t.log.warn(`${server.id} is under suspicion: ${why}.`);
        t.sightings.tell(server.id);
      },
      /** One that should have room and turns requests away does so to all: it may be changing its stage. */
      turned(server: Server): void {
        const hasRoom = t.loads.at(server.id).runs < server.slots / 2;
        if (t.health.turned(server.id) && hasRoom) t.sightings.tell(server.id);
      },
    };
  },
};
