import { Indices } from '@pumicebarrow/forms';
import type { ListBody } from './listbody.js';
import type { Server } from './server.js';

const STAGES = ['prefill', 'decode', null] as const;
const COLD = 1000;

/** Between the list as it is held and as it is shared. */
export const ListRows = {
  pack(servers: readonly Server[]): ListBody {
    const services = Indices.make(),
      zones = Indices.make();
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
    const names = (of: (s: Server) => string): string[] => [...new Set(sorted.map(of))];
    return { rows, services: names((s) => s.service), zones: names((s) => s.zone) };
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
