import type { CoreDrill } from '../coredrill.js';
import type { Scripter } from '../scripter.js';
import type { Size } from '../size.js';
import { TopView } from '../topview.js';

const FIVE: Size = { losses: 2, spares: 2 };
const SOON = 5000;
/** One that leaves in good order keeps the others waiting for less than silence would. */
const AT_ONCE = 1000;
const view = (s: Scripter) => TopView.of(s.b.cores.values());
const votes = (s: Scripter, id: string): boolean => {
  const born = s.b.cores.get(id)?.ident.born;
  return view(s)?.voters.some((m) => m.id === id && (born === undefined || m.born === born)) ?? false;
};
const stands = (s: Scripter, id: string): boolean => s.b.chain().includes(id);
/** A plan confirmed and read, and how long that took; it must be done soon. */
const serves = async (s: Scripter, after: string, soon = SOON): Promise<boolean> => {
  const from = s.now();
  for (let done = false; !done && s.now() - from < soon;) {
    const id = await s.plan();
    done = id !== null && (await s.confirm(id)) && (await s.b.reader.read(undefined, 1000)) !== null;
  }
  const ms = s.now() - from;
  s.note('served', { after, ms });
  if (ms >= soon) s.note('unhealed', { before: `${Math.round(ms)} ms had gone by after ${after}` });
  return ms < soon;
};
const stop = (s: Scripter, ids: readonly string[]): void => {
  for (const id of ids) s.b.kill(id);
};
const wipe = (s: Scripter, ids: readonly string[]): void => {
  for (const id of ids) {
    s.b.kill(id);
    s.b.disks.get(id)!.wipe();
  }
};
/** Starts machines, each some time within ms. */
const back = (s: Scripter, ids: readonly string[], ms: number): void => {
  for (const id of ids) s.b.motor.at(s.now() + s.b.motor.chance.real() * ms, () => void s.b.start(id));
};
/** Every process is killed at one instant; one disk has missed the latest, and one is lost. */
const cold = (about: string, size: Size): CoreDrill => ({
  name: size.losses === 1 ? 'cold' : 'coldfive',
  about,
  size,
  async run(s) {
    const late = s.b.chain().at(-1)!;
    if (size.losses > 1) s.b.kill(late);
    else s.b.disks.get(late)!.stall(500);
    await s.nap(size.losses > 1 ? 2500 : 0);
    await s.change(3);
    const rest = s.b.ids.filter((id) => id !== late);
    stop(s, s.b.ids);
    wipe(
      s,
      [s.b.chain()[0] ?? rest[0]!].filter((id) => size.losses > 1 && id !== late),
    );
    if (size.losses > 1 && s.b.ids.every((id) => s.b.disks.get(id)!.names().length > 0)) wipe(s, [rest[0]!]);
    await s.nap(300);
    back(s, s.b.ids, 1000);
    await s.nap(1000);
    return serves(s, 'a cold restart');
  },
});

/** Cores come back with their disks, but where the view has another of them. */
const exchanged = (name: string, about: string, n: number): CoreDrill => ({
  name,
  about,
  async run(s) {
    const from = Math.floor(s.b.motor.chance.real() * 3);
    const list = Array.from({ length: n }, (_, i) => s.b.ids[(from + i) % 3]!);
    await s.change(3);
    stop(s, list);
    s.b.exchange(list);
    await s.nap(300);
    back(s, list, 500);
    await s.nap(500);
    return serves(s, `${n} exchanged addresses`);
  },
});

/** Cores of other sizes and other names, brought to the edge of what they promise. */
export const Larger: readonly CoreDrill[] = [
  {
    name: 'five',
    about: 'five cores that know three seeds make one first view of them all',
    size: FIVE,
    run: (s) => {
      const first = s.deeds().find((d) => d.what === 'view');
      const all = first?.['epoch'] === 1 && (first['chain'] as string[]).length === 5;
      return Promise.resolve(all && s.deeds().filter((d) => d.what === 'view').length === 1);
    },
  },
  {
    name: 'twogone',
    about: 'of five cores the two that confirmed last, or any two, go at once',
    size: FIVE,
    async run(s) {
      const pair = s.b.motor.chance.real() < 0.5 ? s.b.chain().slice(-2) : [s.b.chain()[0]!, s.b.chain()[2]!];
      await s.change(4);
      stop(s, pair);
      const good = await serves(s, 'two were gone');
      back(s, pair, 500);
      return good;
    },
  },
  {
    name: 'twowiped',
    about: 'of five cores two lose their disks just after a confirm, while the others lose power',
    size: FIVE,
    async run(s) {
      const pair = s.b.motor.chance.real() < 0.5 ? s.b.chain().slice(-2) : s.b.chain().slice(0, 2);
      await s.change(4);
      wipe(s, pair);
      stop(s, s.b.ids);
      await s.nap(300);
      back(s, s.b.ids, 1000);
      await s.nap(1000);
      return serves(s, 'two disks were lost and all power');
    },
  },
  {
    name: 'planned',
    about: 'a machine of another name joins, takes the vote of one that leaves, and so again',
    size: FIVE,
    async run(s) {
      for (const [i, old] of ['c1', 'c4'].entries()) {
        const id = s.b.spares[i]!;
        void s.b.start(id);
        await s.until(() => stands(s, id), 5000);
        await s.nap(500);
        void s.change(4);
        await s.b.leave(old);
        if (!(await serves(s, `${old} left`, AT_ONCE))) return false;
        await s.until(() => votes(s, id) && !stands(s, old), 5000);
      }
      return s.b.spares.every((id) => votes(s, id) && stands(s, id)) && !votes(s, 'c1') && !votes(s, 'c4');
    },
  },
  {
    name: 'other',
    about: 'a machine is gone for good and one of another name takes its vote; the old one comes back after all',
    size: { losses: 1, spares: 1 },
    async run(s) {
      const old = s.b.ids[Math.floor(s.b.motor.chance.real() * 3)]!;
      s.b.kill(old);
      void s.b.start('n1');
      void s.change(4);
      await s.until(() => votes(s, 'n1'), 10_000);
      const met = votes(s, 'n1') && !votes(s, old);
      void s.b.start(old);
      const again = await s.until(() => stands(s, old), 5000);
      return met && again && !votes(s, old) && (await serves(s, 'the old one came back'));
    },
  },
  {
    name: 'halves',
    about: 'five cores are cut in two and three',
    size: FIVE,
    async run(s) {
      const some = s.b.motor.chance.real() < 0.5 ? s.b.chain().slice(0, 2) : s.b.chain().slice(-2);
      const lift = s.b.net.cut(some, [...s.b.ids.filter((id) => !some.includes(id)), 'o1', 'o2']);
      const good = await serves(s, 'the cut');
      await s.nap(3000);
      lift();
      return good && s.b.chain().every((id) => !some.includes(id));
    },
  },
  exchanged('exchangedtwo', "two cores of three come back at each other's addresses", 2),
  exchanged('exchangedall', "all three cores come back at one another's addresses", 3),
  cold('all three cores are killed at one instant, one of them while it writes, and come back', {
    losses: 1,
    spares: 0,
  }),
  cold('all five cores are killed at one instant; one has missed the latest and one is wiped', FIVE),
];
