import type { Drill } from '../drill.js';

/** What happens to daemons and machines. */
export const Daemons: readonly Drill[] = [
  {
    name: 'kill',
    about: 'daemons are killed singly, and start again',
    meets: ['killed'],
    async run(s) {
      for (const id of s.f.some(s.f.edgeIds, 3)) {
        s.f.kill(id);
        await s.nap(2500);
        void s.ops.change(3);
        s.f.start(id);
        await s.nap(1500);
      }
    },
  },
  {
    name: 'freeze',
    about: 'edge machines freeze with requests in hand while the charter changes, and wake on a slow network',
    meets: ['frozenbusy', 'apart'],
    async run(s) {
      for (const id of s.f.some(s.f.edgeIds, 3)) {
        s.f.net.slow(40);
        s.callers.crowd(250);
        await s.nap(100 + s.real() * 200);
        s.f.freeze(id, 3000 + s.real() * 1500);
        s.f.net.slow(0);
        await Promise.race([s.ops.change(5), s.ops.change(5)]);
        s.f.net.slow(40);
        await s.nap(5500);
      }
      s.f.net.slow(0);
    },
  },
  {
    name: 'pause',
    about: 'machines are paused with their monotonic clocks, while a server leaves and the charter changes',
    meets: ['frozenbusy', 'draining', 'apart'],
    async run(s) {
      for (let i = 0; i < 4; i++) {
        s.f.net.slow(40);
        s.callers.crowd(500);
        await s.nap(100 + s.real() * 200);
        const some = [...s.f.some(s.f.edgeIds, 3), s.f.chain().at(i % 2 === 0 ? 0 : -1)!];
        for (const id of some) s.f.pause(id, s.f.coreIds.includes(id) ? 7500 : 4500);
        await s.nap(100);
        const server = s.f.some(s.park.ids(), 1)[0]!;
        for (const id of [server, ...s.f.some(s.park.ids(), 1)]) s.park.mark(id, 'draining');
        s.f.net.slow(0);
        for (const _ of ['two', 'operators']) void s.ops.change(8);
        await s.ops.change(8);
        s.f.net.slow(40);
        await s.nap(5500);
        for (const id of s.park.ids())
          if (s.park.get(id).mark === 'draining') {
            s.park.renew(id);
          }
        s.f.net.slow(0);
        await s.nap(2500);
      }
    },
  },
  {
    name: 'lone',
    about: 'a single machine is cut off from all the others, then another',
    meets: ['cutmet'],
    async run(s) {
      for (const id of s.f.some([...s.f.edgeIds, ...s.f.coreIds], 2)) {
        const rest = [...s.f.edgeIds, ...s.f.coreIds].filter((x) => x !== id);
        s.cut([id], rest, 5000);
        await s.nap(1000);
        void s.ops.change(4);
        await s.nap(5500);
      }
    },
  },
  {
    name: 'lossy',
    about: 'one mail in twenty between daemons is lost, and all are slow, while the charter changes',
    meets: ['lost', 'confirmed'],
    async run(s) {
      s.f.net.lose(0.05);
      s.f.net.slow(15);
      for (let i = 0; i < 4; i++) {
        await s.ops.change(6);
        await s.nap(2200);
      }
      s.f.net.lose(0);
      s.note('lifted', { lost: s.f.net.met().lost });
      s.f.net.slow(0);
    },
  },
  {
    name: 'alone',
    about: 'a single machine loses all its links: daemons, servers, platform and callers; some of them one way only',
    meets: ['cutmet', 'draining'],
    async run(s) {
      for (let i = 0; i < 3; i++) {
        const id = s.f.some(s.f.edgeIds, 1)[0]!;
        const rest = [...s.f.edgeIds, ...s.f.coreIds].filter((x) => x !== id);
        s.callers.crowd(60);
        s.cut([id], i === 2 ? rest : [...rest, ...s.park.ids(), 'town', 'callers'], 4000, i === 1);
        if (i === 2) s.cut(s.f.some(s.f.edgeIds, 3), s.f.some(s.park.ids(), 2), 4000);
        await s.nap(600);
        const server = s.f.some(s.park.ids(), 1)[0]!;
        s.park.mark(server, 'draining');
        void s.ops.change(4);
        await s.nap(5000);
        s.park.renew(server);
        await s.nap(1500);
      }
    },
  },
  {
    name: 'clocks',
    about: 'wall clocks jump both ways while the charter changes',
    meets: ['skewed'],
    async run(s) {
      for (let i = 0; i < 6; i++) {
        for (const id of s.f.some([...s.f.edgeIds, ...s.f.coreIds], 3)) {
          s.f.boxes.get(id)!.skew((s.real() - 0.5) * 7_200_000);
          s.note('skewed', { id });
        }
        void s.ops.change(2);
        await s.nap(1200);
      }
    },
  },
  {
    name: 'restart',
    about: 'all machines stop at once and start again with their disks',
    meets: ['corekilled', 'killedbusy'],
    async run(s) {
      void s.ops.change(1);
      s.callers.crowd(80);
      await s.nap(20 + s.real() * 60);
      const all = [...s.f.coreIds, ...s.f.edgeIds];
      for (const id of all) s.f.kill(id);
      await s.nap(2000);
      for (const id of all) s.f.start(id);
    },
  },
  {
    name: 'blackout',
    about: 'all machines, all servers and the platform stop, and return one by one in any order',
    meets: ['corekilled', 'fell'],
    async run(s) {
      void s.ops.change(1);
      await s.nap(20 + s.real() * 60);
      const daemons = [...s.f.coreIds, ...s.f.edgeIds],
        servers = s.park.ids();
      for (const id of daemons) s.f.kill(id);
      for (const id of servers) s.park.fall(id);
      s.park.platform(false);
      await s.nap(2500);
      const all = [...daemons, ...servers, 'platform'];
      for (const id of s.f.some(all, all.length)) {
        if (id === 'platform') s.park.platform(true);
        else if (servers.includes(id)) s.park.rise(id);
        else s.f.start(id);
        await s.nap(s.real() * 250);
      }
    },
  },
  {
    name: 'rolling',
    about: 'every edge daemon in turn is told to leave, finishes its requests, and a new life starts',
    meets: ['leaves'],
    async run(s) {
      for (const id of s.f.edgeIds) {
        await s.f.leave(id, 4000);
        await s.nap(300);
        s.f.start(id);
        await s.nap(1200);
      }
    },
  },
  {
    name: 'duty',
    about: 'duty holders are killed, frozen or cut off while their servers come back as new lives, again and again',
    meets: ['hands'],
    async run(s) {
      for (let i = 0; i < 4; i++) {
        const server = s.f.some(s.park.ids(), 1)[0]!;
        const any = [...s.f.counters.values()][0];
        const holder = any?.sheet.assignments().get(server)?.assignment.by ?? s.f.edgeIds[0]!;
        const rest = [...s.f.edgeIds, ...s.f.coreIds].filter((x) => x !== holder);
        s.park.renew(server);
        await s.nap(s.real() * 900);
        if (i % 3 === 0) s.f.kill(holder);
        if (i % 3 === 1) s.f.freeze(holder, 3000 + s.real() * 2500);
        if (i % 3 === 2) s.cut([holder], rest, 4000);
        for (let n = 0; n < 16 || (n < 40 && s.f.orderer(server) === holder); n++) {
          s.park.renew(server);
          await s.nap(500);
        }
        await s.nap(3000);
        s.f.start(holder);
        await s.nap(2000);
      }
    },
  },
];
