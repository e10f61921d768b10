import type { World } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import type { Mix } from '@pumicebarrow/registry';
import type { Duties } from './duties.js';
import { StageLoan } from './lending/stageloan.js';
import type { SheetView } from './sheetview.js';
import { Target } from './target.js';
import type { TownView } from './townview.js';

type Load = { read: number; write: number };
const GAIN = 0.85;
const BUSY = 0.6;
const TIMES = 4;
const BACK = 2;

/**
 * Says how many servers should read. Invariant: the number moves by one, only after the same lean was seen several
 * times running, only if the busier part would be clearly less busy for it, and never twice within the charter's calm;
 * so under a steady load it comes to rest. A move that undoes the last one waits twice as long.
 */
export const Mixer = {
  make(t: {
    world: World;
    sheet: SheetView;
    town: TownView;
    duty: Duties;
    purge: Purging;
    load: () => Load;
    /** Which part bursts are short of; null where there are none. */
    wished: () => 'prefill' | 'decode' | 'either' | null;
    self: () => string;
  }) {
    let wish: ReturnType<typeof t.wished> = null;
    let looks = 0;
    let rested = -Infinity;
    const publish = (fence: number, body: Omit<Mix, 'by'>): boolean => {
      const old = t.sheet.mark('mix');
      const step = old && old[0] === fence ? old[1] + 1 : 0;
      if (!t.purge.publish({ name: 'mix', mark: [fence, step], body: { ...body, by: t.self() } })) return false;
      t.world.tell({ what: 'mix', prefill: body.prefill, lent: body.lent ?? 0, back: body.back ?? false });
      return true;
    };
    let lean = 0;
    let moved = -Infinity;
    let last = 0;
    return {
      name: 'mix',
      tick(): void {
        const c = t.sheet.charter(),
          fence = t.duty.fence('mix');
        if (!c || fence === null || (!c.casting.swing && !t.sheet.mix()?.lent)) {
          lean = 0;
          return;
        }
        const rows = [...t.sheet.rows().values()]
          .map((r) => r.row)
          .filter((r) => r.stage !== 'dark' && t.town.good(r.server, r.born));
        const slots = (p: string): number =>
          rows
            .filter((r) => r.part === p)
            .reduce((a, r) => a + (c.servers.find((s) => s.id === r.server)?.slots ?? 1), 0);
        const load = t.load(),
          one = (slots('prefill') + slots('decode')) / Math.max(1, rows.length);
        /** How busy the busier part would be with `by` more readers. */
        const worst = (by: number): number => {
          const p = slots('prefill') + by * one,
            d = slots('decode') - by * one;
          return p <= 0 || d <= 0 ? Infinity : Math.max(load.read / p, load.write / d);
        };
        const here = worst(0),
          now = here < BUSY ? 0 : worst(1) < here * GAIN ? 1 : worst(-1) < here * GAIN ? -1 : 0;
        lean = now === 0 ? 0 : Math.sign(lean) === now ? lean + now : now;
        const mix: Omit<Mix, 'by'> = t.sheet.mix() ?? { prefill: c.casting.prefill };
        const asked = t.wished();
        looks = asked === wish ? looks + 1 : 0;
        wish = asked;
        const seen = { charter: c, mix, wish, looks, lean: now, worst, servers: rows.length };
        const times = { since: t.world.clock.mono() - Math.max(moved, rested), wall: t.world.clock.wall() };
        const loan = StageLoan.next({ ...seen, ...times });
        if (loan && publish(fence, loan)) {
          rested = t.world.clock.mono();
          if (!loan.back) moved = rested;
        }
        if (loan || !c.casting.swing || (mix.lent ?? 0) !== 0) {
          lean = 0;
          return;
        }
        const calm = c.casting.calm * (Math.sign(lean) === -last ? BACK : 1);
        if (Math.abs(lean) < TIMES || t.world.clock.mono() - moved < calm) return;
        const held = t.sheet.mix()?.prefill ?? c.casting.prefill;
        const way = Math.sign(lean),
          next = Target.count(c, held + way, rows.length);
        lean = 0;
        if (next === held) return;
        moved = t.world.clock.mono();
        last = way;
        publish(fence, { prefill: next, ...(mix.swaps ? { swaps: mix.swaps } : {}) });
      },
    };
  },
};
