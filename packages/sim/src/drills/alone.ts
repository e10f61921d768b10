import type { HistoryEvent } from '@pumicebarrow/forms';
import { Bench } from '../bench.js';
import type { CoreDrill } from '../coredrill.js';
import { Larger } from './larger.js';
import { Overlaps } from './overlaps.js';
import type { Scripter } from '../scripter.js';

const NAME = 'row:m1';
const others = (id: string): string[] => Bench.ids.filter((x) => x !== id);
const views = (s: Scripter): readonly HistoryEvent[] => s.deeds().filter((d) => d.what === 'view');
/** A view agreed after the first n, if it leaves a member out. */
const without = (s: Scripter, n: number, id: string): HistoryEvent | undefined =>
  views(s)
    .slice(n)
    .find((d) => !(d['chain'] as string[]).some((m) => m.startsWith(`${id}/`)));
/** Reads all the while, by one that keeps the view it knew. */
const watch = (s: Scripter, ms: number, every = 20): Promise<void> => s.spray(ms, every, () => void s.read());
/** Whether a version was confirmed after an instant. */
const confirmed = (s: Scripter, from: number): boolean =>
  s.deeds().some((d) => d.what === 'verdict' && d['code'] === 'confirmed' && d.at > from);

/**
 * A view without the tail is accepted by the middle, which learns only later that it is agreed; then the tail is cut
 * off from all but its readers, and a charter is confirmed. False when the view was not agreed at the first try: the
 * tail suspects the head soon after.
 */
const accepted = async (s: Scripter): Promise<boolean> => {
  const [head, middle, tail] = s.b.chain() as [string, string, string];
  await s.read();
  const plan = await s.plan();
  const n = views(s).length;
  // The tail hears the head for longer than the head hears it, so that it is the head that proposes.
  const deaf = s.b.net.cut([tail], [head], true);
  await s.nap(900);
  const curt = s.b.net.cut([head], [tail], false, true);
  await s.until(() => without(s, n, tail) !== undefined, 400);
  const agreed = without(s, n, tail);
  if (!agreed) {
    for (const lift of [deaf, curt]) lift();
    return false;
  }
  const late = s.b.net.cut([head], [middle], false, true);
  await s.until(() => s.b.cores.get(tail)!.core.holdsLease(), 300);
  late();
  const moved = await s.until(() => s.b.cores.get(middle)!.core.view()?.epoch === agreed['epoch'], 1000);
  const told = s.now();
  const rest = s.b.net.cut([tail], others(tail));
  void watch(s, 900, 5);
  await s.spray(900, 20, () => {
    if (plan && !confirmed(s, told)) void s.confirm(plan);
  });
  for (const lift of [deaf, curt, rest]) lift();
  return moved && confirmed(s, told);
};

