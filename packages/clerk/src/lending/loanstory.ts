type Loan = { server: string; part: string; slots: number; holder: string; burst: string; why: string; by: string };
type LoanSince = Loan & { since: number };
type LoanSteps = { server: string; steps: { mark: [number, number]; wall: number; loan: LoanSince }[] };

const REASON_TEXTS: Record<string, (l: Loan) => string> = {
  lent: (l) => `${l.by} lent ${l.slots} slots that ${l.part} to ${l.holder}, for burst ${l.burst}`,
  live: (l) => `${l.by} called it back from ${l.holder}: a live request would have had to wait`,
  load: (l) => `${l.by} called it back from ${l.holder}: live work and what is kept leave nothing`,
  given: (l) => `${l.holder} gave it back`,
  lapsed: (l) => `the loan to ${l.holder} ran out, and was not asked for again`,
};

/** Formats current loans as a table, and the history of one server's loans as a timeline. */
export const LoanReport = {
  formatTable(list: readonly LoanSince[]): string[] {
    const lent = list.filter((l) => l.slots > 0);
    if (lent.length === 0) return ['Nothing is lent.'];
    return lent.map(
      (l) =>
        `${l.server.padEnd(8)} ${l.part.padEnd(8)} ${String(l.slots).padStart(3)} slots to ${l.holder} for ` +
        `${l.burst}, by ${l.by} since ${new Date(l.since).toISOString()}`,
    );
  },
  formatLines(t: LoanSteps): string[] {
    const first = t.steps[0]?.wall ?? 0;
    return [
      `Loans of ${t.server}:`,
      ...t.steps.map(
        (s) =>
          `  +${String(Math.round(s.wall - first)).padStart(6)} ms  ${`${s.mark[0]}.${s.mark[1]}`.padEnd(7)} ` +
          `${REASON_TEXTS[s.loan.why]?.(s.loan) ?? s.loan.why}.`,
      ),
    ];
  },
};
