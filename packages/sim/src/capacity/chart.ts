/** A plot of some figures by size, drawn on to the size that they are wanted at. */
export type Chart = {
  name: string;
  title: string;
  file: readonly string[];
  role: string;
  unit: string;
  what: readonly string[];
  x: string;
  y: string;
  to: number;
  budget?: number;
  linear?: boolean;
};
