import { Lot, type Ident, type Rule } from '@pumicebarrow/forms';
import type { Hailing } from './hailing.js';
import type { Listed } from './listed.js';
import type { LoadBook } from './loadbook.js';
import { Share } from './share.js';
import type { SheetView } from './sheetview.js';
import type { Shuns } from './shuns.js';
import type { TownView } from './townview.js';

type Stage = 'prefill' | 'decode';
type Dependencies = {
  /** Readings of the servers' clocks. */
  hails: Hailing;
  /** Configuration and stage assignments. */
  sheet: SheetView;
  /** Backend inventory. */
  town: TownView;
  loads: LoadBook;
  shuns: ReturnType<typeof Shuns.make>;
  roster: () => readonly Ident[];
};

/** Picks servers for live requests, those of callers that wait for the answer (not those of bursts on loans). */
export const Choice = {
  make(deps: Dependencies) {
    const shareOf = (id: string): number => {
      const slots = deps.sheet.charter()?.servers.find((s) => s.id === id)?.slots ?? 1;
      return Share.of(slots, deps.roster().filter((r) => r.role === 'counter').length);
    };
    /** Servers assigned to a stage that are listed as serving, have a valid clock reading and are not ejected. */
    const usable = (stage: Stage): Listed[] => {
      const servers: Listed[] = [];
      for (const { row } of deps.sheet.rows().values()) {
        if (row.part !== stage || row.stage !== 'serving') continue;
        const server = deps.town.good(row.server, row.born);
        if (server && deps.hails.isKnown(server) && !deps.shuns.has(server.id, server.born)) servers.push(server);
      }
      return servers;
    };
    /** An idle server takes a request of any weight. */
    const fits = (server: Listed, route: Rule): boolean =>
      deps.loads.at(server.id) === 0 || deps.loads.at(server.id) + route.weight <= shareOf(server.id);
    return {
      usable,
      /** Whether a stage has room for one more request, besides the load reserved under the key `reservedKey`. */
      roomy(stage: Stage, route: Pick<Rule, 'weight'>, reservedKey: string): boolean {
        const list = usable(stage);
        const used = list.reduce((a, s) => a + deps.loads.at(s.id), 0) + deps.loads.at(reservedKey);
        return list.length > 0 && (used === 0 || used + route.weight <= list.reduce((a, s) => a + shareOf(s.id), 0));
      },
      /** The server most likely to have the prefix in its cache, among those with room. */
      prefill(route: Rule, prefix: string, excluded: ReadonlySet<string>): Listed | null {
        const servers = usable('prefill').filter((s) => !excluded.has(s.id) && fits(s, route));
        return Lot.first(`prefix:${prefix}`, servers, (s) => s.id) ?? null;
      },
      /** The least loaded server, where slow hand-over of the KV cache and another zone count as load. */
      decode(route: Rule, prefillServer: Listed, excluded: ReadonlySet<string>): Listed | null {
        const cost = (s: Listed): number =>
          deps.loads.at(s.id) / shareOf(s.id) +
          deps.loads.handoverMs(prefillServer.id, s.id) / 400 +
          (s.site === prefillServer.site ? 0 : 0.05);
        const servers = usable('decode').filter((s) => !excluded.has(s.id) && fits(s, route));
        return servers.reduce<Listed | null>((a, b) => (a === null || cost(b) < cost(a) ? b : a), null);
      },
    };
  },
};
