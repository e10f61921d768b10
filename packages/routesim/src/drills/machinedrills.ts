import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import { Met } from '../met.js';

const routers = (scene: Scene, n: number): string[] => scene.trouble.some(scene.fleet.routerIds, n);
const servers = (scene: Scene): string[] => scene.fleet.platform.up().map((x) => x.id);

/** Longer than a router waits before it looks for another server, shorter than clients wait. */
const PAUSE_MS = 1900;
const BETWEEN_PAUSES_MS = 1100;
const PAUSES = 4;

/** Trouble at the machines of routers. */
export const MachineDrills: readonly Drill[] = [
  {
    name: 'node_kill',
    about: 'routers are killed and start again',
    async run(scene) {
      for (let i = 0; i < 3; i++) {
        scene.trouble.kill(routers(scene, 2), 1000);
        await scene.fleet.nap(2500);
      }
    },
    meets: Met.outcome('cut'),
  },
  {
    name: 'node_power',
    about: 'machines of routers go dark',
    async run(scene) {
      scene.trouble.kill(routers(scene, 2), 4000, true);
      await scene.fleet.nap(7000);
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'node_freeze',
    about: 'routers stand still while servers leave and configurations change',
    async run(scene) {
      scene.trouble.freeze(routers(scene, 3), 5000);
      const end = scene.trouble.release(0.4, 400);
      await scene.operators.change();
      await scene.operators.change();
      await end;
      await scene.fleet.nap(9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'node_pause',
    about: 'machines are paused, their steady clock too',
    async run(scene) {
      scene.trouble.freeze(routers(scene, 3), 4000, true);
      await scene.trouble.release(0.4, 400);
      await scene.operators.change();
      await scene.fleet.nap(9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'roll_term',
    about: 'all routers get SIGTERM, two at a time',
    async run(scene) {
      await scene.trouble.term(scene.fleet.routerIds, 2, 500);
      await scene.fleet.nap(2000);
    },
    meets: Met.kind('term'),
  },
  {
    name: 'roll_term_pauses',
    about:
      'routers get SIGTERM, one at a time, while all decode servers pause in the middle of their streams and go on',
    async run(scene) {
      const leaving = scene.trouble.term(scene.fleet.routerIds, 1, 500);
      for (let i = 0; i < PAUSES; i++) {
        await scene.fleet.nap(BETWEEN_PAUSES_MS);
        for (const server of scene.fleet.platform.up()) if (server.stage() === 'decode') server.pause(PAUSE_MS);
        await scene.fleet.nap(PAUSE_MS);
      }
      await leaving;
    },
    meets: Met.kind('term'),
  },
  {
    name: 'herd_kill',
    about: 'more than half of the routers are killed at once',
    async run(scene) {
      scene.trouble.kill(routers(scene, Math.ceil(scene.fleet.routerIds.length * 0.6)), 1200);
      await scene.fleet.nap(6000);
    },
    meets: Met.outcome('cut'),
  },
  {
    name: 'clock_step',
    about: 'the time of day jumps on some machines, and back',
    async run(scene) {
      const all = [...scene.fleet.routerIds, ...scene.fleet.replicaIds];
      scene.trouble.step(scene.trouble.some(all, 3), 2000, 4000);
      scene.trouble.step(scene.trouble.some(all, 3), -2000, 4000);
      await scene.operators.change();
      await scene.fleet.nap(8000);
    },
    meets: Met.kind('clock'),
  },
  {
    name: 'node_cut',
    about: 'routers are cut off from the core while servers leave and configurations change',
    async run(scene) {
      scene.trouble.cut(routers(scene, 2), scene.fleet.replicaIds, 6000);
      const end = scene.trouble.release(0.4, 400);
      await scene.operators.change();
      await end;
      await scene.fleet.nap(10_000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'node_island',
    about: 'routers are cut off from all other machines but the servers',
    async run(scene) {
      const some = routers(scene, 2);
      const rest = [...scene.fleet.replicaIds, 'platform', ...scene.fleet.routerIds.filter((id) => !some.includes(id))];
      scene.trouble.cut(some, rest, 7000);
      const end = scene.trouble.release(0.5, 300);
      await scene.operators.change();
      await end;
      await scene.fleet.nap(11_000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'server_cut',
    about: 'routers are cut off from some servers, later one way only',
    async run(scene) {
      const some = routers(scene, 4);
      scene.trouble.cut(some, scene.trouble.some(servers(scene), 3), 3000);
      await scene.fleet.nap(5000);
      scene.trouble.cut(some, scene.trouble.some(servers(scene), 3), 3000, true);
      await scene.fleet.nap(5000);
      scene.trouble.cut(scene.trouble.some(servers(scene), 3), some, 3000, true);
      await scene.fleet.nap(6000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'loss',
    about: 'a tenth of the mail between daemons is lost',
    async run(scene) {
      scene.trouble.note('loss', [...scene.fleet.routerIds, ...scene.fleet.replicaIds], 6000);
      scene.fleet.net.lose(0.1);
      await scene.operators.change();
      await scene.fleet.nap(5000);
      scene.fleet.net.lose(0);
      await scene.fleet.nap(4000);
    },
    meets: Met.kind('loss'),
  },
];
