import { Fading, Timer, type Clock, type Ident, type PostBox } from '@pumicebarrow/forms';
import { LoadRows } from './loadrows.js';
import type { ServerLoad } from './serverload.js';
import type { ServerLoads } from './serverloads.js';
import { Words } from './words.js';

type Tools = {
  clock: Clock;
  post: PostBox;
  loads: ReturnType<typeof ServerLoads.make>;
  /** Whom this daemon tells: all other routers of a small fleet, a few of a large one. */
  peers: () => readonly Ident[];
  routers: () => number | null;
  /** Prompt tokens that a server reads in a ms. */
  pace?: () => number;
};
const LOOK = 40;
const AGAIN = 600;
/** News is told as often as that in a fleet of so many; in a larger one less often, but never later than LATEST. */
const SMALL = 10;
const LATEST = 400;
const KEEP = 1500;
/** ms for which what the head told of all stands for what routers tell each other. */
const FRESH = 1200;
const MOST = 64;

/**
 * Routers tell each other what they have under way at servers, so that they don't all choose the one that each of them
 * finds idle. Invariants: news goes to a bounded number of peers, however many there are, and only when something
 * changed; what was heard counts for no longer than KEEP; of a large fleet the head tells the sum, and without it the
 * part that was heard stands for all.
 */
export const LoadNews = {
  make(t: Tools) {
    const heard = Fading.make<ReadonlyMap<string, ServerLoad>>(t.clock.mono, MOST);
    let told = '';
    let at = -Infinity;
    let taken = -Infinity;
    let stop: () => void = () => undefined;
    const count = { sent: 0, heard: 0 };
    const sum = (): ReadonlyMap<string, ServerLoad> => {
      const all = heard.all();
      const others = Math.max(0, (t.routers() ?? all.length + 1) - 1);
      // What few tell says little of the many: the root keeps one busy peer from looking like a busy fleet.
      const scale = all.length > 0 ? Math.sqrt(Math.max(1, others / all.length)) : 1;
      const next = new Map<string, ServerLoad>();
      for (const rows of all)
        for (const [id, r] of rows) {
          const old = next.get(id) ?? { runs: 0, reads: 0, tokens: 0 };
          next.set(id, {
            runs: old.runs + r.runs * scale,
            reads: old.reads + r.reads * scale,
            tokens: old.tokens + r.tokens * scale,
          });
        }
      return next;
    };
    t.post.heed('router.loads', Words.loads, (body, from) => {
      count.heard++;
      heard.set(from.id, LoadRows.open(body.rows), KEEP);
      if (summed()) return { ok: true };
      t.loads.heard(sum);
    });
    /** Whether the head told lately what all others have under way; then none need tell each other. */
    const summed = (): boolean => t.clock.mono() - taken < FRESH;
    const pace = (): number => Math.min(LATEST, LOOK * Math.max(1, (t.routers() ?? 1) / SMALL));
    const tick = (): void => {
      if (summed()) return;
      t.loads.heard(sum);
      const rows = LoadRows.pack(t.loads.mine());
      const text = JSON.stringify(rows);
      const now = t.clock.mono();
      if (now - at < pace()) return;
      if (text === told && (rows.length === 0 || now - at < AGAIN)) return;
      told = text;
      at = now;
      for (const p of t.peers()) {
        count.sent++;
        t.post.tell(p.addr, p.id, 'router.loads', { rows });
      }
    };
    return {
      start(): void {
        stop = Timer.paced(t.clock, pace, tick);
      },
      stop: (): void => stop(),
      tick,
      /** What all others have under way, as the head added it up; what servers have read of it since is taken off. */
      summed(all: ReadonlyMap<string, ServerLoad>): void {
        const now = t.clock.mono();
        taken = now;
        t.loads.heard(
          () => all,
          () => (t.clock.mono() - now) * (t.pace?.() ?? 0),
        );
      },
      count: () => ({ ...count }),
    };
  },
};
