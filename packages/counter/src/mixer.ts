import type { World } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import type { Duties } from './duties.js';
import type { SheetView } from './sheetview.js';
import { Target } from './target.js';
import type { TownView } from './townview.js';

type Load = { read: number; write: number };
const LEAN = 1.4;
const BUSY = 0.6;
const TIMES = 4;

/**
 * Says how many servers should read. Invariant: the number moves by one, only after the same lean was seen
 * several times running while that part was busy, and never twice within the charter's calm.
 */
export const Mixer = {
  make(t: { world: World; sheet: SheetView; town: TownView; duty: Duties; purge: Purging; load: () => Load; self: () => string }) {
    let lean = 0;
    let moved = -Infinity;
    return {
      name: 'mix',
      tick(): void {
        const c = t.sheet.charter(), fence = t.duty.fence('mix');
        if (!c || fence === null || !c.casting.swing) { lean = 0; return; }
        const rows = [...t.sheet.rows().values()].map((r) => r.row).filter((r) => r.stage !== 'dark' && t.town.good(r.server, r.born));
        const slots = (p: string): number => rows.filter((r) => r.part === p).reduce((a, r) => a + (c.servers.find((s) => s.id === r.server)?.slots ?? 1), 0);
        const load = t.load(), read = load.read / Math.max(1, slots('prefill')), write = load.write / Math.max(1, slots('decode'));
        const now = read > BUSY && read > write * LEAN ? 1 : write > BUSY && write > read * LEAN ? -1 : 0;
        lean = now === 0 ? 0 : Math.sign(lean) === now ? lean + now : now;
        if (Math.abs(lean) < TIMES || t.world.clock.mono() - moved < c.casting.calm) return;
        const held = t.sheet.mix()?.prefill ?? c.casting.prefill;
        const next = Target.count(c, held + Math.sign(lean), rows.length);
        lean = 0;
        if (next === held) return;
        moved = t.world.clock.mono();
        const old = t.sheet.mark('mix');
        const step = old && old[0] === fence ? old[1] + 1 : 0;
        t.purge.publish({ name: 'mix', mark: [fence, step], body: { prefill: next, by: t.self() } });
        t.world.tell({ what: 'mix', prefill: next });
      },
    };
  },
};
