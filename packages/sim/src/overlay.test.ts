import { expect } from 'chai';
import { Deployments } from './deployments.js';
import { Stage } from './stage.js';

describe('The overlay after the core was cut off from the edge', () => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    it(`is one again within 3 s (seed ${seed})`, async () => {
      let edges = 0,
        cores = 0;
      await Stage.run(
        Deployments.registry,
        seed,
        async (s) => {
          s.cut(s.f.coreIds, s.f.edgeIds, 9000);
          await s.nap(12_000);
          edges = [...s.f.counters.values()].filter((c) => c.purge.peers().some((p) => p.role === 'registry')).length;
          cores = [...s.f.cores.values()].filter((c) => c.purge.peers().some((p) => p.role === 'counter')).length;
        },
        0,
      );
      expect(edges).to.be.greaterThan(0);
      expect(cores).to.be.greaterThan(0);
    });
  }
});
