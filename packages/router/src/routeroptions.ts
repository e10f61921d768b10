import type { GossipSettings } from '@pumicebarrow/purge';

/** Start options of a router or control replica. Options that may change at run time are functions. */
export type RouterOptions = {
  /** Stable name of the daemon. */
  id: string;
  /** Address at which other daemons reach this one. */
  addr: string;
  zone: string;
  /** Addresses of daemons to contact first. */
  seeds: () => readonly string[];
  /** Gossip settings. */
  tunes: GossipSettings;
  /** Drain time in ms: how long after the list shows a server as leaving a request may still reach it. */
  drain: number;
  /** Retry budget: `ratio` retries per request over a window in ms, plus `slack` retries that the fleet shares. */
  budget: { ratio: number; window: number; slack: number };
  /**
   * `within`: time in ms after which a revoked API key is no longer accepted. `everywhere`: whether this holds also for
   * a daemon that can't reach the control replicas; such a daemon then rejects all requests that need a key.
   */
  revocation: { within: number; everywhere: boolean };
};
