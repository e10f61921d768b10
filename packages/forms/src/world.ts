import type { Chance } from './chance.js';
import type { Clock } from './clock.js';
import type { Deed } from './deed.js';
import type { Disk } from './disk.js';
import type { Log } from './log.js';
import type { Wire } from './wire.js';

/** All that a daemon may touch. The simulator gives another one to the same code. */
export type World = {
  clock: Clock;
  chance: Chance;
  wire: Wire;
  disk: Disk | null;
  log(part: string): Log;
  tell(deed: Omit<Deed, 'who' | 'at'>): void;
};
