import type { World } from '@pumicebarrow/forms';
import type { Back } from './back.js';
import type { Bucket } from './bucket.js';
import type { Hailing } from './hailing.js';
import type { Admitting } from './admitting.js';
import type { Listed } from './listed.js';
import type { LoadBook } from './loadbook.js';
import type { Choosing } from './choosing.js';
import type { TownView } from './townview.js';
import type { Queue } from './queue.js';
import type { LedgerAccess } from './witnessing.js';

/** What the run of a request works with. */
export type RunTools = {
  world: World;
  admission: Admitting;
  queue: ReturnType<typeof Queue.make>;
  decodeQueue: ReturnType<typeof Queue.make>;
  choice: Choosing;
  loads: LoadBook;
  town: TownView;
  hails: Hailing;
  witness: LedgerAccess;
  retryBudget: ReturnType<typeof Bucket.make>;
  back: Back;
  sighted: (server: Listed) => void;
  grantTurns: () => void;
  version: () => number;
  /** Whether the charter held is surely not an older one than was once held here. */
  sure: () => boolean;
  demand: { read: number; write: number };
  /** Told to servers with each send, for work that live work may overtake there; left out for live work. */
  urgency?: number;
};
