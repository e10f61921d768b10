import { NameIndex } from '@pumicebarrow/forms';
import type { ServerListBody } from './serverlistbody.js';
import type { Server } from './server.js';

const STAGES = ['prefill', 'decode', null] as const;
/** The shared list only says whether a server is warming up; this stands for the time left. */
const ASSUMED_WARMUP_MS = 1000;

/**
 * Converts between the server list held in memory and the compact form that is shared. Names are sorted, so that rows
 * of unchanged servers are identical in the next version and only the difference has to be sent.
 */
export const ServerListRows = {
  pack(servers: readonly Server[]): ServerListBody {
    const indexNames = (of: (s: Server) => string) => {
      const indices = NameIndex.make();
      for (const name of [...new Set(servers.map(of))].sort()) indices.indexOf(name);
      return indices;
    };
    const services = indexNames((s) => s.service),
      zones = indexNames((s) => s.zone);
    const toList = (indices: typeof zones): string[] =>
      Array.from({ length: indices.size() }, (_, i) => indices.nameAt(i)!);
    const sorted = [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
    const rows = sorted.map((s): ServerListBody['rows'][number] => [
      s.id,
      services.indexOf(s.service),
      s.addr,
      zones.indexOf(s.zone),
      STAGES.indexOf(s.stage),
      s.state === 'draining' ? 1 : 0,
      s.slots,
      s.warm > 0 ? 1 : 0,
    ]);
    return { rows, services: toList(services), zones: toList(zones) };
  },
  unpack(body: ServerListBody): Server[] {
    return body.rows.map(([id, service, addr, zone, stage, draining, slots, warming]) => ({
      id,
      service: body.services[service] ?? '',
      addr,
      zone: body.zones[zone] ?? '',
      stage: STAGES[stage] ?? null,
      state: draining === 1 ? 'draining' : 'ready',
      slots,
      warm: warming === 1 ? ASSUMED_WARMUP_MS : 0,
    }));
  },
};
