/** Exit codes of clerk: 0 done, 1 not done, 2 invalid input, 3 may have been done, 4 no daemon could be reached. */
export const ExitCode = {
  of(verdict: { ran: string; code: string } | undefined): number {
    if (!verdict) return 4;
    if (verdict.code === 'unreached') return 4;
    if (verdict.ran === 'maybe') return 3;
    if (verdict.ran === 'yes') return 0;
    return verdict.code === 'bad' || verdict.code === 'json' ? 2 : 1;
  },
};
