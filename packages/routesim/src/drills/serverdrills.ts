import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import { Met } from '../met.js';

const harm = async (s: Scene, part: number, ms: number, how: Record<string, number>): Promise<void> => {
  const some = s.trouble.servers(part, false);
  s.trouble.note(
    'harm',
    some.map((x) => x.id),
    ms,
  );
  const old = some.map((x) => ({ ...x.trouble }));
  for (const x of some) Object.assign(x.trouble, how);
  await s.f.nap(ms);
  some.forEach((x, i) => Object.assign(x.trouble, old[i]));
};
/** The only prefill server of a service goes for good, so that another must change its stage. */
const bare = async (s: Scene): Promise<void> => {
  const readers = s.f.platform.up().filter((x) => x.service === 'alpha' && x.stage() === 'prefill');
  s.trouble.note(
    'bare',
    readers.map((x) => x.id),
    3000,
  );
  for (const x of readers) s.f.platform.crash(x, false, null);
  await s.f.nap(7000);
};

/** Trouble at servers, and at the platform's list. */
export const ServerDrills: readonly Drill[] = [
  {
    name: 'srv_crash',
    about: 'servers reset, and stand there again as other lives',
    async run(s) {
      s.trouble.crash(0.4, 'back', 2500);
      await s.f.nap(6000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'srv_dark',
    about: 'servers say nothing more, for a time',
    async run(s) {
      s.trouble.crash(0.4, 'dark', 5000);
      await s.f.nap(9000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'srv_gone',
    about: 'servers reset and are gone; others come at other addresses',
    async run(s) {
      s.trouble.crash(0.4, 'gone', 3000);
      await s.f.nap(7000);
    },
    meets: Met.kind('crash'),
  },
  {
    name: 'release',
    about: 'half of the servers are replaced, one after the other',
    async run(s) {
      await s.trouble.release(0.5, 1500);
      await s.f.nap(8000);
    },
    meets: Met.listed('draining'),
  },
  {
    name: 'addr_reuse',
    about: 'servers of another service get the addresses of those that left',
    async run(s) {
      await s.trouble.release(0.7, 800, true);
      await s.f.nap(12_000);
    },
    meets: Met.listed('gone'),
  },
  {
    name: 'addr_taken',
    about: 'a server crashes, and one of another service stands at its address while it is still listed',
    async run(s) {
      for (const x of s.trouble.servers(0.5)) {
        s.trouble.note('crash', [x.id], 3000);
        s.f.platform.crash(x, false, null);
        const service = x.service === 'alpha' ? 'beta' : 'alpha';
        s.f.platform.add({ service, addr: x.addr, zone: x.zone, stage: x.stage() });
      }
      await s.f.nap(8000);
    },
    meets: Met.turned('misdirected'),
  },
  {
    name: 'scale_in',
    about: 'a third of the servers leaves and nothing comes for it',
    async run(s) {
      for (const x of s.trouble.servers(0.34)) s.f.platform.retire(x, false);
      await s.f.nap(10_000);
    },
    meets: Met.listed('draining'),
  },
  {
    name: 'answer_lost',
    about: 'servers break answers off',
    run: (s) => harm(s, 0.6, 6000, { lose: 0.03 }),
    meets: Met.what('spoilt'),
  },
  {
    name: 'garble',
    about: 'answers of other requests come where the next one is due',
    run: (s) => harm(s, 0.6, 6000, { spoil: 0.08 }),
    meets: Met.what('spoilt'),
  },
  {
    name: 'slow_server',
    about: 'servers are slow',
    run: (s) => harm(s, 0.4, 6000, { slow: 6 }),
    meets: Met.kind('harm'),
  },
  {
    name: 'srv_grey',
    about: 'servers turn a part of their requests away, although they have room',
    run: (s) => harm(s, 0.5, 12_000, { shed: 0.7 }),
    meets: Met.turned('refused'),
  },
  {
    name: 'srv_hang',
    about: 'servers take a part of their requests up and say nothing of them',
    run: (s) => harm(s, 0.3, 6000, { hang: 0.45 }),
    meets: Met.kind('harm'),
  },
  {
    name: 'srv_flap',
    about: 'servers go down and up by turns',
    async run(s) {
      for (let i = 0; i < 4; i++) {
        s.trouble.crash(0.3, 'back', 700);
        await s.f.nap(1400);
      }
      await s.f.nap(4000);
    },
    meets: Met.kind('crash'),
  },
  { name: 'kv_slow', about: 'moves take long', run: (s) => harm(s, 1, 6000, { moves: 60 }), meets: Met.kind('harm') },
  {
    name: 'handle_short',
    about: 'handles lapse at once',
    run: (s) => harm(s, 1, 6000, { hold: 0 }),
    meets: Met.turned('refused'),
  },
  { name: 'bare_stage', about: 'the last prefill server is gone', run: bare, meets: Met.what('ordered') },
  {
    name: 'bare_leader',
    about: 'the last prefill server is gone, and then the head that would order another',
    async run(s) {
      const end = bare(s);
      await s.f.nap(2500);
      const head = s.f.head();
      if (head) s.trouble.freeze([head], 5000);
      await end;
      await s.f.nap(7000);
    },
    meets: (seen) => Met.what('ordered')(seen) && Met.kind('freeze')(seen),
  },
  {
    name: 'list_cut',
    about: 'the platform says nothing for a time',
    async run(s) {
      const lift = s.f.net.cut(['platform'], [...s.f.replicaIds, ...s.f.routerIds]);
      s.trouble.note('list', ['platform'], 5000);
      await s.trouble.release(0.3, 500);
      await s.f.nap(4000);
      lift();
      await s.f.nap(6000);
    },
    meets: Met.outcome('refused'),
  },
  {
    name: 'burst',
    about: 'six times the traffic',
    async run(s) {
      s.clients.times(6);
      await s.f.nap(5000);
      s.clients.times(1);
      await s.f.nap(4000);
    },
    meets: Met.turned('taken'),
  },
];
