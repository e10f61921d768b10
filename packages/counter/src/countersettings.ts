import type { Tunes } from '@pumicebarrow/purge';

/** What a counter daemon is started with. */
export type CounterSettings = {
  id: string;
  addr: string;
  site: string;
  seeds: readonly string[];
  control: boolean;
  tunes: Tunes;
};
