import { Dice, type Doc, type World } from '@pumicebarrow/forms';
import type { Holding, Purging } from '@pumicebarrow/purge';
import type { Listed } from './listed.js';
import type { SheetView } from './sheetview.js';
import type { Shuns } from './shuns.js';
import type { TownView } from './townview.js';

type Tools = {
  world: World;
  shelf: Holding;
  sheet: SheetView;
  shuns: ReturnType<typeof Shuns.make>;
  purge: Purging;
  town: TownView;
  self: string;
};
const SHUN = 1000;

/**
 * Servers that went dark, as this daemon saw or heard. Invariant: what one daemon saw is published once for each life
 * of a server; what another saw shuns it here for half as long, since it may be their link that is down.
 */
export const Sights = {
  make(t: Tools) {
    return {
      saw(s: Listed): void {
        t.shuns.add(s.id, s.born, SHUN);
        const old = t.shelf.mark(`sight:${s.id}`);
        const seen = t.sheet.sight(s.id);
        t.world.tell({ what: 'sighted', server: s.id });
        if (seen?.born === s.born && seen.by === t.self) return;
        t.purge.publish({
          name: `sight:${s.id}`,
          mark: [(old?.[0] ?? 0) + 1, Dice.int(t.world.chance, 1e6)],
          body: { server: s.id, born: s.born, by: t.self },
        });
      },
      heard(doc: Doc): void {
        const s = t.town.all().find((x) => `sight:${x.id}` === doc.name);
        const body = t.sheet.sight(s?.id ?? '');
        if (!s || body?.born !== s.born || body.by === t.self || t.shuns.has(s.id, s.born)) return;
        t.shuns.add(s.id, s.born, SHUN / 2);
      },
    };
  },
};
