import type { Tunes } from '@pumicebarrow/purge';

/** What a router or control replica is started with; what may change while it lives is asked for. */
export type RouterStartup = {
  id: string;
  addr: string;
  zone: string;
  seeds: () => readonly string[];
  tunes: Tunes;
  /** ms: how long after the list shows a server leaving a send may still reach it. */
  drain: number;
  budget: { ratio: number; window: number; slack: number };
};
