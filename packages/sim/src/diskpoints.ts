import { Bench } from './bench.js';
import { CoreRun } from './corerun.js';
import type { Scripter } from './scripter.js';

const WAYS = ['stop', 'fail', 'full'] as const;
type Way = (typeof WAYS)[number];
type Job = 'confirm' | 'view' | 'damaged' | 'birth';
type Point = { job: Job; way: Way; all: boolean; at: number };

/** Brings about what the disk is at work on when it is stopped; `who` is the core that is watched. */
const JOBS: Record<Job, (s: Scripter, who: string) => Promise<void>> = {
  confirm: (s) => s.change(2),
  async view(s, who) {
    const other = Bench.ids.find((x) => x !== who)!;
    s.down(other, 3000);
    await s.nap(4500);
  },
  async damaged(s, who) {
    s.b.disks.get(who)!.tear('vote');
    void s.b.start(who);
    await s.nap(2500);
  },
  async birth(s, who) {
    s.b.disks.get(who)!.wipe();
    void s.b.start(who);
    await s.nap(2500);
  },
};

/**
 * A stop, an error or a full disk at each single disk operation of a confirm, a change of view, a start with a damaged
 * file and a birth; on one core, or on all at once where no disk is lost beside. An operation that is never reached
 * ends the list: `met` is false.
 */
export const DiskPoints = {
  async run(seed: number, p: Point): Promise<{ broken: readonly string[]; met: boolean }> {
    const who = Bench.ids[seed % Bench.ids.length]!;
    let met = false;
    const script = async (s: Scripter): Promise<void> => {
      const fresh = p.job === 'damaged' || p.job === 'birth';
      await s.healed();
      if (fresh) s.b.kill(who);
      for (const id of p.all ? Bench.ids : [who]) {
        const disk = s.b.disks.get(id)!;
        const spring = (): void => {
          met = true;
          if (p.way === 'stop') s.down(id, 400);
          if (p.way === 'fail') disk.fail(0);
          if (p.way === 'full') disk.fill(true);
          if (p.way !== 'stop')
            s.b.motor.at(s.now() + 1200, () => {
              disk.fail(null);
              disk.fill(false);
            });
        };
        disk.snare(p.at, spring);
      }
      await JOBS[p.job](s, who);
      for (const d of s.b.disks.values()) d.disarm();
      await s.nap(500);
      if (fresh) await s.b.start(who);
    };
    const { broken } = await CoreRun.run(seed, script);
    return { broken, met };
  },
  /** Every job, way and reach, as the name of a run. All cores are never made to lose their disks at once. */
  names: (Object.keys(JOBS) as Job[]).flatMap((job) =>
    WAYS.flatMap((way) =>
      (job === 'damaged' || job === 'birth' ? ['one'] : ['one', 'all']).map((reach) => `points ${job} ${way} ${reach}`),
    ),
  ),
  /** Every point of one job, until one is not reached. */
  async sweep(seed: number, job: Job, way: Way, all: boolean): Promise<{ points: number; broken: string[] }> {
    const out = { points: 0, broken: [] as string[] };
    for (let at = 1; at <= 200; at++) {
      const r = await DiskPoints.run(seed, { job, way, all, at });
      if (!r.met) break;
      out.points++;
      out.broken.push(...r.broken.map((b) => `${job} ${way} ${all ? 'all' : 'one'} at ${at}, seed ${seed}: ${b}`));
    }
    return out;
  },
};
