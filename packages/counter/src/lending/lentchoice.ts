import type { Rule } from '@pumicebarrow/forms';
import type { Listed } from '../listed.js';
import type { LoadBook } from '../loadbook.js';
import type { Choosing } from '../choosing.js';
import type { Borrower } from './borrower.js';

type Part = 'prefill' | 'decode';
type Tools = { live: Choosing; loads: LoadBook; borrower: ReturnType<typeof Borrower.make> };

/**
 * The choice of servers for borrowed work. Invariants: only a server that is usable for live work and under a live
 * lease here is chosen; no more is begun at it than was lent.
 */
export const LentChoice = {
  make(t: Tools): Choosing {
    const slots = (s: Listed): number => t.borrower.slots(s.id, s.born);
    const usable = (part: Part): Listed[] => t.live.usable(part).filter((s) => slots(s) > 0);
    const free = (s: Listed): number => slots(s) - t.loads.at(s.id);
    const room = (s: Listed, weight: number): boolean => weight <= free(s);
    const share = (s: Listed): number => t.loads.at(s.id) / slots(s);
    const pick = (part: Part, rule: Rule, not: ReadonlySet<string>): Listed | null => {
      const list = usable(part).filter((s) => !not.has(s.id) && room(s, rule.weight));
      return list.reduce<Listed | null>((a, b) => (a === null || share(b) < share(a) ? b : a), null);
    };
    return {
      usable,
      roomy: (part, rule, held) => {
        const list = usable(part);
        const all = list.reduce((n, s) => n + Math.max(0, free(s)), 0);
        return list.some((s) => room(s, rule.weight)) && t.loads.at(held) + rule.weight <= all;
      },
      prefill: (rule, _prefix, not) => pick('prefill', rule, not),
      decode: (rule, _from, not) => pick('decode', rule, not),
    };
  },
};
