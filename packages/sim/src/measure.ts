import type { HistoryEvent } from '@pumicebarrow/forms';
import type { Deployment } from './deployment.js';
import { Drills } from './drills.js';
import type { History } from './history.js';
import { Nevers } from './nevers.js';
import { Stage } from './stage.js';

const at = (l: readonly number[], p: number): number =>
  Math.round([...l].sort((a, b) => a - b)[Math.min(l.length - 1, Math.floor(l.length * p))] ?? 0);

/** Figures of runs: virtual time, counts and messages, never the machine's own time. */
export const Measure = {
  /** What callers saw of each rule: how many were whole, and how long until the first piece. */
  callers(h: ReturnType<typeof History.make>, from = 0, to = Infinity) {
    const first = new Map<unknown, number>(h.of('first').map((d) => [d['key'], d.at]));
    const whole = new Set(
      h
        .of('whole')
        .filter((d) => d['good'] === true)
        .map((d) => d['key']),
    );
    const by = new Map<string, HistoryEvent[]>();
    for (const d of h.of('wish'))
      if (d.at >= from && d.at < to) by.set(String(d['rule']), [...(by.get(String(d['rule'])) ?? []), d]);
    return [...by].sort().map(([rule, list]) => {
      const waits = list.flatMap((d) => (first.has(d['key']) ? [first.get(d['key'])! - d.at] : []));
      return {
        rule,
        requests: list.length,
        whole: list.filter((d) => whole.has(d['key'])).length,
        median: at(waits, 0.5),
        p95: at(waits, 0.95),
        worst: at(waits, 1),
      };
    });
  },
  /** One drill with parts that follow the mix, and with a fixed cast, on the same seed. */
  async cast(d: Deployment, seed: number) {
    const one = async (swing: boolean) => {
      const charter = { ...d.charter, casting: { ...d.charter.casting, swing } };
      const r = await Stage.run({ ...d, charter }, seed, (s) => Drills.get('swing')!.run(s));
      return {
        rows: Measure.callers(r.history),
        swaps: r.history.of('swap').length,
        mixes: r.history.of('mix').length,
        broken: Nevers.flatMap((n) => n.judge(r.history).broken).length,
      };
    };
    return { follows: await one(true), fixed: await one(false) };
  },
  /**
   * How long until a dead core is out of the chain and a charter passes again, and until a dark server is shunned
   * by all.
   */
  async detect(d: Deployment, seed: number) {
    const chain: number[] = [],
      again: number[] = [],
      row: number[] = [],
      last: number[] = [];
    let sends = 0;
    const r = await Stage.run(d, seed, async (s) => {
      for (const place of [0, 1, -1]) {
        const id = s.f.chain().at(place)!,
          from = s.now();
        s.f.kill(id);
        while (s.f.chain().includes(id)) await s.nap(10);
        chain.push(s.now() - from);
        await s.ops.change(40);
        again.push(s.now() - from);
        s.f.start(id);
        await s.nap(6000);
      }
      for (const id of s.f.some(s.park.ids(), 2)) {
        const from = s.now(),
          any = [...s.f.counters.values()][0]!;
        s.park.dark(id, true);
        while (any.sheet.assignments().get(id)?.assignment.stage !== 'dark' && s.now() - from < 20_000) await s.nap(10);
        row.push(s.now() - from);
        await s.nap(4000);
        s.note('lit', { server: id, from });
        s.park.dark(id, false);
        await s.nap(4000);
      }
    });
    for (const x of r.history.of('lit')) {
      const hits = r.history
        .of('reach')
        .filter((h) => h.who === x['server'] && h.at > Number(x['from']) && h.at < x.at);
      sends += hits.length;
      last.push(Math.max(0, ...hits.map((h) => h.at - Number(x['from']))));
    }
    const ms = (l: readonly number[]): string => l.map((n) => Math.round(n)).join(', ');
    return {
      chain: ms(chain),
      again: ms(again),
      row: ms(row),
      last: ms(last),
      sends,
      broken: Nevers.flatMap((n) => n.judge(r.history).broken).length,
    };
  },
  /** One drill: what callers saw, how the charter reached the daemons, and what repair cost. */
  async drill(d: Deployment, name: string, seed: number) {
    let from = 0;
    let idle = { mails: 0, repairs: 0, secs: 0 };
    const r = await Stage.run(d, seed, async (s) => {
      from = s.now();
      if (name === 'idle') {
        const sum = (k: 'repairs'): number => [...s.f.counters.values()].reduce((a, c) => a + c.purge.counters()[k], 0);
        const mails = s.f.net.mails(),
          repairs = sum('repairs');
        await s.nap(60_000);
        idle = { mails: s.f.net.mails() - mails, repairs: sum('repairs') - repairs, secs: 60 };
      } else await Drills.get(name)!.run(s);
    });
    const via: Record<string, number> = {};
    for (const x of r.history.of('held')) via[String(x['via'])] = (via[String(x['via'])] ?? 0) + 1;
    const counts = [...r.f.counters.values()].map((c) => c.purge.counters());
    const sum = (k: keyof (typeof counts)[number]): number => counts.reduce((a, c) => a + c[k], 0);
    return {
      rows: Measure.callers(r.history, from),
      via,
      idle,
      purge: {
        pulls: sum('pulls'),
        fallbacks: sum('fallbacks'),
        repairs: sum('repairs'),
        repaired: sum('repaired'),
        evicted: sum('evicted'),
        misses: sum('misses'),
      },
      hold: Nevers.find((n) => n.name === 'hold')!.judge(r.history).worst,
      broken: Nevers.flatMap((n) => n.judge(r.history).broken).length,
    };
  },
};
