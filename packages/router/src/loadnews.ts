import { Fading, Timer, type Clock, type Ident, type PostBox } from '@pumicebarrow/forms';
import type { ServerLoads } from './serverloads.js';
import { Words } from './words.js';

type Row = { runs: number; reads: number; tokens: number };
type Tools = {
  clock: Clock;
  post: PostBox;
  loads: ReturnType<typeof ServerLoads.make>;
  /** Whom this daemon tells: all other routers of a small fleet, a few of a large one. */
  peers: () => readonly Ident[];
  routers: () => number | null;
};
const LOOK = 40;
const AGAIN = 600;
/** News is told as often as that in a fleet of so many; in a larger one less often, but never later than LATEST. */
const SMALL = 10;
/** Beyond so many, of whom each hears a part alone, it is told less often still: it buys little there. */
const SEEN = 16;
const SPARING = 4;
const LATEST = 1000;
const KEEP = 1500;
const MOST = 64;

/**
 * Routers tell each other what they have under way at servers, so that they don't all choose the one that each of them
 * finds idle. Invariants: news goes to a bounded number of peers, however many there are, and only when something
 * changed; what was heard counts for no longer than KEEP; of a large fleet the part that was heard stands for all.
 */
export const LoadNews = {
  SEEN,
  make(t: Tools) {
    const heard = Fading.make<ReadonlyMap<string, Row>>(t.clock.mono, MOST);
    let told = '';
    let at = -Infinity;
    let stop: () => void = () => undefined;
    const count = { sent: 0, heard: 0 };
    const sum = (): ReadonlyMap<string, Row> => {
      const all = heard.all();
      const others = Math.max(0, (t.routers() ?? all.length + 1) - 1);
      // What few tell says little of the many: the root keeps one busy peer from looking like a busy fleet.
      const scale = all.length > 0 ? Math.sqrt(Math.max(1, others / all.length)) : 1;
      const next = new Map<string, Row>();
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
      heard.set(
        from.id,
        new Map(body.rows.map(([id, runs, reads, tokens]) => [id, { runs, reads, tokens: tokens * 100 }])),
        KEEP,
      );
      t.loads.heard(sum);
    });
    const pace = (): number => {
      const routers = t.routers() ?? 1;
      return Math.min(LATEST, LOOK * Math.max(1, routers / (routers > SEEN ? SPARING : SMALL)));
    };
    const tick = (): void => {
      t.loads.heard(sum);
      const rows = [...t.loads.mine()].map(([id, r]) => [id, r.runs, r.reads, Math.round(r.tokens / 100)]);
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
      count: () => ({ ...count }),
    };
  },
};
