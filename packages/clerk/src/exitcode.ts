/** Exit codes of clerk: 0 done, 1 not done, 2 invalid input, 3 may have been done, 4 no daemon could be reached. */
export const ExitCode = {
  of(v: { ran: string; code: string } | undefined): number {
    if (!v) return 4;
    if (v.code === 'unreached') return 4;
    if (v.ran === 'maybe') return 3;
    if (v.ran === 'yes') return 0;
    return v.code === 'bad' || v.code === 'json' ? 2 : 1;
  },
};
