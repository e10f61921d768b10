import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from './history.js';
import { Loser } from './rules/loser.js';
import { Lost } from './rules/lostrule.js';

type Past = ReturnType<typeof History.make>;

/** Two deeds that agree on `same` and differ in `other`. */
const clash = (
  list: readonly HistoryEvent[],
  same: (d: HistoryEvent) => string,
  other: (d: HistoryEvent) => string,
): string[] => {
  const seen = new Map<string, string>();
  return list.flatMap((d) => {
    const k = same(d),
      v = other(d),
      old = seen.get(k);
    seen.set(k, v);
    return old !== undefined && old !== v ? [`${d.what} ${k}: ${old} and then ${v}`] : [];
  });
};

/** What must hold of the core alone, whatever the schedule. */
export const CoreJudge = {
  /** A read shows whatever was confirmed, or read, before it was asked. */
  reads(h: Past): string[] {
    const yes = [...h.of('verdict').filter((d) => d['code'] === 'confirmed'), ...h.of('read')];
    return h.of('read').flatMap((r) => {
      const old = yes.filter((d) => d.at < Number(r['from']) && Number(d['version']) > Number(r['version']))[0];
      return old ? [`a read at ${Math.round(r.at)} gave ${String(r['version'])} after ${String(old['version'])}`] : [];
    });
  },
  /** No name is held by two at one instant, and each new holder has a fence above all before. */
  leases(h: Past): string[] {
    const all = h.of('granted');
    return all.flatMap((d) =>
      all.flatMap((x) => {
        if (x['name'] !== d['name'] || x['by'] === d['by']) return [];
        const both =
          Number(x['from']) < Number(d['until']) &&
          Number(d['from']) < Number(x['until']) &&
          x.at < d.at &&
          Number(x['until']) > d.at;
        const fence = x.at < Number(d['from']) && Number(x['fence']) >= Number(d['fence']);
        return both || fence
          ? [
              `${String(d['name'])}: ${String(x['by'])} under ${String(x['fence'])} and ` +
                `${String(d['by'])} under ${String(d['fence'])}`,
            ]
          : [];
      }),
    );
  },
  judge(h: Past, ended: boolean): string[] {
    const healed = h.of('healed').at(-1);
    return [
      ...(ended ? [] : ['the schedule did not end']),
      ...h.of('unhealed').map((d) => `not whole again before ${String(d['before'])}`),
      ...(healed && healed['whole'] !== true ? ['not whole again at the end'] : []),
      ...clash(
        h.of('confirmed'),
        (d) => String(d['version']),
        (d) => String(d['plan']),
      ),
      ...clash(
        h.of('view'),
        (d) => String(d['epoch']),
        (d) => JSON.stringify(d['chain']),
      ),
      ...CoreJudge.reads(h),
      ...CoreJudge.leases(h),
      ...Lost.judge(h).broken.map((b) => b.why),
      ...Loser.judge(h).broken.map((b) => b.why),
    ];
  },
};
