import type { Clock } from '@pumicebarrow/forms';
import type { Routes } from './routes.js';

/** ms before the bound at which streams are ended, so that their clients see it within the bound. */
const ABORT_MARGIN_MS = 500;

/**
 * Ends what is still under way with a key that was taken away. New requests and further sends are refused as soon as
 * the configuration is here; an answer that has begun may go on until shortly before the bound. Invariant: one whose
 * key is held again by then goes on.
 */
export const KeyRevocation = {
  make(clock: Clock, routes: () => Routes | null, bound: () => number) {
    const underWay = new Map<string, Set<AbortController>>();
    const held = (key: string): boolean => {
      const now = routes();
      return now === null || !now.tenants.keysRequired || now.tenants.tenantForKey(key) !== null;
    };
    const end = (key: string): void => {
      if (held(key)) return;
      for (const stop of underWay.get(key) ?? []) stop.abort('revoked');
    };
    return {
      /** A request is under way with this key, until the function given back is called. */
      track(key: string, stop: AbortController): () => void {
        const same = underWay.get(key) ?? new Set();
        underWay.set(key, same.add(stop));
        return () => {
          same.delete(stop);
          if (same.size === 0 && underWay.get(key) === same) underWay.delete(key);
        };
      },
      /** Another configuration is in force. */
      configurationChanged(): void {
        for (const key of underWay.keys())
          if (!held(key)) clock.after(Math.max(0, bound() - ABORT_MARGIN_MS), () => end(key));
      },
    };
  },
};
