import type { Charter, Deed } from '@pumicebarrow/forms';
import type { History } from '../history.js';
import { LentKeys } from './lentkeys.js';

type Past = ReturnType<typeof History.make>;
type Span = { who: string; from: number; to: number; weight: number };
/** What a daemon knows of the fleet, and of what is lent, is at most so old. */
const OLD = 3000;
const NEW = 5;

/**
 * Loans that were called back while the fleet had room beside them; for runs in which nothing fails. Invariant: live
 * work is taken for the most, and room for the least, that the daemon could have known, so it never blames wrongly.
 */
export const Needless = {
  broken(h: Past, c: Charter): string[] {
    const weight = (name: unknown): number => c.rules.find((r) => r.name === name)?.weight ?? 1;
    const ends = new Map(h.of('visit').map((d) => [`${String(d['key'])} ${String(d['attempt'])}`, d.at]));
    const spans = h.of('gated').flatMap((d): Span[] => {
      if (LentKeys.place(d)) return [];
      const to = ends.get(`${String(d['key'])} ${String(d['attempt'])}`) ?? Infinity;
      return [{ who: d.who, from: d.at, to, weight: weight(d['rule']) }];
    });
    const sum = (at: number, who?: string): number =>
      spans.reduce((n, v) => n + (v.from <= at && v.to > at && (who === undefined || v.who === who) ? v.weight : 0), 0);
    /** The weight of whichever request it was for: one in hand, or one that is let in at this instant. */
    const one = (at: number, who: string): number =>
      Math.max(1, ...spans.filter((v) => v.who === who && v.from <= at + NEW && v.to > at).map((v) => v.weight));
    const most = (at: number): number =>
      spans.reduce((n, v) => (v.from > at - OLD && v.from <= at ? Math.max(n, sum(v.from)) : n), sum(at - OLD));
    const size = (id: string): number => c.servers.find((s) => s.id === id)?.slots ?? 0;
    const last = (list: readonly Deed[], at: number): Deed | undefined => list.findLast((d) => d.at <= at);
    const room = (part: unknown, at: number): number =>
      c.servers.reduce((n, { id }) => {
        const ordered = last(
            h.of('ordered').filter((d) => d.who === id),
            at,
          ),
          swap = last(
            h.of('swap').filter((d) => d['server'] === id),
            at,
          );
        if (!ordered || ordered['part'] !== part || (swap && swap.at >= ordered.at)) return n;
        const loans = h.of('loan').filter((d) => d['server'] === id);
        const held = [last(loans, at - OLD), ...loans.filter((d) => d.at > at - OLD && d.at <= at)];
        return n + size(id) - Math.max(0, ...held.map((d) => Number(d?.['slots'] ?? 0)));
      }, 0);
    return h.of('wouldwait').flatMap((w) => {
      const wants = most(w.at) + sum(w.at, w.who) + one(w.at, w.who),
        has = room(w['part'], w.at);
      return wants <= has
        ? [`${w.who} called ${String(w['part'])} back at ${Math.round(w.at)}: ${wants} wanted, room for ${has}`]
        : [];
    });
  },
};
