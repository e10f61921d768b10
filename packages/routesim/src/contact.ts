import { Bounds } from './bounds.js';
import type { Seen } from './seen.js';

type Trouble = Extract<Seen, { what: 'trouble' }>;
const replica = (id: string): boolean => id.startsWith('k');

/**
 * Which machines were in touch, by the trouble that was brought. Invariant: one is in touch at a moment if for
 * `contact` before it neither it nor the core was in trouble; a replica that is away troubles the core only as it goes
 * and comes.
 */
export const Contact = {
  make(seen: readonly Seen[]) {
    const all = seen.filter((x): x is Trouble => x.what === 'trouble');
    const closed = seen.find((x) => x.what === 'closed');
    const met = (t: Trouble, from: number, to: number): boolean =>
      t.edges ? (t.at >= from && t.at <= to) || (t.until >= from && t.until <= to) : t.at <= to && t.until >= from;
    const own = (t: Trouble, from: number, to: number): boolean => t.at <= to && t.until >= from;
    const settled = (from: number, to: number): boolean =>
      !all.some((t) => t.ids.some(replica) && met(t, from, to)) &&
      !(closed && to >= closed.at && from <= closed.at + Bounds.contact * 2 + 4000);
    const calm = (ids: readonly string[], from: number, to: number): boolean =>
      !all.some((t) => t.ids.some((id) => ids.includes(id)) && own(t, from, to));
    return {
      settled,
      calm,
      touch: (id: string, at: number): boolean =>
        settled(at - Bounds.contact, at) && calm([id], at - Bounds.contact, at),
      /** Whether nothing unplanned was going on anywhere. */
      unplanned: (from: number, to: number): boolean => all.some((t) => !t.planned && own(t, from, to)),
      planned: (id: string, at: number): Trouble | undefined =>
        all.find((t) => t.planned && t.ids.includes(id) && t.at <= at && t.until + 1000 >= at),
      ended: (id: string, from: number, to: number): boolean =>
        all.some((t) => t.ids.includes(id) && t.until >= from && t.until <= to),
    };
  },
};
