import { Bounds } from '../bounds.js';
import type { Rule } from '../rule.js';

/** Over any window, arrivals beyond the first of each request stay within the budget. */
export const BudgetedRule: Rule = {
  name: 'BUDGET',
  check(e) {
    const { ratio, window, slack } = Bounds.budget;
    const faults: string[] = [];
    let looked = 0;
    for (const service of new Set(e.of('arrived').map((a) => a.service))) {
      const extra: number[] = [];
      for (const list of e.arrived.values()) {
        const free = list.findIndex((a) => a.step === 'read' && a.turned === 'taken');
        const rest = list.filter((_, i) => i !== free);
        extra.push(...rest.slice(1).flatMap((a) => (a.service === service ? [a.at] : [])));
      }
      extra.sort((a, b) => a - b);
      const asked = e
        .of('sent')
        .filter((s) => s.service === service)
        .map((s) => s.at);
      const count = (list: readonly number[], to: number): number =>
        list.filter((t) => t > to - window && t <= to).length;
      for (const at of extra) {
        looked++;
        const most = Math.max(count(asked, at), count(asked, at - window), count(asked, at - window / 2));
        if (count(extra, at) > most * ratio + slack)
          faults.push(`${count(extra, at)} further arrivals at ${service} of ${most} requests by ${Math.round(at)}`);
      }
    }
    return { faults: faults.slice(0, 3), looked };
  },
};
