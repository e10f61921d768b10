import type { Clock } from '@pumicebarrow/forms';

type Row = {
  stir: number;
  level: number;
  /** Since when and until when it is left alone for what this daemon met; `word`: for what others said. */
  since: number;
  until: number;
  shut: boolean;
  trial: number;
  turns: number;
  /** Handles of it running that no server could fetch, and when the last was. */
  lapses: number;
  lapsed: number;
  word: { until: number; weight: number; at: number; by: string };
};
const FIRST = 700;
const MOST = 5600;
/** ms for which one that turned a request away is left alone: doubled each time running, to a limit. */
const TURNED = 250;
const LONGEST = 1000;
const TOP = 5;
/** What one good outcome takes off the level that one failure adds to by 1. */
const EASE = 0.12;
/** Handles running that could not be fetched, after which their server is at fault, and ms until one is forgotten. */
const LAPSES = 2;
const LAPSE = 10_000;
/** ms over which words of others fade, and the most that they weigh together. */
const FADE = 4000;
const HEAVY = 4;
/** How far apart daemons come back to a server, as a part of what its second word bars it for. */
const APART = 3;

/**
 * How servers fare, judged by what requests met and by nothing else: a health answer may be false either way.
 * Invariants: a server that failed is left alone for a time that doubles with its level; after it, one request at a
 * time tries it, and a good outcome of one sent since opens it again; its level falls slowly, so that one which fails
 * a part of its requests is left alone for longer each time; words of several others bar it for longer, and not for
 * all daemons to the same instant, so that a few of them try it first; one that turns requests away is left alone for
 * a moment; suspicion bars no server while no other is left.
 */
export const ServerHealth = {
  make(clock: Clock) {
    const rows = new Map<string, Row>();
    let trials = 0;
    const row = (id: string): Row => {
      const old = rows.get(id);
      if (old) return old;
      const next = {
        ...{ stir: -Infinity, level: 0, since: -Infinity, until: -Infinity, shut: false, trial: 0, turns: 0 },
        ...{ lapses: 0, lapsed: -Infinity },
        word: { until: -Infinity, weight: 0, at: -Infinity, by: '' },
      };
      rows.set(id, next);
      return next;
    };
    return {
      /** Any byte from the server. */
      stir(id: string): void {
        row(id).stir = clock.mono();
      },
      silent: (id: string): number => clock.mono() - row(id).stir,
      /** A request that was sent at `sent` went well. */
      good(id: string, sent = Infinity): void {
        const r = row(id);
        r.level = Math.max(0, r.level - EASE);
        if (r.shut && sent < r.since) return;
        r.until = -Infinity;
        r.shut = false;
        r.trial = 0;
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
      /**
       * A server could not fetch a handle of this one. True once its handles are held to be at fault: the one who
       * should fetch may be full instead, and says so in the same words.
       */
      lapse(id: string): boolean {
        const r = row(id),
          now = clock.mono();
        r.lapses = now - r.lapsed > LAPSE ? 1 : r.lapses + 1;
        r.lapsed = now;
        return r.lapses >= LAPSES;
      },
      /** A handle of it was fetched. */
      fetched(id: string): void {
        row(id).lapses = 0;
      },
      /** True if this is news: the server was open to all before. */
      bad(id: string): boolean {
        const r = row(id),
          now = clock.mono();
        const fresh = !r.shut;
        if (fresh || r.trial > 0) r.level = Math.min(TOP, r.level + 1);
        if (fresh || r.trial > 0) r.since = now;
        r.trial = 0;
        r.shut = true;
        r.until = Math.max(r.until, now + Math.min(MOST, FIRST * 2 ** (r.level - 1)));
        return fresh;
      },
      /**
       * Another daemon suspects it: it is left alone for a moment, for it may be their link. Words of several daemons
       * weigh together; of one daemon they count once. `chance` spreads the daemons' return.
       */
      hint(id: string, by = '', chance = 0): void {
        const { word } = row(id),
          now = clock.mono();
        const left = word.weight * Math.exp(-(now - word.at) / FADE);
        word.weight = Math.min(HEAVY, word.by === by ? Math.max(1, left) : left + 1);
        word.at = now;
        word.by = by;
        const ms = (FIRST / 2) * 2 ** (word.weight - 1) * (1 + chance * APART * (word.weight - 1));
        word.until = Math.max(word.until, now + Math.min(MOST, ms));
      },
      /** Whether requests may go there now; the one that is let in after a suspicion has the trial. */
      open(id: string): boolean {
        const r = rows.get(id);
        if (!r) return true;
        const now = clock.mono();
        return r.until <= now && r.word.until <= now && !(r.shut && r.trial > 0);
      },
      /** Whether they might, were it not for what others said. */
      fair(id: string): boolean {
        const r = rows.get(id);
        return !r || (r.until <= clock.mono() && !(r.shut && r.trial > 0));
      },
      /** Those that failed and have not done well since. */
      suspected: (): string[] => [...rows].flatMap(([id, r]) => (r.shut ? [id] : [])),
      /** Gives what is called once it is over and judged: a trial that showed nothing is left to another request. */
      begin(id: string): () => void {
        const r = rows.get(id);
        if (!r?.shut || r.trial > 0) return () => undefined;
        const mine = ++trials;
        r.trial = mine;
        return () => {
          if (r.trial === mine) r.trial = 0;
        };
      },
      only(ids: ReadonlySet<string>): void {
        for (const id of rows.keys()) if (!ids.has(id)) rows.delete(id);
      },
    };
  },
};
