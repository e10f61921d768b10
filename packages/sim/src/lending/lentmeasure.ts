import type { HistoryEvent } from '@pumicebarrow/forms';
import type { Deployment } from '../deployment.js';
import type { History } from '../history.js';
import type { Job } from '../job.js';
import { LentFleet } from './lentfleet.js';
import { LentWork } from './lentwork.js';
import { Promises } from './promises.js';

type Past = ReturnType<typeof History.make>;
const NAMES = ['without', 'lends', 'split', 'apart'] as const;
type Window = { from: number; to: number };
const at = (l: readonly number[], p: number): number =>
  [...l].sort((a, b) => a - b)[Math.min(l.length - 1, Math.floor(l.length * p))] ?? 0;
const name = (d: HistoryEvent): string => `${String(d['key'])} ${String(d['attempt'])}`;

/** From a live wish to its first piece, in ms, of those wished for within the window; and how many had none. */
const waits = (h: Past, w: Window) => {
  const first = new Map(h.of('first').map((d) => [d['key'], d.at]));
  const wishes = h.of('wish').filter((d) => d.at >= w.from && d.at < w.to);
  const dots = wishes.flatMap((d) =>
    first.has(d['key']) ? [{ at: d.at - w.from, ms: first.get(d['key'])! - d.at }] : [],
  );
  return { dots, list: dots.map((d) => d.ms), none: wishes.length - dots.length };
};
/** How many slots were lent, at each change within the window. */
const slots = (h: Past, w: Window) => {
  const now = new Map<unknown, number>();
  return h.of('loan').flatMap((d) => {
    now.set(d['server'], Number(d['slots']));
    const all = [...now.values()].reduce((a, b) => a + b, 0);
    return d.at >= w.from && d.at < w.to ? [{ at: d.at - w.from, slots: all }] : [];
  });
};
/** How long decode servers wrote within the window, in ms, for live and for borrowed requests. */
const written = (h: Past, w: Window): { live: number; lent: number } => {
  const over = new Map(h.of('visit').map((d) => [name(d), d.at]));
  const out = { live: 0, lent: 0 };
  for (const d of h.of('send')) {
    if (d['part'] !== 'decode') continue;
    const ms = Math.min(over.get(name(d)) ?? d.at, w.to) - Math.max(d.at, w.from);
    if (ms > 0) out[Promises.lent(d) ? 'lent' : 'live'] += ms;
  }
  return out;
};

const one = async (d: Deployment, seed: number, lends: boolean, live = true) => {
  const { history: h, window, broken } = await LentWork.waves(d, seed, lends, live);
  const back = Promises.back(h, LentFleet.term).waits;
  return {
    ...waits(h, window),
    ...written(h, window),
    lentslots: slots(h, window),
    ms: window.to - window.from,
    ran: h.of('generation').filter((x) => x['to'] === 'ran' && x.at < window.to).length,
    unrun: h.of('generation').filter((x) => x['to'] === 'unrun').length,
    recalls: back.length,
    back: Math.max(0, ...back),
    broken,
  };
};
type Figures = Awaited<ReturnType<typeof one>>;
type Days = Record<(typeof NAMES)[number], Figures>;

/** Figures of a day of waves with bursts, beside the same day by the same seed without, and with a fixed split. */
export const LentMeasure = {
  /** How much longer live requests may wait than on the same day without lending. */
  bound: { median: 1.1, p99: 1.25 },
  async days(fleet: Job['fleet'], seed: number): Promise<Days> {
    const d = LentFleet.of(fleet),
      split = LentFleet.split(fleet);
    return {
      without: await one(d, seed, false),
      lends: await one(d, seed, true),
      split: await one(split.live, seed, false),
      apart: await one(split.bursts, seed, true, false),
    };
  },
  /** Days of several seeds, told in lines: live waits pooled, and what of the spare decode slots was used. */
  lines(fleet: Job['fleet'], days: readonly Days[]): string[] {
    const { charter } = LentFleet.of(fleet);
    const decode =
      charter.servers.reduce((n, s) => n + s.slots, 0) * (1 - charter.casting.prefill / charter.servers.length);
    const pooled = (name: keyof Days): number[] => days.flatMap((x) => x[name].list);
    const sum = (
      name: keyof Days,
      k: 'none' | 'ran' | 'unrun' | 'recalls' | 'broken' | 'live' | 'lent' | 'ms',
    ): number => days.reduce((n, x) => n + x[name][k], 0);
    const side = (name: keyof Days): string =>
      `  ${name.padEnd(8)}${pooled(name).length} live requests, first piece median ` +
      `${Math.round(at(pooled(name), 0.5))}, p99 ${Math.round(at(pooled(name), 0.99))} ms, ` +
      `${sum(name, 'none')} without; ${sum(name, 'ran')} generations ran in ` +
      `the window, ${sum(name, 'unrun')} given back; ${sum(name, 'recalls')} recalls; broken ${sum(name, 'broken')}`;
    const spare = decode * sum('lends', 'ms') - sum('lends', 'live');
    const times = (p: number): number => at(pooled('lends'), p) / at(pooled('without'), p);
    const worst = Math.max(...days.map((x) => x.lends.back));
    const share = (name: 'lends' | 'apart'): string => `${((100 * sum(name, 'lent')) / spare).toFixed(1)}%`;
    const { median, p99 } = LentMeasure.bound;
    const held = times(0.5) <= median && times(0.99) <= p99 && worst <= LentFleet.term;
    return [
      ...NAMES.map(side),
      `  of the decode slots' spare time ${share('lends')} was used by lending, ${share('apart')} by the split's part`,
      `  live waits with lending, times those without: median ` +
        `${times(0.5).toFixed(2)} (bound ${median}), p99 ` +
        `${times(0.99).toFixed(2)} (bound ${p99}); given back within ` +
        `${worst.toFixed(1)} ms (bound ${LentFleet.term}): ` +
        `${held ? 'held' : 'NOT HELD'}`,
    ];
  },
};
