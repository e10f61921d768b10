import type { Drill } from '../drill.js';
import { Met } from '../met.js';

/** The operators. */
export const ConfigDrills: readonly Drill[] = [
  { name: 'steady', about: 'nothing at all', run: (s) => s.f.nap(3000), meets: () => true },
  {
    name: 'config_change',
    about: 'a change now and then',
    async run(s) {
      for (let i = 0; i < 4; i++) {
        await s.operators.change();
        await s.f.nap(2500);
      }
    },
    meets: Met.ruled('acked', 5),
  },
  {
    name: 'config_storm',
    about: 'change upon change, by two operators',
    async run(s) {
      const one = async (): Promise<void> => {
        for (let i = 0; i < 8; i++) {
          await s.operators.change();
          await s.f.nap(150);
        }
      };
      await Promise.all([one(), one()]);
    },
    meets: Met.ruled('acked', 8),
  },
  {
    name: 'config_race',
    about: 'pairs of changes on one version',
    async run(s) {
      for (let i = 0; i < 5; i++) {
        await s.operators.race();
        await s.f.nap(1000);
      }
    },
    meets: Met.ruled('lost', 2),
  },
  {
    name: 'revoke',
    about: 'keys are taken away from connected clients and given back, in quick succession',
    async run(s) {
      for (let i = 0; i < 6; i++) {
        await s.operators.revoke(i);
        await s.f.nap(i % 2 === 0 ? 300 : 2500);
        await s.operators.restore(i);
        await s.f.nap(400);
      }
    },
    meets: (seen) => Met.outcome('unauthorized')(seen) && Met.ruled('acked', 12)(seen),
  },
  {
    name: 'revoke_apart',
    about: 'keys are taken away while some routers stand still and others are cut off',
    async run(s) {
      for (let i = 0; i < 3; i++) {
        const [still, apart] = s.trouble.some(s.f.routerIds, 2);
        s.trouble.freeze([still!], 2500);
        s.trouble.cut([apart!], s.f.replicaIds, 4000);
        await s.operators.revoke(i);
        await s.f.nap(5000);
        await s.operators.restore(i);
        await s.f.nap(4000);
      }
    },
    meets: (seen) => Met.outcome('unauthorized')(seen) && Met.kind('freeze')(seen) && Met.kind('cut')(seen),
  },
  {
    name: 'bad_config',
    about: 'invalid configurations',
    async run(s) {
      for (let i = 0; i < 6; i++) {
        await s.operators.bad();
        await s.f.nap(700);
      }
    },
    meets: Met.ruled('bad', 4),
  },
];
