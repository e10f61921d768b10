import type { Drill } from '../drill.js';

const DEAD = (n: number): string => `10.9.9.${n}:7000`;

/** What happens to addresses, and to the seeds that name them. */
export const Places: readonly Drill[] = [
  {
    name: 'doors',
    about:
      'the daemons that operators start from, then two cores, exchange addresses while plans are ' +
      'open and confirms under way',
    meets: ['moved', 'rehoused'],
    async run(s) {
      for (const group of [s.f.edgeIds, s.f.coreIds]) {
        const [a, b] = s.f.some(group, 2) as [string, string];
        const [door, other] = s.f.some(s.f.edgeIds, 2) as [string, string];
        const open = await s.ops.plan(door, s.ops.write());
        void s.ops.confirm(other, open.name);
        await s.nap(s.real() * 12);
        for (const id of [a, b]) s.f.kill(id);
        s.f.exchange(a, b);
        await s.nap(300);
        for (const id of [a, b]) s.f.start(id);
        void s.ops.confirm(door, open.name);
        await s.nap(5000);
        if ((await s.ops.change(20)) && group === s.f.coreIds) s.note('rehoused', { ids: [a, b] });
      }
    },
  },
  {
    name: 'deadseeds',
    about: 'daemons start with seeds that are dead, exchanged, or all wrong; those that can find the fleet must serve',
    meets: ['deadseeds', 'killed', 'found'],
    async run(s) {
      const [one, two, three, a, b] = s.f.some(s.f.edgeIds, 5) as [string, string, string, string, string];
      const addr = (id: string): string => s.f.boxes.get(id)!.addr();
      const starts = async (id: string, seeds: readonly string[], ms: number): Promise<void> => {
        s.f.kill(id);
        await s.nap(2500);
        s.note('deadseeds', { id, seeds });
        s.f.start(id, seeds);
        const from = s.now();
        while (s.now() < from + ms && s.f.counters.get(id)?.lifecycleState() !== 'serving') await s.nap(50);
        if (s.f.counters.get(id)?.lifecycleState() === 'serving') s.note('found', { id, ms: s.now() - from });
      };
      await starts(one, [DEAD(1), addr(a), DEAD(2)], 12_000);
      for (const id of [a, b]) s.f.kill(id);
      s.f.exchange(a, b);
      await s.nap(300);
      for (const id of [a, b]) s.f.start(id);
      await starts(two, [addr(a), addr(b), DEAD(3)], 12_000);
      // Nobody that it knows is there: until others come upon it, it is as good as cut off.
      s.note('cut', { ids: [three], until: s.now() + 2500 + 4000 });
      await starts(three, [1, 2, 3].map(DEAD), 4000);
      s.f.kill(three);
      s.f.start(three);
      await s.nap(3000);
    },
  },
  {
    name: 'exchange',
    about: 'two edge daemons come back with their addresses exchanged',
    meets: ['moved'],
    async run(s) {
      const [a, b] = s.f.some(s.f.edgeIds, 2) as [string, string];
      s.f.kill(a);
      s.f.kill(b);
      s.f.exchange(a, b);
      await s.nap(500);
      s.f.start(a);
      s.f.start(b);
      await s.nap(500);
      await s.ops.change(5);
      await s.nap(3000);
    },
  },
];
