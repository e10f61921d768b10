import { Lot, type Ident, type Rule } from '@pumicebarrow/forms';
import type { Hailing } from './hailing.js';
import type { Listed } from './listed.js';
import type { LoadBook } from './loadbook.js';
import { Share } from './share.js';
import type { SheetView } from './sheetview.js';
import type { Shuns } from './shuns.js';
import type { TownView } from './townview.js';

type Part = 'prefill' | 'decode';
type Tools = {
  hails: Hailing;
  sheet: SheetView;
  town: TownView;
  loads: LoadBook;
  shuns: ReturnType<typeof Shuns.make>;
  roster: () => readonly Ident[];
};

/** Which server a request goes to. */
export const Choice = {
  make(t: Tools) {
    const share = (id: string): number => {
      const slots = t.sheet.charter()?.servers.find((s) => s.id === id)?.slots ?? 1;
      return Share.of(slots, t.roster().filter((r) => r.role === 'counter').length);
    };
    const usable = (part: Part): Listed[] => {
      const out: Listed[] = [];
      for (const { row } of t.sheet.rows().values()) {
        if (row.part !== part || row.stage !== 'serving') continue;
        const s = t.town.good(row.server, row.born);
        if (s && t.hails.known(s) && !t.shuns.has(s.id, s.born)) out.push(s);
      }
      return out;
    };
    const room = (s: Listed, rule: Rule): boolean =>
      t.loads.at(s.id) === 0 || t.loads.at(s.id) + rule.weight <= share(s.id);
    return {
      usable,
      /** Whether a part has room for one more, beside what is promised under the name `held`. */
      roomy(part: Part, rule: Pick<Rule, 'weight'>, held: string): boolean {
        const list = usable(part);
        const used = list.reduce((a, s) => a + t.loads.at(s.id), 0) + t.loads.at(held);
        return list.length > 0 && (used === 0 || used + rule.weight <= list.reduce((a, s) => a + share(s.id), 0));
      },
      /** The server most likely to hold the prefix, unless it has no room. */
      prefill(rule: Rule, prefix: string, not: ReadonlySet<string>): Listed | null {
        const list = usable('prefill').filter((s) => !not.has(s.id) && room(s, rule));
        return Lot.first(`prefix:${prefix}`, list, (s) => s.id) ?? null;
      },
      /** The least laden, with slow links weighed in. */
      decode(rule: Rule, from: Listed, not: ReadonlySet<string>): Listed | null {
        const cost = (s: Listed): number =>
          t.loads.at(s.id) / share(s.id) + t.loads.link(from.id, s.id) / 400 + (s.site === from.site ? 0 : 0.05);
        const list = usable('decode').filter((s) => !not.has(s.id) && room(s, rule));
        return list.reduce<Listed | null>((a, b) => (a === null || cost(b) < cost(a) ? b : a), null);
      },
    };
  },
};
