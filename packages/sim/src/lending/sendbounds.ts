import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from '../history.js';

type Past = ReturnType<typeof History.make>;
const SLACK = 400;
const name = (d: HistoryEvent): string => `${String(d['key'])} ${String(d['attempt'])}`;

/**
 * What is sent to a server stays within what was lent: no more at once than its slots, nothing that takes hold once
 * the loan has lapsed. Invariant: only streams that are surely under way are counted, so it never blames wrongly.
 */
export const SendBounds = {
  broken(h: Past, term: number, lent: (d: HistoryEvent) => boolean): string[] {
    const out: string[] = [];
    const ended = new Map(h.of('visit').flatMap((d) => (d['ran'] === 'yes' ? [[name(d), d.at] as const] : [])));
    const runs = new Set(h.of('ran').map(name));
    const loans = new Map<string, HistoryEvent[]>();
    const lapses = new Map<string, HistoryEvent>();
    /** When a loan that is over lapsed, by what its lender has told; one that was called back lapses too, later. */
    const lapsed = (l: HistoryEvent): number | null => {
      if (l['why'] === 'lapsed') return l.at;
      const told = lapses.get(String(l['server']));
      return told && told.who === l.who && told.at >= l.at ? told.at : null;
    };
    const open = new Map<string, { key: string; until: number }[]>();
    for (const d of h.all) {
      const server = String(d['server']),
        past = loans.get(server) ?? [];
      if (d.what === 'lapsed') lapses.set(server, d);
      if (d.what === 'loan') loans.set(server, [...past, d]);
      if (d.what === 'ran' && lent(d)) {
        const last = loans.get(d.who)?.at(-1),
          at = last && Number(last['slots']) === 0 ? lapsed(last) : null;
        if (at !== null && at < d.at)
          out.push(`${d.who} took ${name(d)} ${Math.round(d.at - at)} ms after its loan had lapsed`);
      }
      if (d.what !== 'send' || d['part'] !== 'decode' || !lent(d)) continue;
      const at = `${d.who} ${server}`;
      const most = past
        .filter((l, i) => (past[i + 1]?.at ?? Infinity) > d.at - term - SLACK && l['holder'] === d.who)
        .reduce((n, l) => Math.max(n, Number(l['slots'])), 0);
      const under = (open.get(at) ?? []).filter((x) => x.until > d.at);
      if (under.length + 1 > most) out.push(`${at}: ${under.length + 1} streams, ${most} were lent`);
      const until = ended.get(name(d));
      if (until !== undefined && runs.has(name(d))) open.set(at, [...under, { key: name(d), until }]);
    }
    return out;
  },
};
