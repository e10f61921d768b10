import { Shards } from '@pumicebarrow/registry';
import type { Scene } from '../scene.js';
import type { LentDrill } from './lentdrill.js';
import type { Trainers } from './trainers.js';

type Training = ReturnType<typeof Trainers.make>;
const LONG = 90_000;
/** Two bursts that may be cut at a piece; the second may also be repeated. */
const begin = async (s: Scene, t: Training): Promise<void> => {
  await t.begin('burst-a', 12, 12, 0, 'rollon');
  await t.begin('burst-b', 12, 8, 2, 'rollon');
  await t.until(() => t.runner() !== null, 15_000);
  await s.nap(300 + s.real() * 600);
};
/** Crowds come until a stream has been cut; the daemon that ran it, as soon as it has told so. */
const cut = async (s: Scene, t: Training, what = 'cutat'): Promise<string | null> => {
  for (let i = 0; i < 8; i++) {
    await t.until(() => t.streaming() !== null, 3000);
    const heard = t.hears((d) => d.what === what);
    s.callers.crowd(250);
    if (await t.until(() => heard() !== null, 1500)) return heard()!.who;
  }
  return null;
};

/** Troubles in the midst of cutting what was begun at a piece, and of going on with it. */
export const PieceDrills: readonly LentDrill[] = [
  {
    name: 'piececrowd',
    about: 'crowds of live requests come while two bursts run that may be cut',
    meets: ['lent', 'recalled', 'cutat', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 5; i++) {
        await cut(s, t);
        await s.nap(1500 + s.real() * 1500);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'piecefreeze',
    about: 'the daemon that borrows freezes at the instant of a cut, and wakes later',
    meets: ['cutat', 'frozen', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 2; i++) {
        const id = await cut(s, t);
        if (id) s.f.freeze(id, 4000 + s.real() * 6000);
        await s.nap(9000);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'piecekill',
    about: 'the daemon that borrows is killed at the instant of a cut, before or after the core holds it',
    meets: ['cutat', 'killed', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      for (const what of ['cutat', 'rests']) {
        const id = await cut(s, t, what);
        if (id) s.f.kill(id);
        await s.nap(1000 + s.real() * 8000);
        if (id) s.f.start(id);
        await s.nap(2000);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'piececut',
    about: 'the daemon that borrows is cut off from core, lenders and servers at the instant of a cut',
    meets: ['cutat', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 2; i++) {
        const id = await cut(s, t);
        const rest = [...s.f.coreIds, ...s.f.edgeIds, ...s.park.ids()].filter((x) => x !== id);
        if (id) s.cut([id], rest, 3000 + s.real() * 5000);
        await s.nap(9000);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'piececore',
    about: 'the whole core goes at the instant of a cut, and comes back: what is held there is what it goes on from',
    meets: ['cutat', 'killed', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      await cut(s, t);
      for (const id of s.f.coreIds) s.f.kill(id);
      await s.nap(4000 + s.real() * 2000);
      for (const id of s.f.coreIds) s.f.start(id);
      await s.nap(3000);
      await t.finish(LONG);
    },
  },
  {
    name: 'piecerestart',
    about: 'all daemons are killed at one instant while the core holds pieces, and start again',
    meets: ['cutat', 'killed', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      await cut(s, t, 'rests');
      const all = [...s.f.coreIds, ...s.f.edgeIds];
      for (const id of all) s.f.kill(id);
      await s.nap(1500);
      for (const id of all) s.f.start(id);
      await s.nap(4000);
      await t.finish(LONG);
    },
  },
  {
    name: 'pieceserver',
    about: 'servers crash with streams that may be cut, or that go on, and are back as new lives',
    meets: ['lent', 'fell', 'crashed', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      for (let i = 0; i < 5; i++) {
        await t.until(() => t.streaming() !== null, 3000);
        s.park.renew(t.streaming() ?? s.park.ids()[i % s.park.ids().length]!);
        await s.nap(400 + s.real() * 600);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'piecetrick',
    about: 'servers tear, repeat, skip, and mix up pieces while streams are cut and go on',
    meets: ['lent', 'cutat', 'resumed'],
    async run(s, t) {
      await begin(s, t);
      for (const trick of ['torn', 'repeat', 'skip', 'other', 'old', 'swap', 'mixed', 'mixed'] as const) {
        const ids = s.park.ids(),
          half = ids.filter((_, i) => i % 2 === 0);
        for (const id of half) s.park.trick(id, trick);
        if (trick === 'mixed') await cut(s, t);
        await s.nap(400 + s.real() * 600);
        for (const id of half) s.park.trick(id, 'none');
        await cut(s, t);
      }
      await t.finish(LONG);
    },
  },
  {
    name: 'pieceowed',
    about: 'one daemon runs two bursts, the first of which is cut again and again by crowds',
    meets: ['cutat', 'resumed', 'again'],
    async run(s, t) {
      await t.begin('burst-a', 12, 16, 0, 'rollon');
      await t.until(() => t.runner() !== null, 15_000);
      const beside = Array.from({ length: 200 }, (_, i) => `burst-b${i}`).find(
        (k) => Shards.of(k) === Shards.of('burst-a'),
      )!;
      for (let i = 0; i < 6; i++) {
        if (i === 1) await t.begin(beside, 12, 8, 0, 'rollon');
        await cut(s, t);
        await s.nap(300 + s.real() * 1500);
      }
      await t.finish(LONG);
    },
  },
];
