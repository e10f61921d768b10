import { expect } from 'chai';
import { Deployments } from './deployments.js';
import { Guards } from './guards.js';
import { Nevers } from './nevers.js';
import { Sabotages } from './sabotages.js';
import { Stage } from './stage.js';

describe('The checker of the nevers', () => {
  for (const s of Sabotages) {
    it(`catches ${s.never}: ${s.about}`, async () => {
      let broken = 0;
      for (let seed = 1; seed <= 4 && broken === 0; seed++) {
        const run = await Stage.run(Deployments.coop, seed, s.run, 16_000, s.before);
        const got = Nevers.find((n) => n.name === s.never)!.judge(run.history);
        expect(got.checked).to.be.greaterThan(0);
        broken = got.broken.length;
      }
      expect(broken).to.be.greaterThan(0);
    });
  }
  it('has a broken run for every never', () => {
    const by = new Set([...Sabotages, ...Guards].map((s) => s.never));
    expect(Nevers.map((n) => n.name).filter((n) => !by.has(n))).to.deep.equal([]);
  });
});
