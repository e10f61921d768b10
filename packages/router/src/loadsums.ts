import { Fading, type Clock } from '@pumicebarrow/forms';
import { LoadRows } from './loadrows.js';
import type { ServerLoad } from './serverload.js';

type Rows = Parameters<typeof LoadRows.open>[0];
type Part = ReadonlyMap<string, ServerLoad>;
/** ms for which a sum stands, and for which what a router told counts. */
const STANDS = 60;
const KEEP = 1500;
const MOST = 20_000;
/** Servers named in one reply: those with the most under way. */
const NAMED = 512;

/**
 * What all routers have under way at servers, added up where they check in. Invariants: a router is told of the others
 * alone, by the same parts of which the sum was made; no reply names more than NAMED servers.
 */
export const LoadSums = {
  make(clock: Clock) {
    const told = Fading.make<{ id: string; part: Part }>(clock.mono, MOST);
    let parts = new Map<string, Part>();
    let sum = new Map<string, ServerLoad>();
    let at = -Infinity;
    const add = (): void => {
      if (clock.mono() - at < STANDS) return;
      at = clock.mono();
      parts = new Map(told.all().map((t) => [t.id, t.part]));
      sum = new Map();
      for (const part of parts.values())
        for (const [id, r] of part) {
          const old = sum.get(id);
          if (!old) sum.set(id, { ...r });
          else {
            old.runs += r.runs;
            old.reads += r.reads;
            old.tokens += r.tokens;
          }
        }
    };
    return {
      take(router: string, rows: Rows): void {
        told.set(router, { id: router, part: LoadRows.open(rows) }, KEEP);
      },
      others(router: string): Rows {
        add();
        const mine = parts.get(router);
        const out = new Map<string, ServerLoad>();
        for (const [id, r] of sum) {
          const own = mine?.get(id);
          const left = own ? { runs: r.runs - own.runs, reads: r.reads - own.reads, tokens: r.tokens - own.tokens } : r;
          if (left.runs > 0 || left.reads > 0) out.set(id, left);
        }
        const rows = LoadRows.pack(out);
        if (rows.length <= NAMED) return rows;
        return rows.sort((a, b) => b[3] + b[1] - a[3] - a[1]).slice(0, NAMED);
      },
    };
  },
};
