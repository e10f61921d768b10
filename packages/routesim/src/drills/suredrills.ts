import type { Drill } from '../drill.js';
import { Met } from '../met.js';
import type { Scene } from '../scene.js';

const LEAP = 31;
/** All servers spoil answers while it lasts. */
const spoil = async (scene: Scene, ms: number, how: { lose?: number; spoil?: number }): Promise<void> => {
  const all = scene.fleet.platform.up();
  const ids = all.map((x) => x.id);
  scene.trouble.note('harm', ids, ms);
  for (const x of all) Object.assign(x.trouble, how);
  await scene.fleet.nap(ms);
  for (const x of all) Object.assign(x.trouble, { lose: 0, spoil: 0 });
};
/** Requests that show, at any router, whether the newest configuration or the one before it is in force there. */
const marks = async (scene: Scene, ms: number): Promise<void> => {
  const end = scene.fleet.motor.now() + ms;
  for (let i = 0; scene.fleet.motor.now() < end; i++) {
    const p = scene.operators.proposals.at(i % 2 === 0 ? -1 : -2);
    if (p) scene.clients.probe(scene.trouble.some(scene.fleet.routerIds, 1)[0]!, p.mark, 'alpha');
    await scene.fleet.nap(7);
  }
};

/** What breaks only at a certain moment is brought to that moment often, whatever the seed. No part of a mixed day. */
export const SureDrills: readonly Drill[] = [
  {
    name: 'answers_lost',
    about: 'all servers break many answers off, after the requests have begun to run',
    run: (scene) => spoil(scene, 6000, { lose: 0.2 }),
    meets: Met.lost(3),
  },
  {
    name: 'garbles',
    about: 'at all servers answers of other requests come in the place of many, before a word of the right one',
    run: (scene) => spoil(scene, 6000, { spoil: 0.4 }),
    meets: Met.what('spoilt', 20),
  },
  {
    name: 'release_all',
    about: 'each server is replaced, one after the other',
    async run(scene) {
      await scene.trouble.release(1, 1000);
      await scene.fleet.nap(8000);
    },
    meets: Met.listed('draining', 6),
  },
  {
    name: 'config_leap',
    about: 'changes that each leap far ahead in revisions, over every remainder by three',
    async run(scene) {
      for (let i = 0; i < 3; i++) {
        await scene.operators.change(LEAP);
        await scene.fleet.nap(3000);
      }
    },
    meets: Met.ruled('acked', 5),
  },
  {
    name: 'island_change',
    about: 'routers are cut off from all other machines but the servers just before a configuration changes',
    async run(scene) {
      for (let i = 0; i < 3; i++) {
        const some = scene.trouble.some(scene.fleet.routerIds, 3);
        const rest = [
          ...scene.fleet.replicaIds,
          'platform',
          ...scene.fleet.routerIds.filter((id) => !some.includes(id)),
        ];
        scene.trouble.cut(some, rest, 4000);
        await scene.operators.change();
        await marks(scene, 2500);
        await scene.fleet.nap(6000);
      }
    },
    meets: Met.beside,
  },
];
