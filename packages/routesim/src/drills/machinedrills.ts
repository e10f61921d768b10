import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import { Met } from '../met.js';

const routers = (s: Scene, n: number): string[] => s.trouble.some(s.f.routerIds, n);
const servers = (s: Scene): string[] => s.f.platform.up().map((x) => x.id);

/** Trouble at the machines of routers. */
export const MachineDrills: readonly Drill[] = [
  {
    name: 'node_kill',
    about: 'routers are killed and start again',
    async run(s) {
      for (let i = 0; i < 3; i++) {
        s.trouble.kill(routers(s, 2), 1000);
        await s.f.nap(2500);
      }
    },
    meets: Met.outcome('cut'),
  },
  {
    name: 'node_power',
    about: 'machines of routers go dark',
    async run(s) {
      s.trouble.kill(routers(s, 2), 4000, true);
      await s.f.nap(7000);
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'node_freeze',
    about: 'routers stand still while servers leave and configurations change',
    async run(s) {
      s.trouble.freeze(routers(s, 3), 5000);
      const end = s.trouble.release(0.4, 400);
      await s.operators.change();
      await s.operators.change();
      await end;
      await s.f.nap(9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'node_pause',
    about: 'machines are paused, their steady clock too',
    async run(s) {
      s.trouble.freeze(routers(s, 3), 4000, true);
      await s.trouble.release(0.4, 400);
      await s.operators.change();
      await s.f.nap(9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'roll_term',
    about: 'all routers get SIGTERM, two at a time',
    async run(s) {
      await s.trouble.term(s.f.routerIds, 2, 500);
      await s.f.nap(2000);
    },
    meets: Met.kind('term'),
  },
  {
    name: 'herd_kill',
    about: 'more than half of the routers are killed at once',
    async run(s) {
      s.trouble.kill(routers(s, Math.ceil(s.f.routerIds.length * 0.6)), 1200);
      await s.f.nap(6000);
    },
    meets: Met.outcome('cut'),
  },
  {
    name: 'clock_step',
    about: 'the time of day jumps on some machines, and back',
    async run(s) {
      const all = [...s.f.routerIds, ...s.f.replicaIds];
      s.trouble.step(s.trouble.some(all, 3), 2000, 4000);
      s.trouble.step(s.trouble.some(all, 3), -2000, 4000);
      await s.operators.change();
      await s.f.nap(8000);
    },
    meets: Met.kind('clock'),
  },
  {
    name: 'node_cut',
    about: 'routers are cut off from the core while servers leave and configurations change',
    async run(s) {
      s.trouble.cut(routers(s, 2), s.f.replicaIds, 6000);
      const end = s.trouble.release(0.4, 400);
      await s.operators.change();
      await end;
      await s.f.nap(10_000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'node_island',
    about: 'routers are cut off from all other machines but the servers',
    async run(s) {
      const some = routers(s, 2);
      const rest = [...s.f.replicaIds, 'platform', ...s.f.routerIds.filter((id) => !some.includes(id))];
      s.trouble.cut(some, rest, 7000);
      const end = s.trouble.release(0.5, 300);
      await s.operators.change();
      await end;
      await s.f.nap(11_000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'server_cut',
    about: 'routers are cut off from some servers, later one way only',
    async run(s) {
      const some = routers(s, 4);
      s.trouble.cut(some, s.trouble.some(servers(s), 3), 3000);
      await s.f.nap(5000);
      s.trouble.cut(some, s.trouble.some(servers(s), 3), 3000, true);
      await s.f.nap(5000);
      s.trouble.cut(s.trouble.some(servers(s), 3), some, 3000, true);
      await s.f.nap(6000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'loss',
    about: 'a tenth of the mail between daemons is lost',
    async run(s) {
      s.trouble.note('loss', [...s.f.routerIds, ...s.f.replicaIds], 6000);
      s.f.net.lose(0.1);
      await s.operators.change();
      await s.f.nap(5000);
      s.f.net.lose(0);
      await s.f.nap(4000);
    },
    meets: Met.kind('loss'),
  },
];
