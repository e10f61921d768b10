import type { GossipSettings } from '@pumicebarrow/purge';

/** Start-up settings of a counter daemon. `control` enables the operator API; `tunes` holds the gossip settings. */
export type CounterSettings = {
  id: string;
  addr: string;
  site: string;
  seeds: readonly string[];
  control: boolean;
  tunes: GossipSettings;
};
