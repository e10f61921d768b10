import { Random } from '@pumicebarrow/forms';
import { Bounds } from '../bounds.js';
import type { Drill } from '../drill.js';
import { Met } from '../met.js';
import type { Scene } from '../scene.js';
import type { Seen } from '../seen.js';

/** ms for which a control replica is cut off: longer than any lease, list or detector lasts. */
const LONG = 21_000;
/** Time in which a round of failure reports reaches all daemons. */
const REPORT_GAP_MS = 2500;
/** How long the head's process is away: less than it takes the others to remove it from the view. */
const QUICK_RESTART_MS = 200;
type Place = 'head' | 'middle' | 'tail';
const at = (scene: Scene, place: Place): string => {
  const chain = scene.fleet.chain();
  const i = place === 'head' ? 0 : place === 'tail' ? chain.length - 1 : Math.floor(chain.length / 2);
  return chain[i] ?? scene.fleet.replicaIds[0]!;
};
/** Changes, races and reads while time runs; the reads are asked of one control replica all the while. */
const press = async (scene: Scene, ms: number, id: string): Promise<void> => {
  const end = scene.fleet.motor.now() + ms;
  const reads = async (): Promise<void> => {
    for (; scene.fleet.motor.now() < end; await scene.fleet.nap(100)) void scene.operators.peek(id);
  };
  const changes = async (): Promise<void> => {
    for (let i = 0; scene.fleet.motor.now() < end; i++, await scene.fleet.nap(400))
      await (i % 3 === 2 ? scene.operators.crowd(3) : scene.operators.change());
  };
  await Promise.all([reads(), changes()]);
};
/** Failure reports of all servers, as routers send them. They evict older notices from the gossip caches. */
const reportServers = async (scene: Scene, rounds: number): Promise<void> => {
  for (let round = 1; round <= rounds; round++) {
    scene.trouble.note('reports', ['platform'], REPORT_GAP_MS);
    for (const server of scene.fleet.platform.up()) {
      const reporter = scene.fleet.replicas.get(Random.pick(scene.fleet.motor.chance, scene.fleet.replicaIds)!)!;
      const name = `sight:${server.id}`;
      const step = (reporter.recordStore.stamp(name)?.[0] ?? 0) + 1;
      reporter.purge.publish({ name, mark: [step, 0], body: { server: server.id, born: server.id, by: 'r1' } });
    }
    await scene.fleet.nap(REPORT_GAP_MS);
  }
};
const acked =
  (least: number) =>
  (seen: readonly Seen[]): boolean =>
    seen.filter((x) => x.what === 'ruled' && x.outcome === 'acked').length >= least;
const both =
  (...all: ((seen: readonly Seen[]) => boolean)[]) =>
  (seen: readonly Seen[]): boolean =>
    all.every((m) => m(seen));

const longCut = (place: Place, from: 'core' | 'all' | 'one_way'): Drill => ({
  name: `cut_${place}_${from}`,
  about: `the ${place} is cut off for ${LONG / 1000} s (${from}), and is asked for the configuration all the while`,
  async run(scene) {
    const id = at(scene, place);
    const core = scene.fleet.replicaIds.filter((x) => x !== id);
    scene.trouble.cut([id], from === 'all' ? [...core, ...scene.fleet.routerIds] : core, LONG, from === 'one_way');
    await press(scene, LONG, id);
    await scene.fleet.nap(6000);
  },
  meets: both(Met.kind('cut'), acked(6)),
});

/** The worst days of the control side, brought about one by one; answers to operators are lost in some. */
export const WorstDrills: readonly Drill[] = [
  longCut('head', 'core'),
  longCut('tail', 'core'),
  longCut('middle', 'all'),
  longCut('head', 'one_way'),
  {
    name: 'race_lost_answers',
    about: 'operators race on one number, most answers to them are lost, and repeats go to any control replica',
    async run(scene) {
      scene.operators.losing(0.7);
      for (let i = 0; i < 3; i++) {
        await scene.operators.crowd(4);
        await scene.fleet.nap(300);
      }
      scene.operators.losing(0);
    },
    meets: both(Met.ruled('lost', 4), acked(4)),
  },
  {
    name: 'many_changes',
    about: 'some hundred changes while control replicas are killed, frozen, stalled and wiped in turn',
    async run(scene) {
      const end = scene.fleet.motor.now() + 30_000;
      const change = async (): Promise<void> => {
        for (; scene.fleet.motor.now() < end; await scene.fleet.nap(100)) await scene.operators.change();
      };
      const harm = async (): Promise<void> => {
        scene.trouble.kill([at(scene, 'head')], 1000);
        await scene.fleet.nap(7000);
        scene.trouble.freeze([at(scene, 'middle')], 2000);
        await scene.fleet.nap(7000);
        scene.trouble.disk('stall', at(scene, 'tail'), 2500);
        await scene.fleet.nap(7500);
        scene.trouble.wipe(at(scene, 'head'), 1000);
        await scene.fleet.nap(8000);
      };
      await Promise.all([change(), harm()]);
    },
    meets: both(Met.kind('wipe'), acked(100)),
  },
  {
    name: 'overlap_wipe',
    about:
      'one replica is behind, another stops as it comes back, and the third loses its disk; all power goes after it',
    async run(scene) {
      const [head, middle, tail] = scene.fleet.chain() as [string, string, string];
      scene.trouble.kill([tail], 3000, true);
      await scene.fleet.nap(1500);
      await scene.operators.change();
      await scene.fleet.nap(1450);
      scene.trouble.kill([middle], 6000, true);
      await scene.fleet.nap(1150);
      scene.trouble.wipe(head, 3000);
      scene.trouble.kill(scene.fleet.routerIds, 3000, true);
      await scene.fleet.nap(14_000);
    },
    meets: both(Met.kind('wipe'), Met.kind('kill')),
  },
  {
    name: 'beyond_power',
    about: 'one control replica more than may be lost is without power for a while; changes and reads are asked on',
    async run(scene) {
      const dark = scene.fleet.chain().slice(0, scene.fleet.losses + 1);
      scene.trouble.kill(dark, 8000, true);
      const end = scene.fleet.motor.now() + 8000;
      for (; scene.fleet.motor.now() < end; await scene.fleet.nap(400)) void scene.operators.change();
      await scene.fleet.nap(12_000);
      await scene.operators.change();
    },
    meets: both(Met.kind('kill'), acked(1)),
  },
  // Guards against a restarted head that gives a new list the stamp of the old one, which routers then take for fresh.
  {
    name: 'head_back_soon',
    about: 'servers are reported as failed; then the head is killed and back at once, while a server begins to leave',
    async run(scene) {
      await reportServers(scene, 3);
      const leaving = scene.fleet.platform.up().find((x) => x.stage() === 'decode' && x.service === 'alpha')!;
      scene.fleet.platform.retire(leaving, false);
      await scene.fleet.nap(Bounds.lag);
      scene.trouble.kill([at(scene, 'head')], QUICK_RESTART_MS);
      await scene.fleet.nap(8000);
    },
    meets: both(Met.kind('kill'), Met.listed('draining')),
  },
];
