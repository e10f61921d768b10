import type { Tunes } from '@pumicebarrow/purge';

/** What a router or control replica is started with; what may change while it lives is asked for. */
export type RouterOptions = {
  id: string;
  addr: string;
  zone: string;
  seeds: () => readonly string[];
  tunes: Tunes;
  /** ms: how long after the list shows a server leaving a send may still reach it. */
  drain: number;
  budget: { ratio: number; window: number; slack: number };
  /**
   * ms within which a key that was taken away serves nobody any more; `everywhere` if that binds also a daemon that
   * can't reach the core, which then serves nobody that needs a key.
   */
  revocation: { within: number; everywhere: boolean };
};
