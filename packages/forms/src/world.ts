import type { RandomSource } from './randomsource.js';
import type { Clock } from './clock.js';
import type { HistoryEvent } from './historyevent.js';
import type { Disk } from './disk.js';
import type { Log } from './log.js';
import type { Wire } from './wire.js';

/** The environment of a daemon: all its input and output. The simulator runs the same code in a simulated one. */
export type World = {
  clock: Clock;
  random: RandomSource;
  wire: Wire;
  /** Durable storage; null if the daemon stores nothing. */
  disk: Disk | null;
  /** The logger of a component. */
  log(component: string): Log;
  /** Appends an event to the history of the run. */
  recordEvent(event: Omit<HistoryEvent, 'who' | 'at'>): void;
};
