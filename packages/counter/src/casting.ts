import { Order, type World } from '@pumicebarrow/forms';
import type { Purging } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { Back } from './back.js';
import type { Duties } from './duties.js';
import type { Hailing } from './hailing.js';
import type { Listed } from './listed.js';
import type { SheetView } from './sheetview.js';
import { Target } from './target.js';
import type { TownView } from './townview.js';

type Tools = {
  hails: Hailing;
  world: World;
  sheet: SheetView;
  town: TownView;
  duty: Duties;
  purge: Purging;
  back: Back;
  self: () => string;
  suspect: (s: Listed) => boolean;
};
const ASK = 500;
const EMPTY = 6000;
const PROBE = 900;

/**
 * Orders servers to their parts. Invariants: an order leaves only under a fence that is live at that instant, and can't
 * take hold once the lease is over, or later than we wait for its outcome;
 * every row written carries that fence and a step above the last; a server is emptied before it swaps.
 * The holder of a row looks at its server about once a second, and twice more quickly once it did not reply.
 */
export const Casting = {
  make(t: Tools) {
    const busy = new Set<string>();
    const misses = new Map<string, number>();
    const now = (): number => t.world.clock.mono();
    const probed = new Map<string, number>();
    let swapped = -Infinity;
    let emptied = new Map<string, number>();
    const log = t.world.log('cast');

    const write = (fence: number, row: SheetRow): boolean => {
      const mark = Order.next(t.sheet.rows().get(row.server)?.mark, fence);
      return mark !== null && t.purge.publish({ name: `row:${row.server}`, mark, body: row });
    };
    const order = async (s: Listed, part: SheetRow['part']): Promise<void> => {
      const fence = t.duty.fence(`row:${s.id}`);
      const bound = t.hails.bound(s, Math.min(t.duty.until(`row:${s.id}`), now() + ASK));
      if (fence === null || !bound || !t.town.good(s.id, s.born)) return;
      const old = t.sheet.rows().get(s.id)?.mark;
      const step = old && old[0] === fence ? old[1] + 1 : 0;
      t.world.tell({ what: 'order', server: s.id, part, fence, step });
      const got = await t.back.order(s.addr, { fence, step, part, stage: 'serving', who: t.self(), ...bound }, ASK);
      if (got.ok && got.val.born === s.born && got.val.part === part) {
        log.say(`${s.id} is to ${part}.`);
        write(fence, { server: s.id, born: s.born, part, stage: 'serving', by: t.self() });
      }
    };
    const probe = async (s: Listed): Promise<boolean> => {
      probed.set(s.id, now());
      const got = await t.hails.ask(s, ASK);
      const well = got.ok && got.val.born === s.born;
      misses.set(s.id, well ? 0 : (misses.get(s.id) ?? 0) + 1);
      return well;
    };
    const live = (): { id: string; part: SheetRow['part'] | null }[] => {
      const rows = t.sheet.rows();
      return t.town
        .all()
        .filter((s) => s.mark === 'serving')
        .flatMap((s) => {
          const row = rows.get(s.id)?.row;
          if (row && row.born === s.born && row.stage === 'dark') return [];
          return [{ id: s.id, part: row ? row.part : null }];
        });
    };
    const mind = async (s: Listed): Promise<void> => {
      const c = t.sheet.charter(),
        fence = t.duty.fence(`row:${s.id}`);
      if (!c || fence === null) return;
      const row = t.sheet.rows().get(s.id)?.row;
      const all = live();
      const reads = all.filter((l) => l.part === 'prefill').length,
        writes = all.filter((l) => l.part === 'decode').length;
      const short = reads < c.casting.floor.prefill || writes < c.casting.floor.decode;
      const moving = [...t.sheet.rows().values()].some((r) => r.row.stage === 'draining' && r.row.server !== s.id);
      const swaps = !moving && (short || now() - swapped > c.casting.calm);
      const part = Target.part(c, t.sheet.mix()?.prefill ?? c.casting.prefill, all, s.id, swaps);
      if (!row || row.born !== s.born) {
        const first = row?.part ?? part;
        if (first && (await probe(s))) await order(s, first);
        return;
      }
      if (row.stage === 'dark') {
        if (await probe(s)) await order(s, row.part);
        return;
      }
      const sight = t.sheet.sight(s.id),
        missed = (misses.get(s.id) ?? 0) > 0;
      const due = now() - (probed.get(s.id) ?? -Infinity) > PROBE;
      if (
        (sight?.born === s.born || t.suspect(s) || missed || due) &&
        !(await probe(s)) &&
        (misses.get(s.id) ?? 0) >= 2
      ) {
        log.warn(`${s.id} is dark.`);
        write(fence, { ...row, stage: 'dark', by: t.self() });
        return;
      }
      if (row.stage === 'draining') {
        const since = emptied.get(s.id) ?? now();
        emptied = new Map(emptied).set(s.id, since);
        const st = await t.hails.ask(s, ASK);
        if (!st.ok || (st.val.busy > 0 && now() - since < EMPTY)) return;
        const to = row.part === 'prefill' ? 'decode' : 'prefill';
        await order(s, part !== null && now() - since >= EMPTY * 2 ? row.part : to);
        const next = new Map(emptied);
        next.delete(s.id);
        emptied = next;
        return;
      }
      if (part !== null && part !== row.part) {
        log.say(`${s.id} is to be emptied, then to ${part}.`);
        t.world.tell({ what: 'swap', server: s.id, part });
        write(fence, { ...row, stage: 'draining', by: t.self() });
      }
    };
    return {
      names: (): string[] => (t.sheet.charter()?.servers ?? []).map((s) => `row:${s.id}`),
      /** Some row changed its part: the calm begins anew, whoever ordered it. */
      noted(): void {
        swapped = now();
      },
      async tick(): Promise<void> {
        await Promise.all(
          t.town
            .all()
            .filter((s) => s.mark === 'serving' && !busy.has(s.id))
            .map(async (s) => {
              busy.add(s.id);
              await mind(s).finally(() => busy.delete(s.id));
            }),
        );
      },
    };
  },
};
