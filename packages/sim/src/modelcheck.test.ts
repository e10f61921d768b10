import { expect } from 'chai';
import { GuardRun } from './guardrun.js';
import { Guards } from './guards.js';
import { BootstrapCheck } from './modelcheck/bootstrapcheck.js';
import { BootstrapSearches } from './modelcheck/bootstrapsearches.js';
import { ModelCheck } from './modelcheck/modelcheck.js';
import { ModelSearches } from './modelcheck/modelsearches.js';

/** Guards of the core by the search that finds each once it is taken out. */
const FOUND: readonly [string, string][] = [
  ['taken', 'choice'],
  ['copies', 'copies'],
  ['reserve', 'losses'],
];

/** Guards of the first view, likewise. */
const FOUND_FIRST: readonly [string, string][] = [
  ['seeds', 'apart'],
  ['candidates', 'introduced'],
];

const holds = (found: ReturnType<typeof ModelCheck.run>): void => {
  expect(found.path, found.broken ?? '').to.deep.equal([]);
  expect(found.whole, `${found.states} states`).to.equal(true);
  expect(found.states).to.be.greaterThan(500);
};
const breaksWithout = async (guard: string, search: string): Promise<void> => {
  const g = Guards.find((x) => x.name === guard)!;
  const rows = await GuardRun.run({ ...g, drill: `model ${search}` }, 1);
  expect(rows[0]?.seeds).to.equal(1);
};

describe('The model of the first view', () => {
  for (const [name, reach] of Object.entries(BootstrapSearches))
    it(`holds in every state of the search ${name}`, () => holds(BootstrapCheck.run(reach)));
  for (const [guard, search] of FOUND_FIRST)
    it(`breaks without the guard ${guard}`, () => breaksWithout(guard, search));
  /**
   * Symptom: two first views, at 1 of 12 seeds of a run. Sequence: one half agreed on a view; introducers forgot whom
   * they had met; the other half met nobody but itself and agreed on another. Cause: introducers forgot after 2 s.
   */
  it('breaks where introducers forget candidates before the others have met them', () => {
    const { introduced } = BootstrapSearches;
    const found = BootstrapCheck.run({ ...introduced!, left: { ...introduced!.left, forget: 3 } });
    expect(found.broken).to.equal('two first views were chosen');
    const some = BootstrapCheck.run({ ...introduced!, left: { ...introduced!.left, forget: 2 } });
    expect(some.broken).to.equal(null);
  });
});

describe('The model of the agreement', () => {
  for (const [name, reach] of Object.entries(ModelSearches))
    it(`holds in every state of the search ${name}`, () => holds(ModelCheck.run(reach)));
  for (const [guard, search] of FOUND) it(`breaks without the guard ${guard}`, () => breaksWithout(guard, search));
});
