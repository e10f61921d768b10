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
