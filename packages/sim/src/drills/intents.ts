import type { Drill } from '../drill.js';

/** How charters change. */
export const Intents: readonly Drill[] = [
  {
    name: 'single',
    about: 'charters change one after another',
    meets: ['confirmed'],
    async run(s) {
      for (let i = 0; i < 5; i++) {
        await s.ops.change();
        await s.nap(1500);
      }
    },
  },
  {
    name: 'race',
    about: 'several operators confirm against one base at once',
    meets: ['beaten'],
    async run(s) {
      for (let i = 0; i < 4; i++) {
        await s.ops.race(4);
        await s.nap(1500);
      }
    },
  },
  {
    name: 'storm',
    about: 'charters change in a storm',
    meets: ['storm'],
    async run(s) {
      await s.ops.storm(40, 150);
      await s.nap(3000);
    },
  },
  {
    name: 'readback',
    about: 'operators read all the while, and the first daemon to hold each new charter stops and starts at once',
    meets: ['readback', 'killed'],
    async run(s) {
      const version = (id: string): number => s.f.counters.get(id)?.sheet.version() ?? 0;
      for (let i = 0; i < 8; i++) {
        const top = Math.max(...s.f.edgeIds.map(version));
        void s.ops.change(2);
        for (let ms = 0; ms < 2000 && !s.f.edgeIds.some((id) => version(id) > top); ms++) await s.nap(1);
        const first = s.f.edgeIds.find((id) => version(id) > top);
        void s.ops.look();
        await s.nap(8);
        if (first) {
          s.f.kill(first);
          s.f.start(first);
        }
        for (let n = 0; n < 50; n++) {
          void s.ops.look();
          await s.nap(6);
        }
        s.f.freeze(s.f.some(s.f.edgeIds, 1)[0]!, 1200 + s.real() * 800);
        await s.nap(1500);
      }
      await s.nap(2000);
    },
  },
  {
    name: 'racekill',
    about: 'operators race while the head is killed',
    meets: ['corekilled'],
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
