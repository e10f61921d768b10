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
      /** A request is under way with this key, until the function given back is called. */
      track(key: string, controller: AbortController): () => void {
        const controllers = controllersByKey.get(key) ?? new Set();
        controllersByKey.set(key, controllers.add(controller));
        return () => {
          controllers.delete(controller);
          if (controllers.size === 0 && controllersByKey.get(key) === controllers) controllersByKey.delete(key);
        };
      },
      /** Another configuration is in force. */
      configurationChanged(): void {
        for (const key of controllersByKey.keys())
          if (!isHeld(key)) clock.after(Math.max(0, boundMs() - ABORT_MARGIN_MS), () => abortIfRevoked(key));
      },
    };
  },
};
