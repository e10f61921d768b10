import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';
import type { Figure } from './figure.js';

/** How a figure grows: in a straight line, as a power, or with the logarithm of the axis. */
type Shape = 'line' | 'power' | 'log';
type Fit = {
  shape: Shape;
  a: number;
  b: number;
  r2: number;
  from: number;
  to: number;
  n: number;
  at: (x: number) => number;
};
type Pair = [number, number];

/** Slopes, by least squares. Invariant: `from` and `to` are the range that was measured; beyond it is extrapolation. */
export const Slope = {
  fit(shape: Shape, points: readonly (readonly [number, number])[]): Fit {
    const x = (v: number): number => (shape === 'line' ? v : Math.log2(v)),
      y = (v: number): number => (shape === 'power' ? Math.log2(v) : v);
    const seen = points.filter(([, v]) => shape !== 'power' || v > 0);
    const mapped = seen.map(([p, q]): Pair => [x(p), y(q)]);
    const { m, b } = linearRegression(mapped),
      line = linearRegressionLine({ m, b });
    const flat = mapped.every(([, v]) => v === mapped[0]![1]);
    return {
      shape,
      a: b,
      b: m,
      r2: flat ? 1 : rSquared(mapped, line),
      from: Math.min(...seen.map((p) => p[0])),
      to: Math.max(...seen.map((p) => p[0])),
      n: seen.length,
      at: (v) => (shape === 'power' ? 2 ** line(x(v)) : line(x(v))),
    };
  },
  points: (list: readonly Figure[], role: string, what: string, unit: string): Pair[] =>
    list
      .filter((f) => f.role === role && f.what === what && f.unit === unit)
      .map((f): Pair => [f.at, f.value])
      .sort((p, q) => p[0] - q[0]),
};
