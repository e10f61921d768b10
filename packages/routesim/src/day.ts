import { Random } from '@pumicebarrow/forms';
import type { Drill } from './drill.js';
import { Closings } from './drills/closings.js';
import { ConfigDrills } from './drills/configdrills.js';
import { CoreDrills } from './drills/coredrills.js';
import { MachineDrills } from './drills/machinedrills.js';
import { ServerDrills } from './drills/serverdrills.js';

const PARTS = 5;

/** A day of mixed troubles, some of them at once, and a closing; the seed says which. */
export const Day = {
  of(seed: number): Drill {
    const chance = Random.seeded(seed);
    const some = (n: number): Drill[] => Random.sample(chance, [...ConfigDrills, ...ServerDrills, ...MachineDrills], n);
    const core = Random.sample(chance, CoreDrills, PARTS);
    const side = some(PARTS);
    const [closing] = Random.sample(chance, Closings, 1);
    return {
      name: 'day',
      about: [...core, ...side].map((d) => d.name).join(' '),
      async run(scene) {
        for (let i = 0; i < PARTS; i++) {
          if (chance.real() < 0.5) await Promise.all([core[i]!.run(scene), side[i]!.run(scene)]);
          else {
            await core[i]!.run(scene);
            await side[i]!.run(scene);
          }
          await scene.fleet.nap(5000);
        }
        await closing!.run(scene);
      },
      meets: () => true,
    };
  },
};
