import type { Charter } from '@pumicebarrow/forms';
import type { History } from '../history.js';

type Past = ReturnType<typeof History.make>;
const HOUR = 3_600_000;
/** From the word that a server goes back until its holder empties it, while all are up. */
const SOON = 2000;

/** Servers that change their part for bursts: never below the floor, bounded in an hour, and back without a calm. */
export const StageJudge = {
  /** How long each took to go back, from the word of it until the server is in its part again, in ms. */
  back: (h: Past): number[] =>
    h
      .of('mix')
      .filter((m) => m['back'] === true)
      .flatMap((m) => {
        const s = h.of('swap').find((d) => d.at >= m.at),
          o = s && h.of('ordered').find((d) => d.who === s['server'] && d.at >= s.at && d['part'] === s['part']);
        return o ? [o.at - m.at] : [];
      }),
  broken(h: Past, c: Charter): string[] {
    const clause = c.lending?.swaps;
    const there = h.of('mix').filter((d) => Number(d['lent']) !== 0);
    if (!clause) return there.map((d) => `lending: a server was swapped at ${Math.round(d.at)} without a clause`);
    const out = there.flatMap((d) => {
      const reads = Number(d['prefill']);
      const low = reads < clause.floor.prefill || c.servers.length - reads < clause.floor.decode;
      const n = there.filter((x) => x.at <= d.at && x.at > d.at - HOUR).length;
      return [
        ...(low ? [`${reads} servers are to read, which is below the floor`] : []),
        ...(n > clause.hour ? [`${n} servers were swapped within an hour`] : []),
      ];
    });
    const troubled = h.all.some((d) => ['killed', 'frozen', 'cut'].includes(d.what));
    for (const m of troubled ? [] : h.of('mix').filter((d) => d['back'] === true)) {
      const done = h.of('swap').some((d) => d.at >= m.at && d.at <= m.at + SOON);
      const open = there.findLast((d) => d.at < m.at);
      const went = open && h.of('swap').some((d) => d.at >= open.at && d.at < m.at);
      if (went && !done)
        out.push(`a server is to go back at ${Math.round(m.at)}, and is not emptied within ${SOON} ms`);
    }
    return out.map((w) => `lending: ${w}`);
  },
};
