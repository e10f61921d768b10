import type { HistoryEvent } from '@pumicebarrow/forms';
import type { History } from '../history.js';
import { Fairness } from './fairness.js';
import { SendBounds } from './sendbounds.js';

type Past = ReturnType<typeof History.make>;
const LENT = /^(burst-\w+)\.(\d+)\.\d+$/;
const place = (d: HistoryEvent): string | null => {
  const m = LENT.exec(String(d['key']));
  return m ? `${m[1]} ${m[2]}` : null;
};

/** Each generation runs once, or as often as its burst lets it be repeated; each has one outcome, and the right one. */
const once = (h: Past): string[] => {
  const runs = new Map<string, number>();
  for (const d of h.of('ran')) {
    const p = place(d);
    if (p) runs.set(p, (runs.get(p) ?? 0) + 1);
  }
  const finals = new Map(h.of('burstfinal').map((d) => [String(d['key']), d]));
  return h.of('burst').flatMap((b) => {
    const key = String(b['key']),
      f = finals.get(key),
      most = 1 + Number(b['repeats']);
    if (!f || f['total'] !== b['total']) return [`${key} was acknowledged, and is lost`];
    const out = [...runs]
      .filter(([p, n]) => p.startsWith(`${key} `) && n > most)
      .map(([p, n]) => `${p} ran ${n} times, ${most} at the most`);
    if (f['open'] !== 0) out.push(`${key} has ${String(f['open'])} generations without an outcome`);
    if (f['wrong'] !== 0) out.push(`${key} has ${String(f['wrong'])} outcomes that are not what ran`);
    const end = h.of('burstend').find((d) => d['key'] === key)?.['code'];
    if (f['open'] === 0 && end !== 'gone') out.push(`${key} is over, and its end was told ${String(end)}`);
    for (const i of f['ranat'] as number[])
      if (!runs.has(`${key} ${i}`)) out.push(`${key} ${i} has an outcome and never ran`);
    return out;
  });
};
/** A server has one borrower: who sends borrowed work holds the newest loan, and not once it is over. */
const holder = (h: Past, term: number): { broken: string[]; worst: number } => {
  const broken: string[] = [];
  const loans = new Map<string, HistoryEvent>();
  const gone = new Map<string, number>();
  let worst = 0;
  for (const d of h.all) {
    const server = String(d['server']);
    if (d.what === 'loan') {
      loans.set(server, d);
      if (Number(d['slots']) > 0) for (const k of [...gone.keys()]) if (k.endsWith(` ${server}`)) gone.delete(k);
    }
    if (d.what === 'recalled') gone.set(`${d.who} ${server}`, d.at);
    if (d.what !== 'send' || place(d) === null) continue;
    const l = loans.get(server);
    if (l?.['holder'] !== d.who)
      broken.push(`${d.who} sent to ${server} at ${Math.round(d.at)}, which it does not hold`);
    else if (Number(l['slots']) === 0) {
      worst = Math.max(worst, d.at - l.at);
      if (l['why'] === 'lapsed' || d.at - l.at > term)
        broken.push(
          `${d.who} sent to ${server} ${Math.round(d.at - l.at)} ms after the loan ended (${String(l['why'])})`,
        );
    }
    if (gone.has(`${d.who} ${server}`)) broken.push(`${d.who} sent to ${server} after it was called back`);
  }
  return { broken, worst };
};
/** From a live request that would have to wait until the last borrowed send to a server that was called back for it. */
const back = (h: Past, term: number): { broken: string[]; waits: number[] } => {
  const sends = h.of('send').filter((d) => place(d) !== null),
    grants = h.of('loan').filter((d) => Number(d['slots']) > 0);
  const waits = h.of('wouldwait').flatMap((w) =>
    (w['servers'] as string[]).map((server) => {
      const next = grants.find((g) => g['server'] === server && g.at > w.at)?.at ?? Infinity;
      const last = sends.findLast(
        (d) => d['server'] === server && d.at > w.at && d.at < Math.min(next, w.at + 4 * term),
      );
      return last ? last.at - w.at : 0;
    }),
  );
  return { broken: waits.filter((ms) => ms > term).map((ms) => `given back only after ${Math.round(ms)} ms`), waits };
};

/** What each request of a burst should go on from, told as callers tell of theirs, for the never that judges memory. */
const wishes = (h: Past): HistoryEvent[] =>
  h.of('ran').flatMap((d) => {
    const [key, index] = place(d)?.split(' ') ?? [],
      b = h.of('burst').find((x) => x['key'] === key);
    const digest = (b?.['digests'] as string[] | undefined)?.[Number(index)];
    return digest === undefined ? [] : [{ what: 'wish', who: '-', at: 0, key: d['key'], digest }];
  });

/** What lending promises, judged over a run's history. */
export const Promises = {
  lent: (d: HistoryEvent): boolean => place(d) !== null,
  back,
  wishes,
  broken: (h: Past, term: number): string[] =>
    [
      ...once(h),
      ...holder(h, term).broken,
      ...back(h, term).broken,
      ...Fairness.broken(h),
      ...SendBounds.broken(h, term, (d) => place(d) !== null),
    ].map((w) => `lending: ${w}`),
};