/** The core alone, brought to the edge of one promise at a time. */
export const Alone: readonly CoreDrill[] = [
  ...Larger,
  ...Overlaps,
  {
    name: 'staletail',
    about: 'the tail is cut off from all but a reader that knows the old view, and charters are confirmed without it',
    async run(s) {
      const tail = s.b.chain().at(-1)!;
      await s.read();
      const lift = s.b.net.cut([tail], [...others(tail), 'o1']);
      const from = s.now();
      void watch(s, 9000);
      for (let i = 0; i < 3 && s.now() < from + 8000; i++) {
        await s.nap(1500);
        await s.change(1);
      }
      lift();
      return confirmed(s, from);
    },
  },
  {
    name: 'pausedtail',
    about:
      'the tail is paused with its monotonic clock, and is read as it wakes, not yet reached by the others, after ' +
      'charters were confirmed without it',
    async run(s) {
      const tail = s.b.chain().at(-1)!;
      await s.read();
      const plan = await s.plan();
      const from = s.now();
      const lift = s.b.net.cut(others(tail), [tail]);
      s.b.boxes.get(tail)!.pause(4000);
      while (plan && s.now() < from + 3900 && !confirmed(s, from)) {
        void s.confirm(plan);
        await s.nap(100);
      }
      await s.nap(from + 3990 - s.now());
      await watch(s, 200, 2);
      lift();
      return confirmed(s, from);
    },
  },
  {
    name: 'slowjoin',
    about: 'a tail comes back behind, and is slow to write what the head hands it',
    async run(s) {
      const tail = s.b.chain().at(-1)!;
      const lift = s.b.net.cut([tail], [...others(tail), 'o1']);
      await s.nap(2500);
      await s.change(2);
      const from = s.now();
      s.b.disks.get(tail)!.slow(900);
      lift();
      const joined = (d: HistoryEvent): boolean =>
        d.at > from && (d['chain'] as string[]).at(-1)!.startsWith(`${tail}/`);
      const back = await s.until(() => views(s).some(joined), 4000);
      await watch(s, 1500, 10);
      s.b.disks.get(tail)!.slow(0);
      return back;
    },
  },
  {
    name: 'sickhead',
    about: 'a head gives a lease, its disk fails at once, and another daemon asks the next head for the name',
    async run(s) {
      const head = s.b.chain()[0]!;
      const n = views(s).length;
      await s.lease(NAME, 'x');
      const from = s.now();
      s.b.disks.get(head)!.fail(0);
      void s.change(1);
      await s.spray(4000, 20, () => void s.lease(NAME, 'y'));
      s.b.disks.get(head)!.fail(null);
      const next = without(s, n, head);
      return next !== undefined && next.at - from < 2000;
    },
  },
  {
    name: 'deafhead',
    about:
      'what the others send to the head is lost, and it goes on speaking to them; a charter is confirmed without it',
    async run(s) {
      const head = s.b.chain()[0]!;
      await s.read();
      const plan = await s.plan();
      const n = views(s).length;
      const lift = s.b.net.cut(others(head), [head], true);
      const moved = await s.until(() => without(s, n, head) !== undefined, 8000);
      const from = s.now();
      await s.spray(1500, 20, () => {
        if (plan && !confirmed(s, from)) void s.confirm(plan);
      });
      const done = confirmed(s, from);
      lift();
      return moved && done;
    },
  },
  {
    name: 'liveclaim',
    about:
      'head and tail lose sight of each other; as a view without the tail is agreed, it is read under its old lease',
    async run(s) {
      const chain = s.b.chain(),
        tail = chain.at(-1)!;
      await s.read();
      const plan = await s.plan();
      const n = views(s).length;
      const lift = s.b.net.cut([chain[0]!], [tail], false, true);
      const moved = await s.until(() => without(s, n, tail) !== undefined, 5000);
      const from = s.now();
      const rest = s.b.net.cut([tail], others(tail));
      void watch(s, 900, 5);
      await s.spray(900, 20, () => {
        if (plan && !confirmed(s, from)) void s.confirm(plan);
      });
      lift();
      rest();
      return moved && confirmed(s, from);
    },
  },
  {
    name: 'promisedtail',
    about:
      'the middle accepts a view without the tail and hears late that it is agreed; the tail, which asks it for ' +
      'leases all the while, is read',
    async run(s) {
      for (let i = 0; i < 5; i++) {
        if (await accepted(s)) return true;
        await s.nap(2000);
        await s.healed();
      }
      return false;
    },
  },
  {
    name: 'halfview',
    about: 'a proposer dies once a view is agreed and before anyone is told; the others choose for the same epoch',
    async run(s) {
      const [a, b, c] = s.b.chain() as [string, string, string];
      const n = views(s).length;
      const lift = s.b.net.cut([c], [a, b]);
      await s.until(() => without(s, n, c) !== undefined, 5000);
      const first = without(s, n, c);
      if (!first) return false;
      lift();
      const mute = s.b.net.cut([first.who], others(first.who));
      s.down(first.who, 4000);
      s.b.motor.at(s.now() + 3900, mute);
      await s.nap(6000);
      return views(s).some((d) => d['epoch'] === first['epoch'] && d.who !== first.who);
    },
  },
  {
    name: 'onecopy',
    about: 'one core is down and the disk of another fails for a moment; the last one loses its disk after a confirm',
    async run(s) {
      const [a, b, c] = s.b.chain() as [string, string, string];
      const n = views(s).length;
      s.b.kill(c);
      await s.nap(2500);
      const plan = await s.plan();
      s.b.disks.get(b)!.fail(0);
      void s.lease(NAME, 'x');
      await s.nap(500);
      s.b.disks.get(b)!.fail(null);
      const alone = (): boolean =>
        views(s)
          .slice(n)
          .some((d) => (d['chain'] as string[]).length === 1);
      await s.until(alone, 3000);
      const from = s.now();
      if (plan)
        for (let i = 0; i < 400 && !confirmed(s, from); i++) {
          void s.confirm(plan);
          await s.nap(10);
        }
      s.down(a, 800, () => s.b.disks.get(a)!.wipe());
      await s.b.start(c);
      return alone() && confirmed(s, from);
    },
  },
];
