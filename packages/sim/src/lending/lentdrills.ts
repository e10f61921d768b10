import { BurstShards } from '@pumicebarrow/registry';
import type { Scene } from '../scene.js';
import type { LentDrill } from './lentdrill.js';
import type { Trainers } from './trainers.js';

type Training = ReturnType<typeof Trainers.make>;
const LONG = 90_000;
/** Longer than a loan lasts at its lender, and shorter than a send by the newest list may take. */
const LAPSE = 2600;
/** A key that falls to the same runner. */
const beside = (key: string): string =>
  Array.from({ length: 200 }, (_, i) => `burst-b${i}`).find(
    (k) => BurstShards.leaseNameOf(k) === BurstShards.leaseNameOf(key),
  )!;
/** Two bursts by two runners, if their keys fall so; the second may be repeated. */
const begin = async (s: Scene, t: Training, samples = 8): Promise<string> => {
  await t.begin('burst-a', 12, samples);
  await t.begin('burst-b', 12, samples, 2);
  await t.until(() => t.runner() !== null, 15_000);
  await s.nap(300 + s.real() * 600);
  return t.runner() ?? s.f.edgeIds[0]!;
};
/**
 * The borrower is cut off from the lender, and its link to the server holds what it sends until the lender has told of
 * the lapse, which is before the lists it was sent by are too old. Whether it held any.
 */
const outlasts = async (s: Scene, t: Training, w: NonNullable<ReturnType<Training['written']>>): Promise<boolean> => {
  const stall = s.park.stall(w.holder, w.server),
    lapsed = t.lapses(w.server);
  s.note('cut', { ids: [w.holder, w.server], until: s.now() + LAPSE });
  s.cut([w.holder], [w.by], LAPSE);
  await t.until(lapsed, LAPSE);
  stall.lift();
  await s.nap(1500);
  return stall.lying() > 0 && lapsed();
};

/** Troubles in the midst of lending and of giving back. */
export const LentDrills: readonly LentDrill[] = [
  {
    name: 'lendcrowd',
    about: 'crowds of live requests come while two bursts run',
    meets: ['lent', 'wouldwait', 'recalled', 'unrun'],
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 3; i++) {
        await t.until(t.queued, 3000);
        s.callers.crowd(250);
        await s.nap(1500 + s.real() * 1500);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'lendkill',
    about: 'the daemon that borrows is killed, and comes back later',
    meets: ['lent', 'killed'],
    async run(s, t) {
      const id = await begin(s, t);
      s.f.kill(id);
      s.callers.crowd(150);
      await s.nap(2000 + s.real() * 2000);
      s.f.start(id);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendlender',
    about: 'a daemon that lends is killed, and comes back at once',
    meets: ['lent', 'killed'],
    async run(s, t) {
      const id = await begin(s, t);
      const by = t.loan(id)?.by ?? id;
      s.f.kill(by);
      await s.nap(200 + s.real() * 1000);
      s.f.start(by);
      s.callers.crowd(100);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendfreeze',
    about: 'the daemon that borrows freezes with loans in hand, and live work comes',
    meets: ['lent', 'frozen', 'lapsed'],
    async run(s, t) {
      const id = await begin(s, t);
      s.f.freeze(id, 6000);
      s.callers.crowd(200);
      await s.nap(6000);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendcut',
    about: 'borrower and lender lose sight of each other, and live work comes',
    meets: ['lent', 'lapsed'],
    async run(s, t) {
      const id = await begin(s, t, 20);
      const by = t.loan(id)?.by;
      if (by && by !== id) s.cut([id], [by], 8000);
      await s.nap(2500);
      s.callers.crowd(100);
      await s.nap(6000);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendcore',
    about: 'the whole core goes while much is lent, and comes back',
    meets: ['lent', 'killed'],
    async run(s, t) {
      await begin(s, t);
      for (const id of s.f.coreIds) s.f.kill(id);
      s.callers.crowd(150);
      await s.nap(4000 + s.real() * 2000);
      for (const id of s.f.coreIds) s.f.start(id);
      await s.nap(3000);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendrestart',
    about: 'all daemons are killed at one instant in the midst of lending, and start again',
    meets: ['lent', 'killed'],
    async run(s, t) {
      await begin(s, t);
      const all = [...s.f.coreIds, ...s.f.edgeIds];
      for (const id of all) s.f.kill(id);
      await s.nap(1500);
      for (const id of all) s.f.start(id);
      await s.nap(4000);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendserver',
    about: 'lent servers crash with borrowed work, and are back as new lives',
    meets: ['lent', 'fell', 'unsure'],
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 3; i++) {
        await t.until(() => t.streaming() !== null, 3000);
        s.park.renew(t.streaming() ?? s.park.ids()[i]!);
        await s.nap(400 + s.real() * 600);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'lendmark',
    about: 'core disks are slow, so that marks are long on their way, when all daemons are killed at one instant',
    meets: ['lent', 'killed'],
    async run(s, t) {
      await begin(s, t, 20);
      for (const id of s.f.coreIds) s.f.disks.get(id)!.slow(120);
      await s.nap(1500 + s.real() * 1000);
      const all = [...s.f.coreIds, ...s.f.edgeIds];
      for (const id of all) s.f.kill(id);
      for (const id of s.f.coreIds) s.f.disks.get(id)!.slow(0);
      await s.nap(2500);
      for (const id of all) s.f.start(id);
      await s.nap(4000);
      await t.finish(LONG);
    },
  },
  {
    name: 'lendowed',
    about: 'one daemon runs two bursts, and gives generations of the first back to crowds of live requests',
    meets: ['lent', 'unrun', 'again'],
    async run(s, t) {
      await t.begin('burst-a', 12, 16);
      await t.until(() => t.runner() !== null, 15_000);
      for (let i = 0; i < 5; i++) {
        if (i === 2) await t.begin(beside('burst-a'), 12, 8);
        await t.until(t.queued, 3000);
        s.callers.crowd(250);
        await s.nap(1500 + s.real() * 1500);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'lendlate',
    about: 'a link holds borrowed requests until their loan has lapsed; then lent servers stand still with them',
    meets: ['lent', 'late', 'lapsed'],
    async run(s, t) {
      await begin(s, t, 20);
      for (let i = 0, held = 0; i < 12 && held < 3; i++) {
        await t.until(() => t.written() !== null, 5000);
        const w = t.written();
        if (w && (await outlasts(s, t, w))) held++;
      }
      await t.until(() => t.streaming() !== null, 3000);
      const ids = s.park.ids();
      for (const id of ids) s.park.dark(id, true);
      await s.nap(2600 + s.real() * 300);
      for (const id of ids) s.park.dark(id, false);
      await s.nap(2500);
      await t.finish(LONG);
    },
  },
];
