import { Bounds } from '../bounds.js';
import type { Rule } from '../rule.js';

/** Nothing reaches a server much later than the list shows it leaving. */
export const DrainingRule: Rule = {
  name: 'DRAIN',
  check(e) {
    const since = new Map<string, number>();
    for (const l of e.of('listed')) if (!since.has(l.server)) since.set(l.server, l.at);
    const late = e.of('arrived').filter((a) => {
      const at = since.get(a.server);
      return a.turned !== 'misdirected' && at !== undefined && a.at > at + Bounds.drain;
    });
    const bad = late.filter(
      (a) => e.contact.touch(a.router, a.at) && e.contact.calm([a.server, 'platform'], a.at - Bounds.contact, a.at),
    );
    const faults = bad.map(
      (a) => `${a.id} from ${a.router} reached ${a.server} ${Math.round(a.at - since.get(a.server)!)} ms after`,
    );
    return { faults, looked: since.size };
  },
};
