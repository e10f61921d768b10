import type { HistoryEvent } from '@pumicebarrow/forms';
import type { NeverRule } from '../neverrule.js';

/** Never 1. */
export const Twice: NeverRule = {
  name: 'twice',
  never: 'a request runs twice',
  judge(h) {
    const by = new Map<string, HistoryEvent[]>();
    for (const d of h.of('ran')) by.set(String(d['key']), [...(by.get(String(d['key'])) ?? []), d]);
    const most = Math.max(0, ...[...by.values()].map((l) => l.length));
    return {
      checked: by.size,
      broken: [...by]
        .filter(([, l]) => l.length > 1)
        .map(([key, l]) => ({
          at: l[1]!.at,
          why: `${key} ran ${l.length} times`,
          deeds: h.all.filter((d) => d['key'] === key),
        })),
      worst: `${most} runs of one key`,
    };
  },
};
