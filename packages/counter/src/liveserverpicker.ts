import { RendezvousHash, type Ident, type NamedRoute } from '@pumicebarrow/forms';
import type { ServerClocks } from './serverclocks.js';
import type { ListedServer } from './listedserver.js';
import type { InFlightLoads } from './inflightloads.js';
import { SlotShare } from './slotshare.js';
import type { FleetRecordsView } from './fleetrecordsview.js';
import type { Ejections } from './ejections.js';
import type { InventoryView } from './inventoryview.js';

type Stage = 'prefill' | 'decode';
type Dependencies = {
  /** Readings of the servers' clocks. */
  hails: ServerClocks;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  /** Backend inventory. */
  town: InventoryView;
  loads: InFlightLoads;
  ejections: ReturnType<typeof Ejections.make>;
  roster: () => readonly Ident[];
};

/** Picks servers for live requests, those of callers that wait for the answer (not those of bursts on loans). */
export const LiveServerPicker = {
  make(deps: Dependencies) {
    const shareOf = (id: string): number => {
      const slots = deps.sheet.configuration()?.servers.find((s) => s.id === id)?.slots ?? 1;
      return SlotShare.of(slots, deps.roster().filter((r) => r.role === 'counter').length);
    };
    /** Servers assigned to a stage that are listed as serving, have a valid clock reading and are not ejected. */
    const usable = (stage: Stage): ListedServer[] => {
      const servers: ListedServer[] = [];
      for (const { assignment: row } of deps.sheet.assignments().values()) {
        if (row.part !== stage || row.stage !== 'serving') continue;
        const server = deps.town.findServing(row.server, row.born);
        if (server && deps.hails.isKnown(server) && !deps.ejections.has(server.id, server.born)) servers.push(server);
      }
      return servers;
    };
    /** An idle server takes a request of any weight. */
    const fits = (server: ListedServer, route: NamedRoute): boolean =>
      deps.loads.weightAt(server.id) === 0 || deps.loads.weightAt(server.id) + route.weight <= shareOf(server.id);
    return {
      usable,
      /** Whether a stage has room for one more request, besides the load reserved under the key `reservedKey`. */
      hasRoom(stage: Stage, route: Pick<NamedRoute, 'weight'>, reservedKey: string): boolean {
        const list = usable(stage);
        const used = list.reduce((a, s) => a + deps.loads.weightAt(s.id), 0) + deps.loads.weightAt(reservedKey);
        return list.length > 0 && (used === 0 || used + route.weight <= list.reduce((a, s) => a + shareOf(s.id), 0));
      },
      /** The server most likely to have the prefix in its cache, among those with room. */
      prefill(route: NamedRoute, prefix: string, excluded: ReadonlySet<string>): ListedServer | null {
        const servers = usable('prefill').filter((s) => !excluded.has(s.id) && fits(s, route));
        return RendezvousHash.first(`prefix:${prefix}`, servers, (s) => s.id) ?? null;
      },
      /** The least loaded server, where slow hand-over of the KV cache and another zone count as load. */
      decode(route: NamedRoute, prefillServer: ListedServer, excluded: ReadonlySet<string>): ListedServer | null {
        const cost = (s: ListedServer): number =>
          deps.loads.weightAt(s.id) / shareOf(s.id) +
          deps.loads.handoverMs(prefillServer.id, s.id) / 400 +
          (s.site === prefillServer.site ? 0 : 0.05);
        const servers = usable('decode').filter((s) => !excluded.has(s.id) && fits(s, route));
        return servers.reduce<ListedServer | null>((a, b) => (a === null || cost(b) < cost(a) ? b : a), null);
      },
    };
  },
};
