import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from './history.js';
import { Measure } from './measure.js';
import { Nevers } from './nevers.js';

type Past = ReturnType<typeof History.make>;

const last = (h: Past): Map<string, HistoryEvent> => new Map(h.of('told').map((d) => [String(d['key']), d]));
const tally = (list: readonly string[]): Record<string, number> => {
  const out: Record<string, number> = {};
  for (const k of list) out[k] = (out[k] ?? 0) + 1;
  return out;
};
/** The median of some runs and the worst of them. */
const spread = (list: readonly number[], digits = 0): string => {
  const l = list.filter((n) => Number.isFinite(n)).sort((a, b) => a - b);
  return l.length === 0 ? '-' : `${l[Math.floor(l.length / 2)]!.toFixed(digits)} (${l.at(-1)!.toFixed(digits)})`;
};

/** What one run showed: p95 of first pieces by rule, requests, and what was last told of those that may have run. */
type One = {
  first: Record<string, number>;
  requests: number;
  whole: number;
  hold: number;
  again: number;
  extra: number;
  codes: Record<string, number>;
};

/** The figures of one run, and of many runs beside each other. Virtual time and counts alone. */
export const Figures = {
  of(h: Past): One {
    const rows = Measure.callers(h);
    const worst = (name: string): number => parseFloat(Nevers.find((n) => n.name === name)!.judge(h).worst);
    const unproven = [...last(h).values()].filter((d) => d['ran'] === 'maybe').map((d) => String(d['code']));
    return {
      first: Object.fromEntries(rows.map((r) => [r.rule, r.p95])),
      requests: rows.reduce((n, r) => n + r.requests, 0),
      whole: rows.reduce((n, r) => n + r.whole, 0),
      hold: worst('hold'),
      again: worst('again'),
      extra: h.of('extra').length,
      codes: tally(unproven),
    };
  },
  /** One line for a drill at a deployment. */
  line(name: string, list: readonly One[]): string {
    const lost = list.map((f) => 100 - (100 * f.whole) / f.requests);
    const codes = tally(list.flatMap((f) => Object.entries(f.codes).flatMap(([k, n]) => Array<string>(n).fill(k))));
    const p95 = (rule: string): string => spread(list.map((f) => f.first[rule] ?? NaN));
    return [
      name.padEnd(20),
      String(list.reduce((n, f) => n + f.requests, 0)).padStart(9),
      spread(lost, 2).padStart(15),
      ...['verdict', 'changelog', 'review'].map((r) => p95(r).padStart(13)),
      ...[spread(list.map((f) => f.hold)), spread(list.map((f) => f.again))].map((s) => s.padStart(13)),
      String(list.reduce((n, f) => n + f.extra, 0)).padStart(6),
      `  ${Object.entries(codes)
        .map(([k, n]) => `${k} ${n}`)
        .join(', ')}`,
    ].join('');
  },
  head: [
    'drill'.padEnd(20),
    'requests'.padStart(9),
    '% not whole'.padStart(15),
    ...['verdict', 'changelog', 'review', 'hold', 'again'].map((s) => s.padStart(13)),
    'extra'.padStart(6),
    '  last told "may have run", by cause',
  ].join(''),
};
