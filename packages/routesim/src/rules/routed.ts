import type { Rule } from '../rule.js';

/** A request runs only where some configuration that was sent lets it. */
export const RoutedRule: Rule = {
  name: 'ROUTE',
  check(e) {
    const to = new Set(
      e.proposals.flatMap((p) => p.routing.routes.flatMap((r) => r.split.map((s) => `${r.prefix} ${s.service}`))),
    );
    const keys = new Set(e.proposals.flatMap((p) => (p.routing.tenants ?? []).flatMap((t) => t.keys)));
    const all = [...e.ran.values()].flat();
    const bad = all.filter((r) => !to.has(`${e.sent.get(r.id)?.path} ${r.service}`));
    const unknown = all.filter((r) => !keys.has(e.sent.get(r.id)?.credentials ?? ''));
    const faults = [
      ...bad.map((r) => `${r.id} ran at ${r.server} of ${r.service}`),
      ...unknown.map((r) => `${r.id} ran at ${r.server} by a key that was never held`),
    ];
    return { faults, looked: all.length };
  },
};
