import { expect } from 'chai';
import { Day } from './day.js';
import { Drills } from './drills.js';
import { Mutants } from './mutants.js';
import { Play } from './play.js';
import { Sizes } from './sizes.js';

/** Seeds that once broke a rule, beside the first. */
const SEEDS: Record<string, readonly number[]> = {
  core_oneway: [1, 2],
  head_back_soon: [1, 2, 3, 4],
  roll_term_pauses: [1, 2, 3, 4],
};
/** Each has to catch what is broken on purpose; a drill that catches it by luck of the schedule is not sure enough. */
const BROKEN = [1, 2];

describe('A routed fleet, in virtual time', () => {
  for (const [name, drill] of Drills) {
    it(`breaks no rule: ${name}`, async () => {
      for (const seed of SEEDS[name] ?? [1])
        expect((await Play.run(drill, Sizes.small, seed)).faults).to.deep.equal([]);
    });
  }
  for (const name of ['core_oneway', 'wipe_after_ack', 'many_changes', 'beyond_power'])
    it(`breaks no rule with five control replicas: ${name}`, async () => {
      expect((await Play.run(Drills.get(name)!, Sizes.five, 2)).faults).to.deep.equal([]);
    });
  for (const name of ['steady', 'leader_kill', 'core_oneway', 'roll_term', 'wipe_after_ack', 'beyond_power'])
    it(`breaks no rule where control replicas share machines with routers: ${name}`, async () => {
      for (const seed of [1, 2])
        expect((await Play.run(Drills.get(name)!, Sizes.shared, seed)).faults).to.deep.equal([]);
    });
  for (const name of ['srv_grey', 'srv_hang', 'srv_flap'])
    it(`breaks no rule in a larger fleet: ${name}`, async () => {
      expect((await Play.run(Drills.get(name)!, Sizes.many, 1)).faults).to.deep.equal([]);
    });
  it('breaks no rule over a mixed day', async () => {
    expect((await Play.run(Day.of(1), Sizes.small, 1)).faults).to.deep.equal([]);
  });
  it('gives one history for one seed', async () => {
    const play = async () =>
      (await Play.run(Drills.get('steady')!, Sizes.small, 7)).seen.map((x) => `${x.at} ${x.what}`);
    expect(await play()).to.deep.equal(await play());
  });
});

describe('A part that is broken on purpose', () => {
  for (const m of Mutants) {
    it(`is caught by ${m.rule}: ${m.bent}`, async () => {
      for (const seed of BROKEN) {
        const got = await Play.run(Drills.get(m.drill)!, Sizes.small, seed, m.bent);
        const rule = got.rules.find((r) => r.name === m.rule);
        const found = (rule?.faults ?? []).filter((x) => x.includes(m.says));
        expect(found, `seed ${seed}`).not.to.deep.equal([]);
      }
    });
  }
});
