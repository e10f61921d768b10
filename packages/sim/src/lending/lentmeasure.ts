import type { Deed } from '@pumicebarrow/forms';
import type { History } from '../history.js';
import type { Job } from '../job.js';
import { LentFleet } from './lentfleet.js';
import { LentWork } from './lentwork.js';
import { Promises } from './promises.js';

type Past = ReturnType<typeof History.make>;
type Window = { from: number; to: number };
const at = (l: readonly number[], p: number): number =>
  [...l].sort((a, b) => a - b)[Math.min(l.length - 1, Math.floor(l.length * p))] ?? 0;
const name = (d: Deed): string => `${String(d['key'])} ${String(d['attempt'])}`;

/** From a live wish to its first piece, in ms, of those wished for within the window; and how many had none. */
const waits = (h: Past, w: Window): { list: number[]; none: number } => {
  const first = new Map(h.of('first').map((d) => [d['key'], d.at]));
  const wishes = h.of('wish').filter((d) => d.at >= w.from && d.at < w.to);
  const list = wishes.flatMap((d) => (first.has(d['key']) ? [first.get(d['key'])! - d.at] : []));
  return { list, none: wishes.length - list.length };
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

const one = async (fleet: Job['fleet'], seed: number, lends: boolean) => {
  const { history: h, window, broken } = await LentWork.waves(fleet, seed, lends);
  const back = Promises.back(h, LentFleet.term).waits;
  return {
    ...waits(h, window),
    ...written(h, window),
    ms: window.to - window.from,
    ran: h.of('generation').filter((d) => d['to'] === 'ran').length,
    unrun: h.of('generation').filter((d) => d['to'] === 'unrun').length,
    recalls: back.length,
    back: Math.max(0, ...back),
    broken,
  };
};
type Figures = Awaited<ReturnType<typeof one>>;
type Pair = { without: Figures; lends: Figures };

/** Figures of a day of waves with bursts, beside the same day by the same seed without. */
export const LentMeasure = {
  async pair(fleet: Job['fleet'], seed: number): Promise<Pair> {
    return { without: await one(fleet, seed, false), lends: await one(fleet, seed, true) };
  },
  /** Pairs of several seeds, told in lines: live waits pooled, and what of the spare decode slots was used. */
  lines(fleet: Job['fleet'], pairs: readonly Pair[]): string[] {
    const { charter } = LentFleet.of(fleet);
    const slots =
      charter.servers.reduce((n, s) => n + s.slots, 0) * (1 - charter.casting.prefill / charter.servers.length);
    const side = (label: string, list: readonly Figures[]): string => {
      const all = list.flatMap((x) => x.list);
      const sum = (k: 'none' | 'ran' | 'unrun' | 'recalls' | 'broken'): number => list.reduce((n, x) => n + x[k], 0);
      return (
        `  ${label.padEnd(8)}${all.length} live visits, first piece median ${Math.round(at(all, 0.5))}, p99 ` +
        `${Math.round(at(all, 0.99))} ms, ${sum('none')} without; ${sum('ran')} generations ran, ${sum('unrun')} ` +
        `given back; ${sum('recalls')} recalls; broken ${sum('broken')}`
      );
    };
    const lent = pairs.map((p) => p.lends);
    const spare = lent.reduce((n, x) => n + slots * x.ms - x.live, 0),
      used = lent.reduce((n, x) => n + x.lent, 0);
    return [
      side(
        'without',
        pairs.map((p) => p.without),
      ),
      side('lends', lent),
      `  of the decode slots' spare time ${((100 * used) / spare).toFixed(1)}% was used; given back within ` +
        `${Math.max(...lent.map((x) => x.back)).toFixed(1)} ms`,
    ];
  },
};
