import type { Evidence } from './evidence.js';
import type { Proposal } from './proposal.js';

type Handled = { id: string; router: string; life: number; sent: number; at: number; by: readonly Proposal[] };

/** How routers handled requests: by which configurations each may have been handled so, whatever became of those. */
export const Handlings = {
  of(e: ReturnType<typeof Evidence.make>): readonly Handled[] {
    const route = (p: Proposal, path: string) => p.routing.routes.filter((r) => r.prefix === path);
    const ran = [...e.ran.values()].flat().map((r) => ({ id: r.id, at: r.at, service: r.service }));
    const missing = [...e.answered.values()]
      .filter((a) => a.outcome === 'missing')
      .map((a) => ({ id: a.id, at: a.at, service: 'no route' as const }));
    const unauthorized = [...e.answered.values()]
      .filter((a) => a.outcome === 'unauthorized')
      .map((a) => ({ id: a.id, at: a.at, service: 'no key' as const }));
    return [...ran, ...missing, ...unauthorized]
      .flatMap(({ id, at, service }) => {
        const s = e.sent.get(id);
        if (!s) return [];
        const by = e.proposals.filter((p) => {
          const rows = route(p, s.path);
          if (service === 'no route') return rows.length === 0;
          const held = p.routing.tenants?.some((t) => t.keys.includes(s.credentials)) ?? true;
          if (service === 'no key') return rows.length > 0 && !held;
          return held && rows.some((r) => r.split.some((x) => x.service === service));
        });
        return [{ id, router: s.router, life: s.life, sent: s.at, at, by }];
      })
      .sort((a, b) => a.at - b.at);
  },
};
