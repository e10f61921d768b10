/**
 * One measured figure. Invariant: but for units of the machine's own time or memory (`us`, `heap`, `core%`, `rss`),
 * the same run with the same seed gives the same value.
 */
export type Figure = {
  run: string;
  axis: string;
  at: number;
  role: string;
  what: string;
  unit: string;
  value: number;
};
