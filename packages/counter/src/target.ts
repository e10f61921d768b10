import { Lot, type Charter } from '@pumicebarrow/forms';

type Part = 'prefill' | 'decode';
type Live = { id: string; part: Part | null };

/**
 * Which part a server should play. Pure, so that every duty holder comes to the same.
 * Invariants: no answer takes a part below its floor; at most one server is told to swap at a time.
 */
export const Target = {
  count(charter: Charter, wish: number, live: number): number {
    const top = Math.max(charter.casting.floor.prefill, live - charter.casting.floor.decode);
    return Math.min(Math.max(wish, charter.casting.floor.prefill), top);
  },
  part(charter: Charter, wish: number, live: readonly Live[], id: string, swaps: boolean): Part | null {
    const may = (x: string): Part | 'either' | null => charter.servers.find((s) => s.id === x)?.part ?? null;
    const me = live.find((l) => l.id === id),
      can = may(id);
    if (!me || can === null) return null;
    if (can !== 'either') return can;
    const want = Target.count(charter, wish, live.length);
    const order = Lot.rank(
      'cast',
      live.filter((l) => may(l.id) !== null),
      (l) => l.id,
    );
    const fixed = (l: Live): Part | null => {
      const m = may(l.id);
      return m === 'either' || m === null ? l.part : m;
    };
    let reads = order.filter((l) => fixed(l) === 'prefill').length;
    let plan: Part | null = me.part;
    for (const l of order.filter((x) => fixed(x) === null)) {
      const p: Part = reads < want ? 'prefill' : 'decode';
      if (p === 'prefill') reads++;
      if (l.id === id) plan = p;
    }
    if (me.part === null || !swaps || order.some((l) => fixed(l) === null)) return plan;
    const loose = order.filter((l) => may(l.id) === 'either');
    if (reads > want) return loose.filter((l) => l.part === 'prefill').at(-1)?.id === id ? 'decode' : me.part;
    if (reads < want) return loose.find((l) => l.part === 'decode')?.id === id ? 'prefill' : me.part;
    return me.part;
  },
};
