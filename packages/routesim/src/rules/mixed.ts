import type { Rule } from '../rule.js';

/** Nothing of another request: neither bytes nor memory. */
export const MixedRule: Rule = {
  name: 'MIXED',
  check(e) {
    const all = [...e.answered.values()].filter((a) => a.pieces.length > 0);
    const bytes = all
      .filter((a) => a.pieces.some((p) => p.key !== e.sent.get(a.id)!.key))
      .map((a) => `${a.id} got bytes of another`);
    const moves = e.of('fetched');
    const memory = moves.filter((m) => m.id !== m.owner).map((m) => `${m.id} went on from the memory of ${m.owner}`);
    return { faults: [...bytes, ...memory], looked: moves.length };
  },
};
