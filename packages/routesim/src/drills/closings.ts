import type { Drill } from '../drill.js';
import { Met } from '../met.js';
import type { Scene } from '../scene.js';

const AFTER = 17_000;
const all = (s: Scene): string[] => [...s.f.replicaIds, ...s.f.routerIds];
const close = async (s: Scene, ms: number, strike: () => void): Promise<void> => {
  await s.operators.change();
  s.clients.closed(ms);
  strike();
  await s.f.nap(ms + AFTER);
};

/** What strikes at the end, just after one more acknowledgement. */
export const Closings: readonly Drill[] = [
  {
    name: 'power_off_all',
    about: 'every machine loses power',
    run: (s) => close(s, 3000, () => s.trouble.kill(all(s), 3000, true)),
    meets: Met.what('closed'),
  },
  {
    name: 'kill_all',
    about: 'every process is killed',
    run: (s) => close(s, 800, () => s.trouble.kill(all(s), 800)),
    meets: Met.what('closed'),
  },
  {
    name: 'wipe_after_ack',
    about: 'as many disks as may be lost are, and all other machines lose power',
    run: (s) =>
      close(s, 3000, () => {
        const lost = s.trouble.some(s.f.replicaIds, s.f.losses);
        s.trouble.kill(all(s), 3000, true);
        for (const id of lost) s.f.wipe(id);
      }),
    meets: Met.what('closed'),
  },
];
