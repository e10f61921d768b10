import { expect } from 'chai';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RoutedPlant } from './routedplant.js';
import { Soak } from './soak.js';

const BOUND = 240_000;

describe('a fleet of real processes', () => {
  before(() => RoutedPlant.build());
  for (const seed of [1, 2])
    it(`keeps its promises under signals, restarts and changes that overlap: seed ${seed}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'soak-'));
      try {
        const got = await Soak.run({ seed, routers: 4, clients: 12, ms: 15_000, dir });
        expect(got.faults, JSON.stringify(got)).to.deep.equal([]);
        expect(got.changes).to.be.greaterThan(5);
        expect(Object.keys(got.events).length).to.be.greaterThan(3);
      } finally {
        await rm(dir, { recursive: true, force: true });
      }
    }).timeout(BOUND);
});
