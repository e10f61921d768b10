import type { Tunes } from '@pumicebarrow/purge';

/** Start options of a router or control replica. Options that may change at run time are functions. */
export type RouterOptions = {
  /** Stable name of the daemon. */
  id: string;
  addr: string;
  zone: string;
  seeds: () => readonly string[];
  tunes: Tunes;
  /** Drain time in ms: how long after the list shows a server as leaving a request may still reach it. */
  drain: number;
  /** Retry budget: retries per request, over a window in ms, plus a constant share of retries (`slack`). */
  budget: { ratio: number; window: number; slack: number };
  /**
   * `within`: time in ms after which a revoked API key is no longer accepted. `everywhere`: whether this holds also for
   * a daemon that can't reach the control replicas; such a daemon then rejects all requests that need a key.
   */
  revocation: { within: number; everywhere: boolean };
};
