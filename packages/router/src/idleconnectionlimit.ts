import type { Clock } from '@pumicebarrow/forms';

/**
 * How long an observation counts, the fraction of an idle time found too long that is still allowed, and the shortest
 * limit.
 */
const RETENTION_MS = 10_000;
const ALLOWED_IDLE_FRACTION = 0.15;
const MIN_LIMIT_MS = 10;
/**
 * A connection idle for less than this was in use a moment ago; a close that takes longer than this after the send came
 * from a server already at work.
 */
const MIN_IDLE_MS = 20;
const IMMEDIATE_CLOSE_MS = 100;

/**
 * Limits how long a connection may have been idle before it is used again. Servers may drop idle connections without
 * notice, which shows only when something is sent; that request may have been executed, so it is lost. Invariant: an
 * idle time that was once too long is not allowed again, at any server, until the observation has expired.
 */
export const IdleConnectionLimit = {
  make(clock: Clock) {
    let limitMs = Infinity;
    let expiresAt = -Infinity;
    const now = (): number => clock.mono();
    return {
      /** Longest idle time in ms; Infinity if no idle time was too long recently. */
      maxIdleMs: (): number => (now() < expiresAt ? limitMs : Infinity),
      /**
       * Records that a connection idle for `idleMs` was closed without a response, `elapsedMs` after a send. True if
       * the server had most likely dropped the connection.
       */
      recordClose(idleMs: number, elapsedMs: number): boolean {
        if (idleMs < MIN_IDLE_MS || elapsedMs > IMMEDIATE_CLOSE_MS) return false;
        limitMs = Math.max(
          MIN_LIMIT_MS,
          Math.min(now() < expiresAt ? limitMs : Infinity, idleMs * ALLOWED_IDLE_FRACTION),
        );
        expiresAt = now() + RETENTION_MS;
        return true;
      },
    };
  },
};
