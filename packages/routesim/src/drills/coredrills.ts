import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import { Met } from '../met.js';

const replicas = (s: Scene, n: number): string[] => s.trouble.some(s.f.replicaIds, n);
const losses = (s: Scene): number => s.f.losses;
const leader = (s: Scene): string => s.f.head() ?? s.f.replicaIds[0]!;
/** While it lasts, servers leave and configurations change. */
const busy = async (s: Scene, rest: number): Promise<void> => {
  const end = s.trouble.release(0.3, 500);
  await s.operators.change();
  await s.operators.race();
  await end;
  await s.f.nap(rest);
};
const disk = (how: 'slow' | 'full' | 'stall'): Drill => ({
  name: `disk_${how}`,
  about: `a control replica's disk is ${how}`,
  async run(s) {
    for (const id of replicas(s, losses(s))) s.trouble.disk(how, id, 5000);
    await busy(s, 10_000);
  },
  meets: Met.kind(`disk ${how}`),
});

/** Trouble in the core. */
export const CoreDrills: readonly Drill[] = [
  {
    name: 'core_kill',
    about: 'control replicas are killed, and come back',
    async run(s) {
      s.trouble.kill(replicas(s, losses(s)), 2500);
      await busy(s, 8000);
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'leader_kill',
    about: 'the head is killed, again and again',
    async run(s) {
      for (let i = 0; i < 3; i++) {
        s.trouble.kill([leader(s)], 1500);
        await s.operators.change();
        await s.f.nap(5000);
      }
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'leader_freeze',
    about: 'the head stands still',
    async run(s) {
      s.trouble.freeze([leader(s)], 5000);
      await busy(s, 9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'leader_pause',
    about: "the head's machine is paused, its steady clock too",
    async run(s) {
      s.trouble.freeze([leader(s)], 4000, true);
      await busy(s, 9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'core_term',
    about: 'control replicas get SIGTERM, one after the other',
    async run(s) {
      const end = s.trouble.term([...s.f.replicaIds], 1, 4000);
      await s.f.nap(300);
      await s.operators.change();
      await end;
      await s.f.nap(4000);
    },
    meets: Met.kind('term'),
  },
  {
    name: 'core_herd',
    about: 'every control replica is killed at once, and is back within a second',
    async run(s) {
      s.trouble.kill([...s.f.replicaIds], 900);
      await s.f.nap(1000);
      await busy(s, 8000);
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'replace_core',
    about: 'a control replica is gone for good, an empty one with another name comes',
    async run(s) {
      for (let i = 0; i < 2; i++) {
        await s.trouble.replace(i === 0 ? leader(s) : s.f.replicaIds[0]!, false);
        await s.operators.change();
        await s.f.nap(8000);
      }
    },
    meets: Met.kind('replace'),
  },
  {
    name: 'replace_planned',
    about: 'the new control replica comes first, then the old one gets SIGTERM',
    async run(s) {
      await s.trouble.replace(leader(s), true);
      await s.operators.change();
      await s.f.nap(6000);
    },
    meets: Met.kind('replace'),
  },
  {
    name: 'seed_turnover',
    about: 'control replicas are replaced until no first seed is left, and then routers start with new seeds',
    async run(s) {
      for (const id of [...s.f.replicaIds]) {
        await s.trouble.replace(id, true);
        s.f.reseed();
        await s.f.nap(5000);
      }
      s.trouble.kill(s.trouble.some(s.f.routerIds, 2), 1000);
      await s.operators.change();
      await s.f.nap(7000);
    },
    meets: Met.kind('replace'),
  },
  {
    name: 'after_ack_wipe',
    about: 'the control replica that has just acknowledged loses its disk',
    async run(s) {
      for (let i = 0; i < 2; i++) {
        await s.operators.change();
        s.trouble.wipe(s.operators.acker() ?? leader(s), 1500);
        await s.f.nap(10_000);
      }
    },
    meets: Met.kind('wipe'),
  },
  {
    name: 'lots_wipe',
    about: 'as many control replicas as may be lost lose their disks just after an acknowledgement',
    async run(s) {
      await s.operators.change();
      for (const id of replicas(s, losses(s))) s.trouble.wipe(id, 1500);
      await s.f.nap(12_000);
      await s.operators.change();
    },
    meets: Met.kind('wipe'),
  },
  disk('slow'),
  disk('full'),
  disk('stall'),
  {
    name: 'core_cut',
    about: 'a control replica is cut off from the others, not from the routers',
    async run(s) {
      const id = leader(s);
      s.trouble.cut(
        [id],
        s.f.replicaIds.filter((x) => x !== id),
        5000,
      );
      await busy(s, 9000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'core_oneway',
    about: 'what a control replica sends to the others is lost; then what they send to it',
    async run(s) {
      const id = leader(s),
        rest = s.f.replicaIds.filter((x) => x !== id);
      s.trouble.cut([id], rest, 5000, true);
      await busy(s, 7000);
      const other = leader(s);
      s.trouble.cut(
        s.f.replicaIds.filter((x) => x !== other),
        [other],
        5000,
        true,
      );
      await busy(s, 9000);
    },
    meets: Met.kind('cut'),
  },
];
