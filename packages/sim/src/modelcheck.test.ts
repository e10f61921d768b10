import { expect } from 'chai';
import { GuardRun } from './guardrun.js';
import { Guards } from './guards.js';
import { ModelCheck } from './modelcheck/modelcheck.js';
import { ModelSearches } from './modelcheck/modelsearches.js';

/** Guards of the core by the search that finds each once it is taken out. */
const FOUND: readonly [string, string][] = [
  ['taken', 'choice'],
  ['copies', 'copies'],
  ['reserve', 'losses'],
];

describe('The model of the agreement', () => {
  for (const [name, reach] of Object.entries(ModelSearches))
    it(`holds in every state of the search ${name}`, () => {
      const found = ModelCheck.run(reach);
      expect(found.path, found.broken ?? '').to.deep.equal([]);
      expect(found.whole, `${found.states} states`).to.equal(true);
      expect(found.states).to.be.greaterThan(500);
    });
  for (const [guard, search] of FOUND)
    it(`breaks without the guard ${guard}`, async () => {
      const g = Guards.find((x) => x.name === guard)!;
      const rows = await GuardRun.run({ ...g, drill: `model ${search}` }, 1);
      expect(rows[0]?.seeds).to.equal(1);
    });
});
