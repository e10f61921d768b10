import { Contact } from './contact.js';
import type { Proposal } from './proposal.js';
import type { Seen } from './seen.js';

type Of<W extends Seen['what']> = Extract<Seen, { what: W }>;

/** What was seen, laid out for the rules. Invariant: in order of time. */
export const Evidence = {
  make(list: readonly Seen[], proposals: readonly Proposal[]) {
    const by = new Map<string, Seen[]>();
    for (const x of list) {
      const same = by.get(x.what);
      if (same) same.push(x);
      else by.set(x.what, [x]);
    }
    const of = <W extends Seen['what']>(what: W): readonly Of<W>[] => (by.get(what) ?? []) as unknown as Of<W>[];
    const group = <T extends { id: string }>(rows: readonly T[]): Map<string, T[]> => {
      const out = new Map<string, T[]>();
      for (const r of rows) out.set(r.id, [...(out.get(r.id) ?? []), r]);
      return out;
    };
    return {
      ...{ of, proposals, contact: Contact.make(list), end: list.at(-1)?.at ?? 0 },
      sent: new Map(of('sent').map((s) => [s.id, s])),
      answered: new Map(of('answered').map((a) => [a.id, a])),
      ran: group(of('ran')),
      arrived: group(of('arrived')),
      spoilt: new Set(of('spoilt').map((s) => s.id)),
      ruled: new Map(of('ruled').map((r) => [r.n, r])),
    };
  },
};
