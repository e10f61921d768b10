import { Bounds } from '../bounds.js';
import type { Rule } from '../rule.js';

/** One holder at a time orders a server. */
export const OneHolderRule: Rule = {
  name: 'ONE',
  check(e) {
    const faults: string[] = [];
    const all = e.of('ordered').filter((o) => !e.contact.ended(o.from, o.at - Bounds.thaw, o.at));
    const by = new Map<string, typeof all>();
    for (const o of all) by.set(o.server, [...(by.get(o.server) ?? []), o]);
    for (const [server, list] of by)
      for (const [i, o] of list.entries())
        for (const p of list.slice(0, i).filter((x) => x.holder !== o.holder)) {
          if (p.fence === o.fence) faults.push(`${server}: ${p.holder} and ${o.holder} with fence ${o.fence}`);
          else if (o.at - p.at < Bounds.lease)
            faults.push(`${server}: ${o.holder} ${o.at - p.at} ms after ${p.holder}`);
        }
    return { faults, looked: all.length };
  },
};
