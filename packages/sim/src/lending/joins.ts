import type { Deed } from '@pumicebarrow/forms';
import type { History } from '../history.js';
import { LentKeys } from './lentkeys.js';
import { Text } from '../text.js';

type Past = ReturnType<typeof History.make>;
type Leg = { place: string; mark: number; d: Deed };
/** How long after a recall a stream that may be cut is over, at the daemon that heard of it. */
const AT_ONCE = 50;
const leg = (d: Deed): Leg | null => {
  const read = LentKeys.read(d);
  return read && { place: read.place, mark: read.mark, d };
};
const told = (h: Past, what: string): Leg[] =>
  h.of(what).map((d) => ({ place: `${String(d['burst'])} ${String(d['index'])}`, mark: Number(d['mark']), d }));
const attempt = (d: Deed): string => `${String(d['key'])} ${String(d['attempt'])}`;
const cutsOf = (h: Past): Leg[] => told(h, 'generation').filter((x) => x.d['to'] === 'cut');

/**
 * Generations that were cut at a piece: each goes on at just that piece, after just those that came before. Invariant:
 * a cut counts as held once its runner was told so by the core; one of which it never heard may be held or not.
 */
export const Joins = {
  /** How often each place was cut. */
  cuts(h: Past): Map<string, number> {
    const out = new Map<string, Set<number>>();
    for (const c of cutsOf(h)) out.set(c.place, (out.get(c.place) ?? new Set()).add(c.mark));
    return new Map([...out].map(([p, marks]) => [p, marks.size]));
  },
  broken(h: Past): string[] {
    const cuts = cutsOf(h),
      rests = told(h, 'rests');
    const out: string[] = [];
    for (const r of h.of('ran').flatMap((d) => leg(d) ?? [])) {
      const from = Number(r.d['from']),
        name = `${r.place} went on at piece ${from + 1}`;
      const before = (l: Leg): boolean => l.place === r.place && l.mark < r.mark;
      const sure = rests.filter(before).sort((a, b) => b.mark - a.mark)[0];
      const least = Number(sure?.d['pieces'] ?? 0);
      const may = cuts.filter((c) => before(c) && c.mark > (sure?.mark ?? 0)).map((c) => Number(c.d['pieces']));
      if (from < least) out.push(`${name} while ${least} were held: a piece twice`);
      else if (from > Math.max(least, ...may)) out.push(`${name} while ${Math.max(least, ...may)} were held: a gap`);
      else if (from !== least && !may.includes(from)) out.push(`${name}, where it was not cut`);
      const digest = String(r.d['digest']);
      const right = Text.seal(Array.from({ length: from }, (_, n) => Text.piece(digest, n + 1)));
      if (r.d['seal'] !== right) out.push(`${name} after pieces that are not its own: joined wrongly`);
    }
    return out;
  },
  /** Streams that may be cut, and were not at once when their server was called back. */
  late(h: Past): string[] {
    const resumes = new Set(h.of('burst').flatMap((b) => (b['resumes'] === true ? [String(b['key'])] : [])));
    const over = new Map(h.of('visit').map((d) => [attempt(d), d.at]));
    const began = new Map(h.of('streams').map((d) => [attempt(d), d]));
    const away = h.all.filter((d) => d.what === 'killed' || d.what === 'frozen');
    const sent = h
      .of('send')
      .filter((d) => d['part'] === 'decode' && resumes.has(LentKeys.read(d)?.burst ?? '') && began.has(attempt(d)));
    return h.of('recalled').flatMap((r) =>
      sent.flatMap((d) => {
        const key = attempt(d);
        const on = d.who === r.who && d['server'] === r['server'] && began.get(key)!.at < r.at;
        const end = over.get(key) ?? Infinity;
        if (!on || end < r.at || end <= r.at + AT_ONCE) return [];
        if (away.some((a) => a.who === r.who && a.at >= began.get(key)!.at)) return [];
        return [`${key} ran on at ${String(d['server'])} after it was called back`];
      }),
    );
  },
};
