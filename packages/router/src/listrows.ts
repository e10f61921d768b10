import { Indices } from '@pumicebarrow/forms';
import type { ListBody } from './listbody.js';
import type { Server } from './server.js';

const STAGES = ['prefill', 'decode', null] as const;
const COLD = 1000;

/**
 * Between the list as it is held and as it is shared. Names are in their own order, so that the rows of servers that
 * did not change are the same in the next version, which is handed on by what it has beside the one before.
 */
export const ListRows = {
  pack(servers: readonly Server[]): ListBody {
    const names = (of: (s: Server) => string) => {
      const all = Indices.make();
      for (const name of [...new Set(servers.map(of))].sort()) all.of(name);
      return all;
    };
    const services = names((s) => s.service),
      zones = names((s) => s.zone);
    const list = (all: typeof zones): string[] => Array.from({ length: all.size() }, (_, i) => all.name(i)!);
    const sorted = [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
    const rows = sorted.map((s): ListBody['rows'][number] => [
      s.id,
      services.of(s.service),
      s.addr,
      zones.of(s.zone),
      STAGES.indexOf(s.stage),
      s.state === 'draining' ? 1 : 0,
      s.slots,
      s.warm > 0 ? 1 : 0,
    ]);
    return { rows, services: list(services), zones: list(zones) };
  },
  open(body: ListBody): Server[] {
    return body.rows.map(([id, service, addr, zone, stage, leaving, slots, cold]) => ({
      id,
      service: body.services[service] ?? '',
      addr,
      zone: body.zones[zone] ?? '',
      stage: STAGES[stage] ?? null,
      state: leaving === 1 ? 'draining' : 'ready',
      slots,
      warm: cold === 1 ? COLD : 0,
    }));
  },
};
