import type { CoreDrill } from '../coredrill.js';
import type { Scripter } from '../scripter.js';

/** The chain of the newest view that was agreed, by ids, head first. */
const agreed = (s: Scripter): string[] => {
  const chain = s.deeds().findLast((d) => d.what === 'view')?.['chain'] as string[] | undefined;
  return (chain ?? []).map((m) => m.split('/')[0]!);
};
const confirmed = (s: Scripter, from: number): boolean =>
  s.deeds().some((d) => d.what === 'verdict' && d['code'] === 'confirmed' && d.at >= from);
const lose = (s: Scripter, id: string): void => {
  s.b.kill(id);
  s.b.disks.get(id)!.wipe();
};
/** The last of the chain is down while charters are confirmed without it. */
const behind = async (s: Scripter): Promise<{ head: string; middle: string; tail: string; good: boolean }> => {
  const [head, middle, tail] = s.b.chain() as [string, string, string];
  s.b.kill(tail);
  await s.until(() => !agreed(s).includes(tail), 5000);
  const from = s.now();
  for (let i = 0; i < 5 && !confirmed(s, from); i++) await s.change(1);
  return { head, middle, tail, good: confirmed(s, from) };
};
/** All come back, the one that lost its disk empty; then what was confirmed is read. */
const back = async (s: Scripter): Promise<void> => {
  for (const id of s.b.ids) void s.b.start(id);
  await s.nap(500);
  await s.spray(3000, 100, () => void s.read());
};

/**
 * Losses that overlap: more machines are away than may be lost at once, but no more disks are lost. Service may rest
 * until all are back; nothing that was confirmed may be lost or shown in an older state.
 */
export const Overlaps: readonly CoreDrill[] = [
  {
    name: 'joinloss',
    about:
      'a member comes back behind, the next one stops as it is placed, and the head loses its disk before it hands on',
    async run(s) {
      const { head, middle, tail, good } = await behind(s);
      void s.b.start(tail);
      const placed = await s.until(() => agreed(s).includes(tail), 5000);
      s.b.kill(middle);
      const alone = await s.until(() => !agreed(s).includes(middle), 6000);
      lose(s, head);
      await s.nap(300);
      await back(s);
      return good && placed && alone;
    },
  },
  {
    name: 'leaveloss',
    about: 'a member leaves in good order as another is placed that is behind; then the head loses its disk',
    async run(s) {
      const { head, middle, tail, good } = await behind(s);
      void s.b.start(tail);
      const placed = await s.until(() => agreed(s).includes(tail), 5000);
      const left = s.b.leave(middle);
      await s.until(() => !agreed(s).includes(middle), 1200);
      lose(s, head);
      await left;
      await s.nap(300);
      await back(s);
      return good && placed;
    },
  },
  {
    name: 'lastcopy',
    about: 'the chain is down to one member for a moment, and that one loses its disk',
    async run(s) {
      const { head, middle, tail, good } = await behind(s);
      s.b.kill(middle);
      await s.nap(900);
      void s.b.start(tail);
      const alone = await s.until(() => !agreed(s).includes(middle), 6000);
      lose(s, head);
      await s.nap(300);
      await back(s);
      return good && alone;
    },
  },
  {
    name: 'unkeptview',
    about:
      "a member's disk is full as it writes a view and now and then after that; a change is confirmed; the member " +
      'promises the next view and loses power, the other loses its disk, and one that was cut off meanwhile comes back',
    async run(s) {
      const [head, middle, tail] = s.b.chain() as [string, string, string];
      const disk = s.b.disks.get(middle)!;
      const stored = (kind: string, from: number): number =>
        s.deeds().filter((d) => d.what === 'stored' && d.who === middle && d['kind'] === kind && d.at >= from).length;
      const failed = (from: number): boolean =>
        s.deeds().some((d) => d.what === 'sick' && d.who === middle && d.at >= from);
      await s.read();
      const plan = await s.plan();
      const cut = s.now();
      const heal = s.b.net.cut([tail], [head, middle]);
      // The promise and the acceptance are written; the view is not.
      await s.until(() => stored('vote', cut) >= 2, 5000);
      disk.fill(true);
      const refused = await s.until(() => failed(cut), 2000);
      disk.fill(false);
      const from = s.now();
      if (plan) void s.confirm(plan);
      await s.until(() => confirmed(s, from), 2000);
      // The next version that it can't write has it taken out of the chain, which takes its promise once it can write.
      disk.fill(true);
      void s.plan();
      await s.nap(300);
      disk.fill(false);
      const bound = s.now();
      await s.until(() => stored('vote', bound) > 0, 3000);
      lose(s, head);
      s.b.kill(middle);
      heal();
      void s.b.start(middle);
      await s.spray(3000, 50, () => void s.read());
      void s.b.start(head);
      return refused && confirmed(s, cut);
    },
  },
];
