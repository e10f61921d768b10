import type { Clock } from '@pumicebarrow/forms';

type Row = { stir: number; bad: number; until: number; trial: boolean };
const FIRST = 700;
const MOST = 4000;

/**
 * How servers fare, judged by what requests met and by nothing else. Invariants: a server that failed is left alone
 * for a time that doubles with each failure in a row; after it, one request at a time tries it, and a good outcome
 * clears it; suspicion bars no server while no other is left.
 */
export const ServerHealth = {
  make(clock: Clock) {
    const rows = new Map<string, Row>();
    const row = (id: string): Row => {
      const old = rows.get(id);
      if (old) return old;
      const next = { stir: -Infinity, bad: 0, until: -Infinity, trial: false };
      rows.set(id, next);
      return next;
    };
    return {
      /** Any byte from the server. */
      stir(id: string): void {
        row(id).stir = clock.mono();
      },
      silent: (id: string): number => clock.mono() - row(id).stir,
      good(id: string): void {
        const r = row(id);
        r.bad = 0;
        r.until = -Infinity;
        r.trial = false;
      },
      /** True if this is news: the server was not under suspicion before. */
      bad(id: string): boolean {
        const r = row(id),
          now = clock.mono();
        const fresh = r.until <= now;
        if (fresh || r.trial) r.bad++;
        r.trial = false;
        r.until = Math.max(r.until, now + Math.min(MOST, FIRST * 2 ** (r.bad - 1)));
        return fresh && r.bad === 1;
      },
      /** Another daemon suspects it: it is left alone for a moment, for it may be their link. */
      hint(id: string): void {
        const r = row(id);
        if (r.bad === 0) r.until = Math.max(r.until, clock.mono() + FIRST / 2);
      },
      /** Whether requests may go there now; the one that is let in after a suspicion has the trial. */
      open(id: string): boolean {
        const r = rows.get(id);
        return !r || r.bad === 0 ? (r?.until ?? -Infinity) <= clock.mono() : r.until <= clock.mono() && !r.trial;
      },
      begin(id: string): void {
        const r = rows.get(id);
        if (r && r.bad > 0) r.trial = true;
      },
      suspects: (): string[] => [...rows].filter(([, r]) => r.until > clock.mono()).map(([id]) => id),
      only(ids: ReadonlySet<string>): void {
        for (const id of rows.keys()) if (!ids.has(id)) rows.delete(id);
      },
    };
  },
};
