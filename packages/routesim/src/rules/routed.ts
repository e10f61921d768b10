import type { Rule } from '../rule.js';

/** A request runs only where some configuration that was sent lets it. */
export const RoutedRule: Rule = {
  name: 'ROUTE',
  check(e) {
    const to = new Set(
      e.proposals.flatMap((p) => p.routing.routes.flatMap((r) => r.split.map((s) => `${r.prefix} ${s.service}`))),
    );
    const all = [...e.ran.values()].flat();
    const bad = all.filter((r) => !to.has(`${e.sent.get(r.id)?.path} ${r.service}`));
    return { faults: bad.map((r) => `${r.id} ran at ${r.server} of ${r.service}`), looked: all.length };
  },
};
