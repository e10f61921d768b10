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
const at = (s: Scene, place: Place): string => {
  const chain = s.f.chain();
  const i = place === 'head' ? 0 : place === 'tail' ? chain.length - 1 : Math.floor(chain.length / 2);
  return chain[i] ?? s.f.replicaIds[0]!;
};
/** Changes, races and reads while time runs; the reads are asked of one control replica all the while. */
const press = async (s: Scene, ms: number, id: string): Promise<void> => {
  const end = s.f.motor.now() + ms;
  const reads = async (): Promise<void> => {
    for (; s.f.motor.now() < end; await s.f.nap(100)) void s.operators.peek(id);
  };
  const changes = async (): Promise<void> => {
    for (let i = 0; s.f.motor.now() < end; i++, await s.f.nap(400))
      await (i % 3 === 2 ? s.operators.crowd(3) : s.operators.change());
  };
  await Promise.all([reads(), changes()]);
};
/** Failure reports of all servers, as routers send them. They evict older notices from the gossip caches. */
const reportServers = async (s: Scene, rounds: number): Promise<void> => {
  for (let round = 1; round <= rounds; round++) {
    s.trouble.note('reports', ['platform'], REPORT_GAP_MS);
    for (const server of s.f.platform.up()) {
      const reporter = s.f.replicas.get(Random.pick(s.f.motor.chance, s.f.replicaIds)!)!;
      const name = `sight:${server.id}`;
      const step = (reporter.recordStore.stamp(name)?.[0] ?? 0) + 1;
      reporter.purge.publish({ name, mark: [step, 0], body: { server: server.id, born: server.id, by: 'r1' } });
    }
    await s.f.nap(REPORT_GAP_MS);
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
  async run(s) {
    const id = at(s, place);
    const core = s.f.replicaIds.filter((x) => x !== id);
    s.trouble.cut([id], from === 'all' ? [...core, ...s.f.routerIds] : core, LONG, from === 'one_way');
    await press(s, LONG, id);
    await s.f.nap(6000);
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
    async run(s) {
      s.operators.losing(0.7);
      for (let i = 0; i < 3; i++) {
        await s.operators.crowd(4);
        await s.f.nap(300);
      }
      s.operators.losing(0);
    },
    meets: both(Met.ruled('lost', 4), acked(4)),
  },
  {
    name: 'many_changes',
    about: 'some hundred changes while control replicas are killed, frozen, stalled and wiped in turn',
    async run(s) {
      const end = s.f.motor.now() + 30_000;
      const change = async (): Promise<void> => {
        for (; s.f.motor.now() < end; await s.f.nap(100)) await s.operators.change();
      };
      const harm = async (): Promise<void> => {
        s.trouble.kill([at(s, 'head')], 1000);
        await s.f.nap(7000);
        s.trouble.freeze([at(s, 'middle')], 2000);
        await s.f.nap(7000);
        s.trouble.disk('stall', at(s, 'tail'), 2500);
        await s.f.nap(7500);
        s.trouble.wipe(at(s, 'head'), 1000);
        await s.f.nap(8000);
      };
      await Promise.all([change(), harm()]);
    },
    meets: both(Met.kind('wipe'), acked(100)),
  },
  {
    name: 'overlap_wipe',
    about:
      'one replica is behind, another stops as it comes back, and the third loses its disk; all power goes after it',
    async run(s) {
      const [head, middle, tail] = s.f.chain() as [string, string, string];
      s.trouble.kill([tail], 3000, true);
      await s.f.nap(1500);
      await s.operators.change();
      await s.f.nap(1450);
      s.trouble.kill([middle], 6000, true);
      await s.f.nap(1150);
      s.trouble.wipe(head, 3000);
      s.trouble.kill(s.f.routerIds, 3000, true);
      await s.f.nap(14_000);
    },
    meets: both(Met.kind('wipe'), Met.kind('kill')),
  },
  {
    name: 'beyond_power',
    about: 'one control replica more than may be lost is without power for a while; changes and reads are asked on',
    async run(s) {
      const dark = s.f.chain().slice(0, s.f.losses + 1);
      s.trouble.kill(dark, 8000, true);
      const end = s.f.motor.now() + 8000;
      for (; s.f.motor.now() < end; await s.f.nap(400)) void s.operators.change();
      await s.f.nap(12_000);
      await s.operators.change();
    },
    meets: both(Met.kind('kill'), acked(1)),
  },
  // Guards against a restarted head that gives a new list the stamp of the old one, which routers then take for fresh.
  {
    name: 'head_back_soon',
    about: 'servers are reported as failed; then the head is killed and back at once, while a server begins to leave',
    async run(s) {
      await reportServers(s, 3);
      const leaving = s.f.platform.up().find((x) => x.stage() === 'decode' && x.service === 'alpha')!;
      s.f.platform.retire(leaving, false);
      await s.f.nap(Bounds.lag);
      s.trouble.kill([at(s, 'head')], QUICK_RESTART_MS);
      await s.f.nap(8000);
    },
    meets: both(Met.kind('kill'), Met.listed('draining')),
  },
];
