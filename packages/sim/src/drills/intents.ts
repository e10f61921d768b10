import type { Drill } from '../drill.js';

/** How charters change. */
export const Intents: readonly Drill[] = [
  {
    name: 'single', about: 'charters change one after another',
    async run(s) {
      for (let i = 0; i < 5; i++) { await s.ops.change(); await s.nap(1500); }
    },
  },
  {
    name: 'race', about: 'several operators confirm against one base at once',
    async run(s) {
      for (let i = 0; i < 4; i++) { await s.ops.race(4); await s.nap(1500); }
    },
  },
  {
    name: 'storm', about: 'charters change in a storm',
    async run(s) {
      await s.ops.storm(40, 150);
      await s.nap(3000);
    },
  },
  {
    name: 'racekill', about: 'operators race while the head is killed',
    async run(s) {
      for (let i = 0; i < 3; i++) {
        const job = s.ops.race(4);
        await s.nap(s.real() * 30);
        const id = s.f.chain()[0] ?? s.f.coreIds[0]!;
        s.f.kill(id);
        await s.nap(3000);
        s.f.start(id);
        await job;
        await s.nap(4000);
      }
    },
  },
];
