import type { Clock } from '@pumicebarrow/forms';
import type { Routes } from './routes.js';

/** How long before the bound streams are aborted, so that their clients notice it within the bound. */
const ABORT_MARGIN_MS = 500;

/**
 * Aborts requests in progress whose API key has been revoked. New requests and further sends are refused as soon as
 * this daemon has the configuration; a response that has started may continue until shortly before the revocation
 * bound. Invariant: a request whose key is valid again by then continues.
 */
export const KeyRevocation = {
  make(clock: Clock, routes: () => Routes | null, boundMs: () => number) {
    const controllersByKey = new Map<string, Set<AbortController>>();
    const isHeld = (key: string): boolean => {
      const current = routes();
      return current === null || !current.tenants.keysRequired || current.tenants.tenantForKey(key) !== null;
    };
    const abortIfRevoked = (key: string): void => {
      if (isHeld(key)) return;
      for (const controller of controllersByKey.get(key) ?? []) controller.abort('revoked');
    };
    return {
      /** Tracks a request under this key until the returned function is called. */
      track(key: string, controller: AbortController): () => void {
        const controllers = controllersByKey.get(key) ?? new Set();
        controllersByKey.set(key, controllers.add(controller));
        return () => {
          controllers.delete(controller);
          if (controllers.size === 0 && controllersByKey.get(key) === controllers) controllersByKey.delete(key);
        };
      },
      /** To be called when another configuration has taken effect. */
      configurationChanged(): void {
        for (const key of controllersByKey.keys())
          if (!isHeld(key)) clock.after(Math.max(0, boundMs() - ABORT_MARGIN_MS), () => abortIfRevoked(key));
      },
    };
  },
};
