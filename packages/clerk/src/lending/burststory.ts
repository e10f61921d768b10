type Counts = { total: number; waiting: number; begun: number; ran: number; unsure: number; dropped: number };
type Summary = Counts & { key: string; rule: string; order: number; ended: boolean; gone: boolean };

const PARTS = ['ran', 'begun', 'waiting', 'unsure', 'dropped'] as const;

/** A burst in plain words. */
export const BurstStory = {
  /** How many generations have their outcome. */
  over: (s: Counts): number => s.ran + s.unsure + s.dropped,
  words: (s: Counts): string => PARTS.flatMap((p) => (s[p] > 0 ? [`${s[p]} ${p}`] : [])).join(', '),
  lines(s: Summary): string[] {
    if (s.gone) return [`Burst ${s.key} is ended, and its outcomes are gone.`];
    const state = BurstStory.over(s) === s.total ? 'is over' : s.ended ? 'is ended, and some run on' : 'is under way';
    return [`Burst ${s.key} (number ${s.order}, rule ${s.rule}) ${state}: ${BurstStory.words(s)}.`];
  },
};
