import { expect } from 'chai';
import { OverloadDrills } from './drills/overloaddrills.js';
import { ModelTenants } from './modeltenants.js';
import { Play } from './play.js';
import { Sizes } from './sizes.js';

/** Of what each tenant asked for in the last part of a run, and of what all did, the part that was served. */
const CROWD = 20_000;
const END = 24_000;
const ALL = 'all';
const served = (seen: Awaited<ReturnType<typeof Play.run>>['seen']): Map<string, number> => {
  const end = seen.at(-1)!.at - END;
  const whole = new Set(seen.flatMap((x) => (x.what === 'answered' && x.outcome === 'whole' ? [x.id] : [])));
  const rows = new Map<string, { all: Set<string>; whole: Set<string> }>();
  for (const x of seen) {
    if (x.what !== 'sent' || x.at < end - CROWD || x.at > end || !x.credentials.startsWith('usual')) continue;
    for (const name of [ModelTenants.of(x.credentials), ALL]) {
      const row = rows.get(name) ?? { all: new Set(), whole: new Set() };
      row.all.add(x.key);
      if (whole.has(x.id)) row.whole.add(x.key);
      rows.set(name, row);
    }
  }
  return new Map([...rows].map(([tenant, row]) => [tenant, row.whole.size / row.all.size]));
};

describe('a tenant that crowds the others', () => {
  const drill = OverloadDrills.find((d) => d.name === 'tenant_crowd')!;
  it('starves nobody: each is served at least a quarter as often as all', async () => {
    for (const seed of [1, 2, 3]) {
      const { faults, seen } = await Play.run(drill, Sizes.even, seed);
      expect(faults, `seed ${seed}`).to.deep.equal([]);
      const parts = served(seen);
      const all = parts.get(ALL)!;
      for (const tenant of ['t1', 't2', 't3'])
        expect(parts.get(tenant), `seed ${seed}, ${tenant}`).to.be.at.least(all / 4);
    }
  });
});
