import type { HistoryEvent } from '@pumicebarrow/forms';

type Span = { from: number; to: number };
type Stretch = Span & { life: number; born: boolean };
/** How long the core takes to mend its chain after one of it returns. */
const REST = 6000;

/** A run's history, with the questions that rules ask of it. Invariant: in order of time. */
export const History = {
  make(list: readonly HistoryEvent[]) {
    const by = new Map<string, HistoryEvent[]>();
    for (const d of list) {
      const same = by.get(d.what);
      if (same) same.push(d);
      else by.set(d.what, [d]);
    }
    const of = (what: string): readonly HistoryEvent[] => by.get(what) ?? [];
    const end = list.at(-1)?.at ?? 0;
    const ups = new Map<string, Span[]>();
    // In the order told: a daemon may be killed and started in one instant.
    for (const d of list) {
      if (d.what !== 'start' && d.what !== 'killed') continue;
      const spans = ups.get(d.who) ?? [];
      if (d.what === 'start') spans.push({ from: d.at, to: Infinity });
      else if (spans.length > 0) spans[spans.length - 1]!.to = d.at;
      ups.set(d.who, spans);
    }
    const apart: { ids: readonly string[]; from: number; to: number }[] = [
      ...of('frozen').map((d) => ({ ids: [d.who], from: d.at, to: d.at + Number(d['ms']) })),
      ...of('cut').map((d) => ({ ids: d['ids'] as string[], from: d.at, to: Number(d['until']) })),
    ];
    const still = (id: string, from: number, to: number): boolean =>
      (ups.get(id) ?? []).some((s) => s.from <= from && s.to >= to) &&
      !apart.some((a) => a.ids.includes(id) && a.from <= to && a.to >= from);
    return {
      all: list,
      of,
      end,
      /** Whether no core was down, frozen or cut off from a while before until the end of a span. */
      coreWhole: (from: number, to: number): boolean =>
        [...ups.keys()].filter((id) => id.startsWith('c')).every((id) => still(id, from - REST, to)),
      /** The spans in which a machine was up, awake and linked; `born` when one begins with a start. */
      stretches(id: string): readonly Stretch[] {
        return (ups.get(id) ?? []).flatMap((s) => {
          const gaps = apart
            .filter((a) => a.ids.includes(id) && a.to > s.from && a.from < s.to)
            .sort((a, b) => a.from - b.from);
          const out: Stretch[] = [];
          let from = s.from;
          for (const g of gaps) {
            if (g.from > from) out.push({ from, to: g.from, life: s.from, born: from === s.from });
            from = Math.max(from, g.to);
          }
          if (from < s.to) out.push({ from, to: s.to, life: s.from, born: from === s.from });
          return out;
        });
      },
      edges: [...ups.keys()].filter((id) => id.startsWith('e')),
      lives: (id: string): readonly Span[] => ups.get(id) ?? [],
      /** Whether no cut fell on a machine in a span, whatever else did. */
      linked: (id: string, from: number, to: number): boolean =>
        !of('cut').some((d) => (d['ids'] as string[]).includes(id) && d.at <= to && Number(d['until']) >= from),
      sound: still,
    };
  },
};
