import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import { Met } from '../met.js';

const replicas = (scene: Scene, n: number): string[] => scene.trouble.some(scene.fleet.replicaIds, n);
const losses = (scene: Scene): number => scene.fleet.losses;
const leader = (scene: Scene): string => scene.fleet.head() ?? scene.fleet.replicaIds[0]!;
/** While it lasts, servers leave and configurations change. */
const busy = async (scene: Scene, rest: number): Promise<void> => {
  const end = scene.trouble.release(0.3, 500);
  await scene.operators.change();
  await scene.operators.race();
  await end;
  await scene.fleet.nap(rest);
};
const disk = (how: 'slow' | 'full' | 'stall'): Drill => ({
  name: `disk_${how}`,
  about: `a control replica's disk is ${how}`,
  async run(scene) {
    for (const id of replicas(scene, losses(scene))) scene.trouble.disk(how, id, 5000);
    await busy(scene, 10_000);
  },
  meets: Met.kind(`disk ${how}`),
});

/** Trouble in the core. */
export const CoreDrills: readonly Drill[] = [
  {
    name: 'core_kill',
    about: 'control replicas are killed, and come back',
    async run(scene) {
      scene.trouble.kill(replicas(scene, losses(scene)), 2500);
      await busy(scene, 8000);
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'leader_kill',
    about: 'the head is killed, again and again',
    async run(scene) {
      for (let i = 0; i < 3; i++) {
        scene.trouble.kill([leader(scene)], 1500);
        await scene.operators.change();
        await scene.fleet.nap(5000);
      }
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'leader_freeze',
    about: 'the head stands still',
    async run(scene) {
      scene.trouble.freeze([leader(scene)], 5000);
      await busy(scene, 9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'leader_pause',
    about: "the head's machine is paused, its steady clock too",
    async run(scene) {
      scene.trouble.freeze([leader(scene)], 4000, true);
      await busy(scene, 9000);
    },
    meets: Met.kind('freeze'),
  },
  {
    name: 'core_term',
    about: 'control replicas get SIGTERM, one after the other',
    async run(scene) {
      const end = scene.trouble.term([...scene.fleet.replicaIds], 1, 4000);
      await scene.fleet.nap(300);
      await scene.operators.change();
      await end;
      await scene.fleet.nap(4000);
    },
    meets: Met.kind('term'),
  },
  {
    name: 'core_herd',
    about: 'every control replica is killed at once, and is back within a second',
    async run(scene) {
      scene.trouble.kill([...scene.fleet.replicaIds], 900);
      await scene.fleet.nap(1000);
      await busy(scene, 8000);
    },
    meets: Met.kind('kill'),
  },
  {
    name: 'replace_core',
    about: 'a control replica is gone for good, an empty one with another name comes',
    async run(scene) {
      for (let i = 0; i < 2; i++) {
        await scene.trouble.replace(i === 0 ? leader(scene) : scene.fleet.replicaIds[0]!, false);
        await scene.operators.change();
        await scene.fleet.nap(8000);
      }
    },
    meets: Met.kind('replace'),
  },
  {
    name: 'replace_planned',
    about: 'the new control replica comes first, then the old one gets SIGTERM',
    async run(scene) {
      await scene.trouble.replace(leader(scene), true);
      await scene.operators.change();
      await scene.fleet.nap(6000);
    },
    meets: Met.kind('replace'),
  },
  {
    name: 'seed_turnover',
    about: 'control replicas are replaced until no first seed is left, and then routers start with new seeds',
    async run(scene) {
      for (const id of [...scene.fleet.replicaIds]) {
        await scene.trouble.replace(id, true);
        scene.fleet.reseed();
        await scene.fleet.nap(5000);
      }
      scene.trouble.kill(scene.trouble.some(scene.fleet.routerIds, 2), 1000);
      await scene.operators.change();
      await scene.fleet.nap(7000);
    },
    meets: Met.kind('replace'),
  },
  {
    name: 'after_ack_wipe',
    about: 'the control replica that has just acknowledged loses its disk',
    async run(scene) {
      for (let i = 0; i < 2; i++) {
        await scene.operators.change();
        scene.trouble.wipe(scene.operators.acker() ?? leader(scene), 1500);
        await scene.fleet.nap(10_000);
      }
    },
    meets: Met.kind('wipe'),
  },
  {
    name: 'lots_wipe',
    about: 'as many control replicas as may be lost lose their disks just after an acknowledgement',
    async run(scene) {
      await scene.operators.change();
      for (const id of replicas(scene, losses(scene))) scene.trouble.wipe(id, 1500);
      await scene.fleet.nap(12_000);
      await scene.operators.change();
    },
    meets: Met.kind('wipe'),
  },
  disk('slow'),
  disk('full'),
  disk('stall'),
  {
    name: 'core_cut',
    about: 'a control replica is cut off from the others, not from the routers',
    async run(scene) {
      const id = leader(scene);
      scene.trouble.cut(
        [id],
        scene.fleet.replicaIds.filter((x) => x !== id),
        5000,
      );
      await busy(scene, 9000);
    },
    meets: Met.kind('cut'),
  },
  {
    name: 'core_oneway',
    about: 'what a control replica sends to the others is lost; then what they send to it',
    async run(scene) {
      const id = leader(scene),
        rest = scene.fleet.replicaIds.filter((x) => x !== id);
      scene.trouble.cut([id], rest, 5000, true);
      await busy(scene, 7000);
      const other = leader(scene);
      scene.trouble.cut(
        scene.fleet.replicaIds.filter((x) => x !== other),
        [other],
        5000,
        true,
      );
      await busy(scene, 9000);
    },
    meets: Met.kind('cut'),
  },
];
