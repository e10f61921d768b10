/** A slope that is wanted, and the size it is drawn to. */
export type Wanted = {
  file: string;
  role: string;
  what: string;
  unit: string;
  shape: 'line' | 'power' | 'log';
  to: number;
};
