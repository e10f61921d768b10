import type { Drill } from '../drill.js';

/** What happens to the core. */
export const Cores: readonly Drill[] = [
  {
    name: 'corekill',
    about: 'each core in turn is killed while operators confirm, and starts again',
    meets: ['corekilled', 'view', 'apart'],
    async run(s) {
      for (const id of s.f.coreIds) {
        void s.ops.change(6);
        await s.nap(s.real() * 40);
        s.f.kill(id);
        await Promise.race([s.ops.change(6), s.nap(6000)]);
        void s.ops.change(6);
        s.f.start(id);
        await s.nap(4500);
      }
    },
  },
  {
    name: 'wipe',
    about: 'a core loses its disk just after a confirm, and returns empty',
    meets: ['wiped', 'apart'],
    async run(s) {
      for (const place of [0, -1, 1]) {
        const done = await s.ops.change(10);
        const id = s.f.chain().at(place) ?? s.f.coreIds[0]!;
        if (done) s.f.wipe(id);
        await Promise.race([s.ops.change(6), s.nap(6000)]);
        void s.ops.change(6);
        s.f.start(id);
        await s.nap(5000);
      }
    },
  },
  {
    name: 'tailkill',
    about: 'the tail is killed at the instant it has passed a new charter',
    meets: ['atonce'],
    async run(s) {
      for (let i = 0; i < 3; i++) {
        const id = s.f.chain().at(-1) ?? s.f.coreIds[0]!;
        const seen = (): number => s.f.cores.get(id)?.core.chain.committed()?.charter?.version ?? 0;
        const before = seen();
        void s.ops.change(2);
        for (let ms = 0; ms < 3000 && seen() <= before; ms++) await s.nap(1);
        s.f.kill(id);
        await s.nap(3500);
        s.f.start(id);
        await s.nap(4500);
      }
    },
  },
  {
    name: 'moved',
    about: 'a core machine returns empty at a new address',
    meets: ['wiped', 'moved'],
    async run(s) {
      for (const place of [0, -1]) {
        await s.ops.change(10);
        const id = s.f.chain().at(place) ?? s.f.coreIds[0]!;
        s.f.replace(id);
        await s.nap(2500);
        void s.ops.change(6);
        s.f.start(id);
        await s.nap(5000);
      }
    },
  },
  {
    name: 'diskslow',
    about: 'core disks slow down',
    meets: ['disk', 'confirmed'],
    async run(s) {
      for (const id of s.f.coreIds) s.f.disks.get(id)!.slow(150);
      for (let i = 0; i < 4; i++) {
        void s.ops.change(3);
        await s.nap(2000);
      }
      for (const id of s.f.coreIds) s.f.disks.get(id)!.slow(0);
    },
  },
  {
    name: 'diskfull',
    about: 'a core disk fills, and is cleared later',
    meets: ['disk'],
    async run(s) {
      for (const id of s.f.some(s.f.coreIds, 2)) {
        s.f.disks.get(id)!.fill(true);
        await s.ops.change(8);
        await s.nap(3000);
        s.f.disks.get(id)!.fill(false);
        await s.nap(4000);
      }
    },
  },
  {
    name: 'diskstall',
    about: 'a core disk stalls for seconds',
    meets: ['disk'],
    async run(s) {
      for (const id of s.f.some(s.f.coreIds, 2)) {
        s.f.disks.get(id)!.stall(4000);
        await s.ops.change(8);
        await s.nap(5000);
      }
    },
  },
  {
    name: 'torn',
    about: 'a core finds its newest file damaged at a start',
    meets: ['spoilt'],
    async run(s) {
      const id = s.f.some(s.f.coreIds, 1)[0]!;
      await s.ops.change(8);
      s.f.kill(id);
      if (s.f.disks.get(id)!.tear(s.real() < 0.5 ? 'state' : 'vote')) s.note('spoilt', { id });
      await s.nap(2500);
      s.f.start(id);
      await s.nap(5000);
      await s.ops.change(8);
    },
  },
  {
    name: 'split',
    about: 'the core is cut in two',
    meets: ['cutmet', 'view'],
    async run(s) {
      for (let i = 0; i < 2; i++) {
        const one = s.f.some(s.f.coreIds, 1),
          rest = s.f.coreIds.filter((x) => !one.includes(x));
        s.cut(one, rest, 5000);
        await s.nap(300);
        void s.ops.change(6);
        await s.nap(7000);
      }
    },
  },
  {
    name: 'cutoff',
    about: 'the core is cut off from the edge; a daemon starts meanwhile',
    meets: ['cutmet', 'killed'],
    async run(s) {
      s.cut(s.f.coreIds, s.f.edgeIds, 7000);
      await s.nap(1000);
      const id = s.f.some(s.f.edgeIds, 1)[0]!;
      s.f.kill(id);
      await s.nap(1000);
      s.f.start(id);
      await s.nap(6000);
      await s.ops.change(8);
    },
  },
  {
    name: 'corefreeze',
    about: 'a core machine freezes and wakes',
    meets: ['corefrozen', 'view'],
    async run(s) {
      for (const place of [0, -1]) {
        const id = s.f.chain().at(place) ?? s.f.coreIds[0]!;
        s.f.freeze(id, 4000);
        await s.nap(200);
        void s.ops.change(6);
        await s.nap(7000);
      }
    },
  },
];
