import type { Stand } from './stand.js';
import type { Trick } from './trick.js';

/**
 * A simulated model server. Invariants: `life` rises with each start; what lies in `buffers` was sent to this life and
 * has not been read: it is heard when the server is no longer dark, and never if it falls first.
 */
export type Server = {
  id: string;
  addr: string;
  site: string;
  born: string;
  slots: number;
  stand: Stand;
  up: boolean;
  dark: boolean;
  life: number;
  mark: 'serving' | 'draining' | 'gone';
  open: Set<() => void>;
  buffers: (() => void)[];
  trick: Trick;
  slow: number;
};
