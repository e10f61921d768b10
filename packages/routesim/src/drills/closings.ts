import type { Drill } from '../drill.js';
import { Met } from '../met.js';
import type { Scene } from '../scene.js';

const AFTER = 17_000;
const all = (scene: Scene): string[] => [...scene.fleet.replicaIds, ...scene.fleet.routerIds];
const close = async (scene: Scene, ms: number, strike: () => void): Promise<void> => {
  await scene.operators.change();
  scene.clients.closed(ms);
  strike();
  await scene.fleet.nap(ms + AFTER);
};

/** What strikes at the end, just after one more acknowledgement. */
export const Closings: readonly Drill[] = [
  {
    name: 'power_off_all',
    about: 'every machine loses power',
    run: (scene) => close(scene, 3000, () => scene.trouble.kill(all(scene), 3000, true)),
    meets: Met.what('closed'),
  },
  {
    name: 'kill_all',
    about: 'every process is killed',
    run: (scene) => close(scene, 800, () => scene.trouble.kill(all(scene), 800)),
    meets: Met.what('closed'),
  },
  {
    name: 'wipe_after_ack',
    about: 'as many disks as may be lost are, and all other machines lose power',
    run: (scene) =>
      close(scene, 3000, () => {
        const lost = scene.trouble.some(scene.fleet.replicaIds, scene.fleet.losses);
        scene.trouble.kill(all(scene), 3000, true);
        for (const id of lost) scene.fleet.wipe(id);
      }),
    meets: Met.what('closed'),
  },
];
