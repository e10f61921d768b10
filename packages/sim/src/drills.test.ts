import { Hash } from '@pumicebarrow/forms';
import { GossipDefaults } from '@pumicebarrow/purge';
import { expect } from 'chai';
import { Crew } from './crew.js';
import { Day } from './day.js';
import { DiskPoints } from './diskpoints.js';
import { Alone } from './drills/alone.js';
import { GuardRun } from './guardrun.js';
import { Guards } from './guards.js';
import type { Job } from './job.js';
import { LentWork } from './lending/lentwork.js';
import { Spread } from './spread.js';
import { Work } from './work.js';

const SEEDS = [101, 102, 103, 104];
const core = (drill: string): boolean => Alone.some((d) => d.name === drill);
/** Within so many seeds a missing guard is caught, on each deployment; runs of the core alone are quick. */
const most = (drill: string): number => (drill === 'explore' || core(drill) ? 16 : 2);
const jobs = (fleet: Job['fleet'], names: readonly string[], faults = 1, seeds: readonly number[] = SEEDS): Job[] =>
  names.flatMap((drill) => seeds.map((seed) => ({ fleet, drill, faults, seed })));
const clean = async (list: readonly Job[]) => {
  const got = await Crew.report(list, () => undefined);
  expect(got.report.broken(), got.report.lines().join('\n')).to.equal(false);
  expect(got.core).to.deep.equal([]);
  expect(got.unfinished).to.deep.equal([]);
  expect(got.unmet).to.deep.equal([]);
  return got;
};

describe('Every drill, in virtual time', () => {
  for (const fleet of ['coop', 'registry'] as const) {
    it(`breaks no never at the ${fleet}`, async () => {
      const { report } = await clean(jobs(fleet, Day.names(fleet)));
      for (const r of report.rows()) expect(r.checked, r.name).to.be.greaterThan(0);
    });
  }
  it('breaks no never over whole days', async () => {
    await clean([...jobs('coop', ['day'], 5), ...jobs('registry', ['day'], 5)]);
  });
  it('gives one history for one seed', async () => {
    const job: Job = { fleet: 'coop', drill: 'corekill', faults: 1, seed: 5 };
    const [a, b] = [await Work.run(job), await Work.run(job)];
    expect(Hash.ofValue(a.deeds)).to.equal(Hash.ofValue(b.deeds));
  });
});

describe('Lending, in virtual time', () => {
  for (const fleet of ['coop', 'registry'] as const) {
    it(`breaks no never and no promise of its own at the ${fleet}`, async () => {
      const { points } = await clean(jobs(fleet, LentWork.names, 1, [101, 102]));
      expect(points).to.be.greaterThan(LentWork.names.length * 2 * 100);
    });
  }
});

describe('The core alone', () => {
  it('holds under explored schedules', async () => {
    const seeds = Array.from({ length: 64 }, (_, i) => i + 1);
    expect((await clean(jobs('coop', ['explore'], 14, seeds))).points).to.be.greaterThan(64 * 10);
  });
  it('holds at the edge of each of its promises', async () => {
    await clean(
      jobs(
        'coop',
        Alone.map((d) => d.name),
        1,
        [1, 2, 3, 4],
      ),
    );
  });
  it('holds where a disk is stopped, fails or is full at any single operation', async () => {
    expect((await clean(jobs('coop', DiskPoints.names, 1, [1]))).points).to.be.greaterThan(500);
  });
});

describe('A fleet without one of its guards', () => {
  for (const g of Guards) {
    it(`breaks: ${g.name} (${g.about})`, async () => {
      for (const r of await GuardRun.run(g, most(g.drill))) expect(r.seeds, `${r.fleet} ${g.drill}`).not.to.equal(null);
    });
  }
});

describe("The source's spread over 128 daemons", () => {
  it('reaches all of them in about as many rounds', async () => {
    const r = await Spread.run({ seed: 3, nodes: 128, docs: 20, gap: 2, tunes: { ...GossipDefaults, round: 1000 } });
    const sorted = [...r.rounds].sort((a, b) => a - b);
    expect(r.rounds.length).to.equal(20);
    expect(sorted[10]).to.be.within(4, 9);
  });
  it('reaches all of them with a burst that the caches can not hold, by repair alone', async () => {
    const burst = (unlike: number) =>
      Spread.run({
        seed: 3,
        nodes: 64,
        docs: 20,
        gap: 1,
        burst: 20,
        tunes: { ...GossipDefaults, round: 1000, unlike },
      });
    expect((await burst(0)).rounds.length).to.be.lessThan(20);
    expect((await burst(3)).rounds.length).to.equal(20);
  });
});
