import type { World } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import type { Duties } from './duties.js';
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
    self: () => string;
  }) {
    let lean = 0;
    let moved = -Infinity;
    let last = 0;
    return {
      name: 'mix',
      tick(): void {
        const c = t.sheet.charter(),
          fence = t.duty.fence('mix');
        if (!c || fence === null || !c.casting.swing) {
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
        const calm = c.casting.calm * (Math.sign(lean) === -last ? BACK : 1);
        if (Math.abs(lean) < TIMES || t.world.clock.mono() - moved < calm) return;
        const held = t.sheet.mix()?.prefill ?? c.casting.prefill;
        const way = Math.sign(lean),
          next = Target.count(c, held + way, rows.length);
        lean = 0;
        if (next === held) return;
        moved = t.world.clock.mono();
        last = way;
        const old = t.sheet.mark('mix');
        const step = old && old[0] === fence ? old[1] + 1 : 0;
        t.purge.publish({ name: 'mix', mark: [fence, step], body: { prefill: next, by: t.self() } });
        t.world.tell({ what: 'mix', prefill: next });
      },
    };
  },
};
