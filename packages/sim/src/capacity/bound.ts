/** The most that a counted cost may grow by, for one more of what it is counted over, and why. */
export type Bound = {
  run: string;
  role: string;
  what: string;
  unit: string;
  shape: 'line' | 'log';
  most: number;
  why: string;
};
