import { expect } from 'chai';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RoutedPlant } from './routedplant.js';
import { Soak } from './soak.js';

const BOUND = 240_000;

describe('a fleet of real processes', () => {
  before(() => RoutedPlant.build());
  const cases: [string, number, boolean][] = [
    ['seed 1', 1, false],
    ['seed 2', 2, false],
    ['seed 1, control replicas in one process with routers', 1, true],
  ];
  for (const [name, seed, shared] of cases)
    it(`keeps its promises under signals, restarts and changes that overlap: ${name}`, async () => {
      const dir = await mkdtemp(join(tmpdir(), 'soak-'));
      try {
        const got = await Soak.run({ seed, routers: 4, clients: 12, ms: 15_000, dir, shared });
        expect(got.faults, JSON.stringify(got)).to.deep.equal([]);
        expect(got.changes).to.be.greaterThan(5);
        expect(Object.keys(got.events).length).to.be.greaterThan(3);
      } finally {
        await rm(dir, { recursive: true, force: true });
      }
    }).timeout(BOUND);
});
