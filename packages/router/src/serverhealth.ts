import type { Clock } from '@pumicebarrow/forms';

type Row = { stir: number; level: number; until: number; shut: boolean; trial: boolean; turns: number };
const FIRST = 700;
const MOST = 5600;
/** ms for which one that turned a request away is left alone: doubled each time running, to a limit. */
const TURNED = 250;
const LONGEST = 1000;
const TOP = 5;
/** What one good outcome takes off the level that one failure adds to by 1. */
const EASE = 0.12;

/**
 * How servers fare, judged by what requests met and by nothing else: a health answer may be false either way.
 * Invariants: a server that failed is left alone for a time that doubles with its level; after it, one request at a
 * time tries it, and a good outcome opens it again; its level falls slowly, so that one which fails a part of its
 * requests is left alone for longer each time; one that turns requests away is left alone for a moment; suspicion bars
 * no server while no other is left.
 */
export const ServerHealth = {
  make(clock: Clock) {
    const rows = new Map<string, Row>();
    const row = (id: string): Row => {
      const old = rows.get(id);
      if (old) return old;
      const next = { stir: -Infinity, level: 0, until: -Infinity, shut: false, trial: false, turns: 0 };
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
        r.level = Math.max(0, r.level - EASE);
        r.until = -Infinity;
        r.shut = false;
        r.trial = false;
        r.turns = 0;
      },
      /**
       * It turned a request away: full, or changing its stage. No failure, but the next would fare alike. True if this
       * is news: it was open before.
       */
      turned(id: string): boolean {
        const r = row(id),
          now = clock.mono();
        const fresh = r.until <= now;
        if (fresh) r.turns++;
        r.until = Math.max(r.until, now + Math.min(LONGEST, TURNED * 2 ** (r.turns - 1)));
        return fresh;
      },
      /** True if this is news: the server was open to all before. */
      bad(id: string): boolean {
        const r = row(id),
          now = clock.mono();
        const fresh = !r.shut;
        if (fresh || r.trial) r.level = Math.min(TOP, r.level + 1);
        r.trial = false;
        r.shut = true;
        r.until = Math.max(r.until, now + Math.min(MOST, FIRST * 2 ** (r.level - 1)));
        return fresh;
      },
      /** Another daemon suspects it: it is left alone for a moment, for it may be their link. */
      hint(id: string): void {
        const r = row(id);
        if (!r.shut) r.until = Math.max(r.until, clock.mono() + FIRST / 2);
      },
      /** Whether requests may go there now; the one that is let in after a suspicion has the trial. */
      open(id: string): boolean {
        const r = rows.get(id);
        return !r || (r.until <= clock.mono() && !(r.shut && r.trial));
      },
      /** Those that failed and have not done well since. */
      suspected: (): string[] => [...rows].flatMap(([id, r]) => (r.shut ? [id] : [])),
      begin(id: string): void {
        const r = rows.get(id);
        if (r?.shut) r.trial = true;
      },
      only(ids: ReadonlySet<string>): void {
        for (const id of rows.keys()) if (!ids.has(id)) rows.delete(id);
      },
    };
  },
};
