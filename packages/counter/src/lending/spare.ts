import type { Charter } from '@pumicebarrow/forms';
import type { SheetRow } from '@pumicebarrow/registry';

type Load = { read: number; write: number };

/**
 * How much of a server may be lent. Pure, so that every lender comes to the same from the same figures. Invariant:
 * over the servers of a part it never sums to more than the clause's share, nor than live work and what is kept leave.
 */
export const Spare = {
  slots(c: Charter, rows: readonly SheetRow[], load: Load, server: string): number {
    const clause = c.lending,
      row = rows.find((r) => r.server === server && r.stage === 'serving');
    if (!clause || !row) return 0;
    const size = (id: string): number => c.servers.find((s) => s.id === id)?.slots ?? 0;
    const all = rows
      .filter((r) => r.part === row.part && r.stage === 'serving')
      .reduce((n, r) => n + size(r.server), 0);
    const used = row.part === 'prefill' ? load.read : load.write;
    const total = Math.min(all * clause.most[row.part], all - clause.keep[row.part] - used);
    return Math.max(0, Math.floor((total * size(server)) / all));
  },
};
