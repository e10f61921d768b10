import type { Drill } from './drill.js';
import { Cores } from './drills/cores.js';
import { Crowds } from './drills/crowds.js';
import { Daemons } from './drills/daemons.js';
import { Intents } from './drills/intents.js';
import { Places } from './drills/places.js';
import { Servers } from './drills/servers.js';
import { InHand } from './drills/requests.js';

/** All drills, by name. */
export const Drills: ReadonlyMap<string, Drill> = new Map(
  [...Crowds, ...Servers, ...Daemons, ...Places, ...InHand, ...Cores, ...Intents].map((d) => [d.name, d]),
);
