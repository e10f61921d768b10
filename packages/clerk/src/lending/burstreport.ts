/** Generations by state; `unsure` ones may or may not have run. */
type Counts = { total: number; waiting: number; begun: number; ran: number; unsure: number; dropped: number };
/** `order` numbers the bursts; `gone` means that the outcomes are deleted. */
type Summary = Counts & { key: string; rule: string; order: number; ended: boolean; gone: boolean };

const STATES = ['ran', 'begun', 'waiting', 'unsure', 'dropped'] as const;

/** Formats the progress of a burst. */
export const BurstReport = {
  /** Number of generations that have an outcome. */
  settledCount: (counts: Counts): number => counts.ran + counts.unsure + counts.dropped,
  formatCounts: (counts: Counts): string =>
    STATES.flatMap((p) => (counts[p] > 0 ? [`${counts[p]} ${p}`] : [])).join(', '),
  formatLines(burst: Summary): string[] {
    if (burst.gone) return [`Burst ${burst.key} is ended, and its outcomes are gone.`];
    const state =
      BurstReport.settledCount(burst) === burst.total
        ? 'is over'
        : burst.ended
          ? 'is ended, and some run on'
          : 'is under way';
    return [
      `Burst ${burst.key} (number ${burst.order}, rule ${burst.rule}) ${state}: ${BurstReport.formatCounts(burst)}.`,
    ];
  },
};
