import type { Chance } from './chance.js';
import type { Clock } from './clock.js';
import type { Deed } from './deed.js';
import type { Disk } from './disk.js';
import type { Log } from './log.js';
import type { Wire } from './wire.js';

/** The environment of a daemon: all its input and output. The simulator runs the same code in a simulated one. */
export type World = {
  clock: Clock;
  chance: Chance;
  wire: Wire;
  /** Durable storage; null if the daemon stores nothing. */
  disk: Disk | null;
  /** The logger of a component. */
  log(component: string): Log;
  /** Appends an event to the history of the run. */
  tell(event: Omit<Deed, 'who' | 'at'>): void;
};
