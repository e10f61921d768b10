import { expect } from 'chai';
import { Deployments } from './deployments.js';
import { Drills } from './drills.js';
import { Nevers } from './nevers.js';
import { Stage } from './stage.js';

describe('A fleet of two neighbouring releases', () => {
  it('serves and changes its charter', async () => {
    const run = await Stage.run(
      Deployments.coop,
      9,
      (s) => Drills.get('single')!.run(s),
      14_000,
      (f) => f.net.newer(['c2', 'e1', 'e3', 'e5']),
    );
    expect(Nevers.flatMap((n) => n.judge(run.history).broken.map((b) => b.why))).to.deep.equal([]);
    expect(run.history.of('whole').length).to.be.greaterThan(100);
    expect(run.history.of('verdict').filter((d) => d['code'] === 'confirmed').length).to.be.greaterThan(4);
  });
});
