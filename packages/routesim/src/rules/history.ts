import { RegisterHistory } from '../registerhistory.js';
import type { Rule } from '../rule.js';

type Calls = Parameters<typeof RegisterHistory.unexplained>[0];

/** All that operators sent and read is explained by one register that takes effect call by call. */
export const HistoryRule: Rule = {
  name: 'HISTORY',
  check(e) {
    const sent = new Map(e.of('proposed').map((p) => [p.n, p.at]));
    const calls: Calls = [
      ...e.proposals.flatMap((p): Calls => {
        const ruled = e.ruled.get(p.n);
        const from = sent.get(p.n);
        if (from === undefined || ruled?.outcome === 'bad') return [];
        const outcome = ruled?.outcome === 'acked' ? 'won' : ruled?.outcome === 'lost' ? 'lost' : 'unclear';
        const { base, revision } = p;
        return [{ kind: 'replace', from, to: ruled?.at ?? Infinity, base, revision, outcome }];
      }),
      ...e.of('read').map((r): Calls[number] => ({ kind: 'read', from: r.from, to: r.at, revision: r.revision })),
    ];
    const wrong = RegisterHistory.unexplained(calls);
    const faults = wrong.map((c) => `no order of all calls explains ${JSON.stringify(c)}`);
    return { faults: faults.slice(0, 1), looked: calls.length };
  },
};
