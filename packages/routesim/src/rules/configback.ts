import { Bounds } from '../bounds.js';
import { Handlings } from '../handlings.js';
import type { Rule } from '../rule.js';

/** Within one life a router never goes back to an older configuration. */
export const ConfigBackRule: Rule = {
  name: 'CONFIG back',
  check(e) {
    const never = new Set(
      [...e.ruled.values()].filter((r) => r.outcome === 'bad' || r.outcome === 'lost').map((r) => r.n),
    );
    const faults: string[] = [];
    const floors = new Map<string, { at: number; revision: number }[]>();
    let looked = 0;
    for (const h of Handlings.of(e)) {
      const may = h.by.filter((p) => !never.has(p.n)).map((p) => p.revision);
      if (may.length === 0) continue;
      const key = `${h.router} ${h.life}`,
        rows = floors.get(key) ?? [];
      floors.set(key, rows);
      const floor = rows.findLast((r) => r.at < h.sent - Bounds.revert)?.revision ?? 0;
      if (floor > 0) looked++;
      if (Math.max(...may) < floor) faults.push(`${h.id} at ${h.router}: ${Math.max(...may)} after ${floor}`);
      if (e.ran.has(h.id)) rows.push({ at: h.at, revision: Math.max(rows.at(-1)?.revision ?? 0, Math.min(...may)) });
    }
    return { faults, looked };
  },
};
