type Counts = { total: number; waiting: number; begun: number; ran: number; unsure: number; dropped: number };
type Summary = Counts & { key: string; rule: string; order: number; ended: boolean; gone: boolean };

const STATES = ['ran', 'begun', 'waiting', 'unsure', 'dropped'] as const;

/** A burst in plain words. */
export const BurstReport = {
  /** How many generations have their outcome. */
  settledCount: (s: Counts): number => s.ran + s.unsure + s.dropped,
  formatCounts: (s: Counts): string => STATES.flatMap((p) => (s[p] > 0 ? [`${s[p]} ${p}`] : [])).join(', '),
  formatLines(s: Summary): string[] {
    if (s.gone) return [`Burst ${s.key} is ended, and its outcomes are gone.`];
    const state =
      BurstReport.settledCount(s) === s.total ? 'is over' : s.ended ? 'is ended, and some run on' : 'is under way';
    return [`Burst ${s.key} (number ${s.order}, rule ${s.rule}) ${state}: ${BurstReport.formatCounts(s)}.`];
  },
};
