/** Generations by state; `unsure` ones may or may not have run. */
type Counts = { total: number; waiting: number; begun: number; ran: number; unsure: number; dropped: number };
/** `order` numbers the bursts; `gone` means that the outcomes are deleted. */
type Summary = Counts & { key: string; rule: string; order: number; ended: boolean; gone: boolean };

const STATES = ['ran', 'begun', 'waiting', 'unsure', 'dropped'] as const;

/** Formats the progress of a burst. */
export const BurstReport = {
  /** Number of generations that have an outcome. */
  settledCount: (s: Counts): number => s.ran + s.unsure + s.dropped,
  formatCounts: (s: Counts): string => STATES.flatMap((p) => (s[p] > 0 ? [`${s[p]} ${p}`] : [])).join(', '),
  formatLines(s: Summary): string[] {
    if (s.gone) return [`Burst ${s.key} is ended, and its outcomes are gone.`];
    const state =
      BurstReport.settledCount(s) === s.total ? 'is over' : s.ended ? 'is ended, and some run on' : 'is under way';
    return [`Burst ${s.key} (number ${s.order}, rule ${s.rule}) ${state}: ${BurstReport.formatCounts(s)}.`];
  },
};
