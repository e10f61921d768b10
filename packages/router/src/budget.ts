import type { Clock } from '@pumicebarrow/forms';

type Terms = { ratio: number; window: number; slack: number };
/**
 * The part of the ratio that is earned by each request; the rest is left for what was earned by those of the window
 * before.
 */
const RATIO = 0.6;
/** The part of the slack that is earned in a window, and that may be saved; the rest is for counts that lag. */
const SLACK = 0.4;
const SAVED = 0.5;
const UNKNOWN = 40;
/** Parts of a window in which requests are counted. */
const PARTS = 10;

/**
 * Further tries this daemon may still make. Invariants: over any window, all daemons together take less than
 * `ratio` a request plus `slack`, for any split of the traffic and any number of daemons, where the requests are those
 * of that window or of the one before it, whichever were more: each earns a part of `ratio` by its own requests, and
 * its share of `slack` by time; what all may have saved adds up to a part of `slack` and one of what the last window's
 * requests bring, and what all may owe is the rest of that. A daemon that doesn't know how many there are takes the
 * share of one of many.
 */
export const Budget = {
  make(clock: Clock, terms: () => Terms, daemons: () => number | null) {
    let level = 0;
    let at = clock.mono();
    const parts: { part: number; requests: number }[] = [];
    const share = (): number => terms().slack / Math.max(1, daemons() ?? UNKNOWN);
    const part = (): number => Math.floor((clock.mono() * PARTS) / terms().window);
    /** Requests of the last window, of whole parts only, so that none older is among them. */
    const recent = (): number => {
      const now = part();
      while (parts.length > 0 && parts[0]!.part <= now - PARTS) parts.shift();
      return parts.reduce((sum, p) => sum + p.requests, 0);
    };
    /** What the saved and the owed may add up to. */
    const spare = (): number => share() * SAVED + terms().ratio * (1 - RATIO) * recent();
    /** A whole try is saved only where the shares of all, or this daemon's own requests, allow for one. */
    const most = (): number => Math.max(share() * SLACK, Math.min(1, spare()));
    const tick = (): void => {
      const now = clock.mono();
      level = Math.min(most(), level + (share() * SLACK * (now - at)) / terms().window);
      at = now;
    };
    return {
      request(): void {
        tick();
        const now = part();
        if (parts.at(-1)?.part === now) parts.at(-1)!.requests++;
        else parts.push({ part: now, requests: 1 });
        level = Math.min(most(), level + terms().ratio * RATIO);
      },
      take(): boolean {
        tick();
        if (level < 1) return false;
        level -= 1;
        return true;
      },
      /** Whether one more may be owed, where what was sent counts already and only what follows it can be left. */
      bears(): boolean {
        tick();
        return level - 1 >= Math.min(0, most() - spare());
      },
      /** Something was sent that counts as a further try, or may: it is paid for by those that come after. */
      owe(): void {
        tick();
        level -= 1;
      },
      level(): number {
        tick();
        return level;
      },
    };
  },
};
