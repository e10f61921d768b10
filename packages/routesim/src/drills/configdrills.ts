import type { Drill } from '../drill.js';
import { Met } from '../met.js';

/** The operators. */
export const ConfigDrills: readonly Drill[] = [
  { name: 'steady', about: 'nothing at all', run: (scene) => scene.fleet.nap(3000), meets: () => true },
  {
    name: 'config_change',
    about: 'a change now and then',
    async run(scene) {
      for (let i = 0; i < 4; i++) {
        await scene.operators.change();
        await scene.fleet.nap(2500);
      }
    },
    meets: Met.ruled('acked', 5),
  },
  {
    name: 'config_storm',
    about: 'change upon change, by two operators',
    async run(scene) {
      const one = async (): Promise<void> => {
        for (let i = 0; i < 8; i++) {
          await scene.operators.change();
          await scene.fleet.nap(150);
        }
      };
      await Promise.all([one(), one()]);
    },
    meets: Met.ruled('acked', 8),
  },
  {
    name: 'config_race',
    about: 'pairs of changes on one version',
    async run(scene) {
      for (let i = 0; i < 5; i++) {
        await scene.operators.race();
        await scene.fleet.nap(1000);
      }
    },
    meets: Met.ruled('lost', 2),
  },
  {
    name: 'revoke',
    about: 'keys are taken away from connected clients and given back, in quick succession',
    async run(scene) {
      for (let i = 0; i < 6; i++) {
        await scene.operators.revoke(i);
        await scene.fleet.nap(i % 2 === 0 ? 300 : 2500);
        await scene.operators.restore(i);
        await scene.fleet.nap(400);
      }
    },
    meets: (seen) => Met.outcome('unauthorized')(seen) && Met.ruled('acked', 12)(seen),
  },
  {
    name: 'revoke_apart',
    about: 'keys are taken away while some routers stand still and others are cut off',
    async run(scene) {
      for (let i = 0; i < 3; i++) {
        const [still, apart] = scene.trouble.some(scene.fleet.routerIds, 2);
        scene.trouble.freeze([still!], 2500);
        scene.trouble.cut([apart!], scene.fleet.replicaIds, 4000);
        await scene.operators.revoke(i);
        await scene.fleet.nap(5000);
        await scene.operators.restore(i);
        await scene.fleet.nap(4000);
      }
    },
    meets: (seen) => Met.outcome('unauthorized')(seen) && Met.kind('freeze')(seen) && Met.kind('cut')(seen),
  },
  {
    name: 'bad_config',
    about: 'invalid configurations',
    async run(scene) {
      for (let i = 0; i < 6; i++) {
        await scene.operators.bad();
        await scene.fleet.nap(700);
      }
    },
    meets: Met.ruled('bad', 4),
  },
];
