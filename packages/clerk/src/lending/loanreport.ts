/** A loan, or its end (`slots` 0). `part` is the stage, `holder` the borrower, `by` the lending daemon. */
type Loan = { server: string; part: string; slots: number; holder: string; burst: string; why: string; by: string };
type LoanSince = Loan & { since: number };
type LoanSteps = { server: string; steps: { mark: [number, number]; wall: number; loan: LoanSince }[] };

const REASON_TEXTS: Record<string, (l: Loan) => string> = {
  lent: (loan) => `${loan.by} lent ${loan.slots} slots that ${loan.part} to ${loan.holder}, for burst ${loan.burst}`,
  live: (loan) => `${loan.by} called it back from ${loan.holder}: a live request would have had to wait`,
  load: (loan) => `${loan.by} called it back from ${loan.holder}: live work and what is kept leave nothing`,
  given: (loan) => `${loan.holder} gave it back`,
  lapsed: (loan) => `the loan to ${loan.holder} ran out, and was not asked for again`,
};

/** Formats current loans as a table, and the history of one server's loans as a timeline. */
export const LoanReport = {
  formatTable(loans: readonly LoanSince[]): string[] {
    const lent = loans.filter((l) => l.slots > 0);
    if (lent.length === 0) return ['Nothing is lent.'];
    return lent.map(
      (l) =>
        `${l.server.padEnd(8)} ${l.part.padEnd(8)} ${String(l.slots).padStart(3)} slots to ${l.holder} for ` +
        `${l.burst}, by ${l.by} since ${new Date(l.since).toISOString()}`,
    );
  },
  formatLines(history: LoanSteps): string[] {
    const firstWallMs = history.steps[0]?.wall ?? 0;
    return [
      `Loans of ${history.server}:`,
      ...history.steps.map(
        (s) =>
          `  +${String(Math.round(s.wall - firstWallMs)).padStart(6)} ms  ${`${s.mark[0]}.${s.mark[1]}`.padEnd(7)} ` +
          `${REASON_TEXTS[s.loan.why]?.(s.loan) ?? s.loan.why}.`,
      ),
    ];
  },
};
