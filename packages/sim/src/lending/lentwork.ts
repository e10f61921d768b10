import type { HistoryEvent } from '@pumicebarrow/forms';
import type { Deployment } from '../deployment.js';
import { History } from '../history.js';
import type { Job } from '../job.js';
import { Nevers } from '../nevers.js';
import type { Ran } from '../ran.js';
import { Stage } from '../stage.js';
import { LentDrills } from './lentdrills.js';
import { LentFleet } from './lentfleet.js';
import { Promises } from './promises.js';
import { Trainers } from './trainers.js';

const MEETS: Record<(typeof LentDrills)[number]['meets'][number], (d: HistoryEvent) => boolean> = {
  lent: (d) => d.what === 'send' && d['part'] === 'decode' && Promises.lent(d),
  recalled: (d) => d.what === 'recalled',
  wouldwait: (d) => d.what === 'wouldwait',
  unrun: (d) => d.what === 'generation' && d['to'] === 'unrun',
  unsure: (d) => d.what === 'generation' && d['to'] === 'unsure',
  lapsed: (d) => d.what === 'lapsed',
  killed: (d) => d.what === 'killed',
  late: (d) => d.what === 'late' && d['part'] === 'decode',
  again: (d) => d.what === 'taken' && Number(d['mark']) > 0,
  frozen: (d) => d.what === 'frozen',
  fell: (d) => d.what === 'fell',
};

/** Makes one run with bursts, and judges it by the nevers and by what lending promises. */
export const LentWork = {
  names: LentDrills.map((d) => d.name),
  async run(j: Job): Promise<Ran | null> {
    const drill = LentDrills.find((d) => d.name === j.drill);
    if (!drill) return null;
    const r = await Stage.run(LentFleet.of(j.fleet), j.seed, async (s) => {
      await drill.run(s, Trainers.make(s));
    });
    const h = r.history,
      told = History.make([...Promises.wishes(h), ...h.all]);
    const nevers = Nevers.flatMap((n) => n.judge(told).broken.map((b) => `${n.name}: ${b.why}`));
    const unmet = drill.meets.filter((m) => !h.all.some(MEETS[m]));
    return {
      ...{ deeds: [], ended: r.ended, points: h.of('generation').length, unmet },
      broken: [...nevers, ...Promises.broken(h, LentFleet.term)],
    };
  },
  /** One day of waves of live requests, of bursts that come one after another, or of both. */
  async waves(d: Deployment, seed: number, lends: boolean, live: boolean) {
    let from = 0;
    const r = await Stage.run(d, seed, async (s) => {
      const t = Trainers.make(s);
      from = s.now();
      for (let i = 0; i < 4; i++) {
        if (lends) await t.begin(`burst-${i}`, 16, 12);
        await s.nap(4000);
        if (live) s.callers.crowd(120);
        await s.nap(6000);
      }
      if (lends) await t.finish(60_000);
    });
    const told = History.make([...Promises.wishes(r.history), ...r.history.all]);
    const nevers = Nevers.flatMap((n) => n.judge(told).broken).length;
    const broken = nevers + Promises.broken(r.history, LentFleet.term).length;
    return { history: r.history, window: { from, to: from + 40_000 }, broken };
  },
};
