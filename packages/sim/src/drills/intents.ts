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
    name: 'doubt',
    about:
      'a daemon that told the newest charter starts again beside two that missed it, and is asked before the core ' +
      'has replied to it',
    meets: ['readback', 'killed', 'behind'],
    async run(s) {
      const version = (id: string): number => s.f.counters.get(id)?.sheet.version() ?? 0;
      const until = async (fn: () => boolean, ms: number): Promise<boolean> => {
        for (const end = s.now() + ms; !fn() && s.now() < end;) await s.nap(1);
        return fn();
      };
      for (let i = 0; i < 3; i++) {
        await s.ops.change(5);
        await s.nap(1000);
        const [one, door, ...late] = s.f.some(s.f.edgeIds, 4) as [string, string, string, string];
        const rest = s.f.edgeIds.filter((id) => id !== one && !late.includes(id));
        const old = version(one);
        s.cut(late, [...s.f.coreIds, ...rest], 3000);
        const apart = s.f.net.cut(late, [one]);
        const { name } = await s.ops.plan(door, s.ops.write());
        await s.ops.confirm(door, name);
        await until(() => version(one) > old, 1000);
        await s.ops.look(door);
        s.note('cut', { ids: [one], until: s.now() + 1000 });
        const core = s.f.net.cut([one], s.f.coreIds);
        const edges = s.f.net.cut([one], rest);
        const addrs = late.map((id) => s.f.boxes.get(id)!.addr());
        s.f.kill(one);
        apart();
        s.f.start(one, addrs);
        let asking = true;
        void (async () => {
          for (; asking; await s.nap(3)) void s.ops.look(door);
        })();
        if ((await until(() => version(one) === old, 500)) && version(door) > old) s.note('behind', { id: one });
        edges();
        await s.nap(80);
        core();
        await s.nap(300);
        asking = false;
        await s.nap(4000);
      }
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
