import { Random } from '@pumicebarrow/forms';
import { Cores } from './drills/cores.js';
import { Drills } from './drills.js';
import type { Scene } from './scene.js';

const COOP = new Set(['clocks', 'diskstall', 'lone', 'alone']);
/** Faults that stop or cut off the core whole are not laid over another core fault: one core is lost at a time. */
const ALONE = new Set(['restart', 'blackout', 'cutoff', 'lone', 'alone', 'racekill', 'pause', 'doors', 'doubt']);
const FINAL = ['restart', 'blackout', 'herd', 'corekill', 'cutoff', 'crash', 'wipe'];

/** A whole day of mixed faults, two at a time now and then, which ends on one. */
export const Day = {
  /** The drills that the brief names for a deployment. */
  names: (fleet: string): string[] =>
    [...Drills.keys()].filter((n) => (fleet === 'coop' ? !COOP.has(n) : !['exchange', 'doors', 'storm'].includes(n))),
  script:
    (fleet: string, faults: number) =>
    (s: Scene): Promise<void> =>
      Day.run(s, fleet, faults),
  async run(s: Scene, fleet: string, faults: number): Promise<void> {
    const chance = Random.seeded(Math.floor(s.real() * 2 ** 31));
    const names = Day.names(fleet);
    for (let i = 0; i < faults; i++) {
      const name = Random.pick(chance, names)!;
      const core = Cores.some((c) => c.name === name);
      const other = Random.pick(
        chance,
        names.filter((n) => n !== name && Cores.some((c) => c.name === n) !== core && !ALONE.has(n)),
      )!;
      const both = chance.real() < 0.4 && !ALONE.has(name);
      s.note('fault', { name: both ? `${name}+${other}` : name });
      await Promise.all([name, ...(both ? [other] : [])].map((n) => Drills.get(n)!.run(s)));
      await s.nap(3000 + chance.real() * 4000);
    }
    const last = Random.pick(chance, FINAL)!;
    await Day.last(s, last);
  },
  /** A fault that must be met: the only one of a drill, or the one that a day ends on. */
  async last(s: Scene, name: string): Promise<void> {
    s.note('fault', { name, last: true });
    await Drills.get(name)!.run(s);
  },
};
