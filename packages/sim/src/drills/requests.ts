import type { Drill } from '../drill.js';

/** What happens to daemons while they have requests in hand. */
export const InHand: readonly Drill[] = [
  {
    name: 'bustle',
    about: 'daemons are killed with many requests in hand, again and again',
    meets: ['killedbusy'],
    async run(s) {
      for (let i = 0; i < 4; i++) {
        s.callers.crowd(80);
        await s.nap(120);
        const some = s.f.some(s.f.edgeIds, 4);
        for (const id of some) s.f.kill(id);
        await s.nap(i % 2 === 0 ? 5 : 900);
        for (const id of some) s.f.start(id);
        await s.nap(2000);
      }
    },
  },
  {
    name: 'forgotten',
    about: 'all edge daemons are killed at once with requests in hand, and start again knowing of none of them',
    meets: ['killedbusy', 'unproven'],
    async run(s) {
      for (let i = 0; i < 3; i++) {
        s.callers.crowd(120);
        await s.nap(150);
        for (const id of s.f.edgeIds) s.f.kill(id);
        await s.nap(5);
        for (const id of s.f.edgeIds) s.f.start(id);
        await s.nap(5000);
      }
    },
  },
  {
    name: 'twins',
    about:
      'one attempt goes to two daemons at once: as it is, with an owner frozen, between rosters ' +
      'that differ, after both owners died',
    meets: ['twin', 'frozen', 'cutmet', 'killed'],
    async run(s) {
      const pair = (): [string, string] => s.f.some(s.f.edgeIds, 2) as [string, string];
      const pins = (): { owners: string[]; ids: string[] } => {
        const owners = [...s.f.counters.values()][0]!.owners();
        return { owners, ids: owners.map((o) => o.split('/')[0]!) };
      };
      const send = (n: number, gap: number, owners?: string[], from = pair()): void => {
        for (let i = 0; i < n; i++)
          void s.callers.twin(
            [
              { id: from[0], after: i * 7 },
              { id: from[1], after: i * 7 + s.real() * gap },
            ],
            owners,
          );
      };
      send(40, 20);
      await s.nap(800);
      const one = pair();
      s.f.freeze(one[0], 2500);
      send(
        40,
        400,
        undefined,
        s.f.some(
          s.f.edgeIds.filter((x) => !one.includes(x)),
          2,
        ) as [string, string],
      );
      await s.nap(4000);
      const p = pins(),
        rest = s.f.edgeIds.filter((x) => !p.ids.includes(x)),
        [a, b] = s.f.some(rest, 2) as [string, string];
      s.cut([b], p.ids, 5000);
      await s.nap(300);
      send(40, 300, p.owners, [a, b]);
      await s.nap(6500);
      const q = pins(),
        [x, y] = s.f.some(
          s.f.edgeIds.filter((i) => !q.ids.includes(i)),
          2,
        ) as [string, string];
      send(40, 4000, q.owners, [x, y]);
      await s.nap(300);
      for (const id of q.ids) s.f.kill(id);
      await s.nap(500);
      for (const id of q.ids) s.f.start(id);
      await s.nap(5000);
    },
  },
  {
    name: 'herd',
    about: 'half the edge is killed at once, while an operator confirms through one of them',
    meets: ['killed'],
    async run(s) {
      const herd = s.f.some(s.f.edgeIds, Math.ceil(s.f.edgeIds.length / 2));
      const p = await s.ops.plan(herd[0]!, s.ops.write());
      void s.ops.confirm(herd[0]!, p.name);
      await s.nap(Math.floor(s.real() * 30));
      for (const id of herd) s.f.kill(id);
      await s.nap(3000);
      for (const id of herd) s.f.start(id);
      await s.nap(2000);
    },
  },
];
