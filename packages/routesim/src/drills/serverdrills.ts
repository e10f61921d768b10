import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import { Met } from '../met.js';

const harm = async (scene: Scene, part: number, ms: number, how: Record<string, number>): Promise<void> => {
  const some = scene.trouble.servers(part, false);
  scene.trouble.note(
    'harm',
    some.map((x) => x.id),
    ms,
  );
  const old = some.map((x) => ({ ...x.trouble }));
  for (const x of some) Object.assign(x.trouble, how);
  await scene.fleet.nap(ms);
  some.forEach((x, i) => Object.assign(x.trouble, old[i]));
};
/** The only prefill server of a service goes for good, so that another must change its stage. */
const bare = async (scene: Scene): Promise<void> => {
  const readers = scene.fleet.platform.up().filter((x) => x.service === 'alpha' && x.stage() === 'prefill');
  scene.trouble.note(
    'bare',
    readers.map((x) => x.id),
    3000,
  );
  for (const x of readers) scene.fleet.platform.crash(x, false, null);
  await scene.fleet.nap(7000);
};

/** Trouble at servers, and at the platform's list. */
export const ServerDrills: readonly Drill[] = [
  {
    name: 'srv_crash',
    about: 'servers reset, and stand there again as other lives',
    async run(scene) {
      scene.trouble.crash(0.4, 'back', 2500);
      await scene.fleet.nap(6000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'srv_dark',
    about: 'servers say nothing more, for a time',
    async run(scene) {
      scene.trouble.crash(0.4, 'dark', 5000);
      await scene.fleet.nap(9000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'srv_gone',
    about: 'servers reset and are gone; others come at other addresses',
    async run(scene) {
      scene.trouble.crash(0.4, 'gone', 3000);
      await scene.fleet.nap(7000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'release',
    about: 'half of the servers are replaced, one after the other',
    async run(scene) {
      await scene.trouble.release(0.5, 1500);
      await scene.fleet.nap(8000);
    },
    meets: Met.listed('draining'),
  },
  {
    name: 'addr_reuse',
    about: 'servers of another service get the addresses of those that left',
    async run(scene) {
      await scene.trouble.release(0.7, 800, true);
      await scene.fleet.nap(12_000);
    },
    meets: Met.listed('gone'),
  },
  {
    name: 'addr_taken',
    about: 'a server crashes, and one of another service stands at its address while it is still listed',
    async run(scene) {
      for (const x of scene.trouble.servers(0.5)) {
        scene.trouble.note('crash', [x.id], 3000);
        scene.fleet.platform.crash(x, false, null);
        const service = x.service === 'alpha' ? 'beta' : 'alpha';
        scene.fleet.platform.add({ service, addr: x.addr, zone: x.zone, stage: x.stage() });
      }
      await scene.fleet.nap(8000);
    },
    meets: Met.turned('misdirected'),
  },
  {
    name: 'scale_in',
    about: 'a third of the servers leaves and nothing comes for it',
    async run(scene) {
      for (const x of scene.trouble.servers(0.34)) scene.fleet.platform.retire(x, false);
      await scene.fleet.nap(10_000);
    },
    meets: Met.listed('draining'),
  },
  {
    name: 'answer_lost',
    about: 'servers break answers off',
    run: (scene) => harm(scene, 0.6, 6000, { lose: 0.03 }),
    meets: Met.what('spoilt'),
  },
  {
    name: 'garble',
    about: 'answers of other requests come where the next one is due',
    run: (scene) => harm(scene, 0.6, 6000, { spoil: 0.08 }),
    meets: Met.what('spoilt'),
  },
  {
    name: 'slow_server',
    about: 'servers are slow',
    run: (scene) => harm(scene, 0.4, 6000, { slow: 6 }),
    meets: Met.kind('harm'),
  },
  {
    name: 'srv_grey',
    about: 'servers turn a part of their requests away, although they have room',
    run: (scene) => harm(scene, 0.5, 12_000, { shed: 0.7 }),
    meets: Met.turned('refused'),
  },
  {
    name: 'srv_hang',
    about: 'servers take a part of their requests up and say nothing of them',
    run: (scene) => harm(scene, 0.3, 6000, { hang: 0.45 }),
    meets: Met.kind('harm'),
  },
  {
    name: 'srv_flap',
    about: 'servers go down and up by turns',
    async run(scene) {
      for (let i = 0; i < 4; i++) {
        scene.trouble.crash(0.3, 'back', 700);
        await scene.fleet.nap(1400);
      }
      await scene.fleet.nap(4000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'kv_slow',
    about: 'moves take long',
    run: (scene) => harm(scene, 1, 6000, { moves: 60 }),
    meets: Met.kind('harm'),
  },
  {
    name: 'handle_short',
    about: 'handles lapse at once',
    run: (scene) => harm(scene, 1, 6000, { hold: 0 }),
    meets: Met.turned('refused'),
  },
  { name: 'bare_stage', about: 'the last prefill server is gone', run: bare, meets: Met.what('ordered') },
  {
    name: 'bare_leader',
    about: 'the last prefill server is gone, and then the head that would order another',
    async run(scene) {
      const end = bare(scene);
      await scene.fleet.nap(2500);
      const head = scene.fleet.head();
      if (head) scene.trouble.freeze([head], 5000);
      await end;
      await scene.fleet.nap(7000);
    },
    meets: (seen) => Met.what('ordered')(seen) && Met.kind('freeze')(seen),
  },
  {
    name: 'list_cut',
    about: 'the platform says nothing for a time',
    async run(scene) {
      const lift = scene.fleet.net.cut(['platform'], [...scene.fleet.replicaIds, ...scene.fleet.routerIds]);
      scene.trouble.note('list', ['platform'], 5000);
      await scene.trouble.release(0.3, 500);
      await scene.fleet.nap(4000);
      lift();
      await scene.fleet.nap(6000);
    },
    meets: Met.outcome('refused'),
  },
  {
    name: 'burst',
    about: 'six times the traffic',
    async run(scene) {
      scene.clients.times(6);
      await scene.fleet.nap(5000);
      scene.clients.times(1);
      await scene.fleet.nap(4000);
    },
    meets: Met.turned('taken'),
  },
];
