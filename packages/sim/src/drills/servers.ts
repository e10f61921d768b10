import type { Drill } from '../drill.js';
import type { Trick } from '../trick.js';

const TRICKS: readonly Trick[] = ['skip', 'repeat', 'other', 'old', 'torn', 'early'];

/** What happens to model servers. */
export const Servers: readonly Drill[] = [
  {
    name: 'crash',
    about: 'model servers crash and come back as new lives',
    meets: ['fell'],
    async run(s) {
      for (const id of s.f.some(s.park.ids(), 3)) {
        s.park.fall(id);
        await s.nap(1500);
        s.park.mark(id, 'gone');
        await s.nap(2500);
        s.park.rise(id);
        await s.nap(1500);
      }
    },
  },
  {
    name: 'dark',
    about: 'a model server stops replying and the list does not say so',
    meets: ['sighted'],
    async run(s) {
      for (const id of s.f.some(s.park.ids(), 2)) {
        s.park.dark(id, true);
        s.callers.crowd(60);
        await s.nap(6000);
        s.park.dark(id, false);
        await s.nap(2000);
      }
    },
  },
  {
    name: 'latesend',
    about: 'servers stand still with work in their buffers, are listed as leaving, and go on seconds later',
    meets: ['late', 'draining'],
    async run(s) {
      for (let i = 0; i < 3; i++) {
        const ids = s.f.some(s.park.ids(), 2);
        s.callers.crowd(150);
        await s.nap(20);
        for (const id of ids) s.park.dark(id, true);
        await s.nap(700);
        for (const id of ids) s.park.mark(id, 'draining');
        await s.nap(4500);
        for (const id of ids) s.park.dark(id, false);
        await s.nap(1500);
        for (const id of ids) {
          s.park.renew(id);
        }
        await s.nap(2500);
      }
    },
  },
  {
    name: 'lateorder',
    about: 'an order lies in the buffers of a server that stands still, while another daemon takes the duty over',
    meets: ['lateorder'],
    async run(s) {
      for (let i = 0; i < 4; i++) {
        const server = s.f.some(s.park.ids(), 1)[0]!;
        s.park.renew(server);
        const sent = s.f.orders(server);
        for (let ms = 0; ms < 6000 && s.f.orders(server) === sent; ms++) await s.nap(0.5);
        s.park.dark(server, true);
        const holder = s.f.orderer(server);
        if (holder) s.f.kill(holder);
        await s.nap(4300 + s.real() * 3000);
        s.park.dark(server, false);
        await s.nap(2500);
        if (holder) s.f.start(holder);
        await s.nap(2500);
      }
    },
  },
  {
    name: 'release',
    about: 'servers are replaced one by one: listed as leaving, stopped, back as new lives',
    meets: ['draining', 'fell'],
    async run(s) {
      for (const id of s.park.ids()) {
        s.park.mark(id, 'draining');
        await s.nap(3200);
        s.park.fall(id);
        s.park.mark(id, 'gone');
        await s.nap(800);
        s.park.rise(id);
        await s.nap(1200);
      }
    },
  },
  {
    name: 'links',
    about: 'links between servers slow down',
    meets: ['slowlink'],
    async run(s) {
      const ids = s.f.some(s.park.ids(), 2);
      for (const id of ids) s.park.slow(id, 700);
      await s.nap(10_000);
      for (const id of ids) s.park.slow(id, 0);
    },
  },
  {
    name: 'lapse',
    about: 'held prompt memory lapses early',
    meets: ['lapsed'],
    async run(s) {
      for (let i = 0; i < 60; i++) {
        // Memory is held for a few ms where servers are idle: a crowd sees to it that some is held when it lapses.
        if (i % 10 === 0) {
          s.callers.crowd(60);
          await s.nap(10 + s.real() * 20);
        }
        s.park.lapse();
        await s.nap(120);
      }
    },
  },
  {
    name: 'crashes',
    about: 'servers crash with many requests in hand, again and again',
    meets: ['fellbusy'],
    async run(s) {
      for (let i = 0; i < 4; i++) {
        s.callers.crowd(120);
        await s.nap(60 + s.real() * 120);
        for (const id of s.f.some(s.park.ids(), 3)) {
          s.park.renew(id);
        }
        await s.nap(2500);
      }
    },
  },
  {
    name: 'swapped',
    about: 'servers give the handles of other requests, and hand over from any',
    meets: ['tricked'],
    async run(s) {
      for (const id of s.park.ids()) s.park.trick(id, 'swap');
      s.callers.crowd(60);
      await s.nap(3000);
      for (const id of s.park.ids()) s.park.trick(id, 'none');
    },
  },
  {
    name: 'tricks',
    about: 'a server answers for another request, skips, repeats, ends early, claims an old life',
    meets: ['tricked'],
    async run(s) {
      for (const t of TRICKS) {
        const writers = s.park.ids().filter((x) => s.park.get(x).stand.state().part === 'decode');
        const id = s.f.some(writers, 1)[0]!;
        s.park.trick(id, t);
        s.callers.crowd(20);
        await s.nap(2000);
        s.park.trick(id, 'none');
      }
    },
  },
  {
    name: 'flaky',
    about: 'servers turn much of their work away, while a herd of daemons is killed and starts again',
    meets: ['turned', 'killed'],
    async run(s) {
      const ids = s.f.some(s.park.ids(), Math.ceil(s.park.ids().length / 2)),
        herd = s.f.some(s.f.edgeIds, 4);
      for (const id of ids) s.park.trick(id, 'flaky');
      s.callers.crowd(200);
      await s.nap(2500);
      for (const id of herd) s.f.kill(id);
      await s.nap(1500);
      for (const id of herd) s.f.start(id);
      s.callers.crowd(200);
      await s.nap(4000);
      for (const id of ids) s.park.trick(id, 'none');
    },
  },
  {
    name: 'nolist',
    about: "the platform's list can't be had for a while, in which half of the servers leave",
    meets: ['oldlist', 'draining'],
    async run(s) {
      s.park.platform(false);
      await s.nap(1000);
      const ids = s.f.some(s.park.ids(), Math.ceil(s.park.ids().length / 2));
      for (const id of ids) s.park.mark(id, 'draining');
      await s.nap(5000);
      s.park.platform(true);
      for (const id of ids) s.park.renew(id);
    },
  },
];
