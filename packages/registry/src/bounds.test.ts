import type { Charter } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Apply } from './state/apply.js';

const configuration = {} as Charter;
const plan = (i: number, base: number) => ({ ...{ do: 'plan' as const, id: `p${i}`, base, charter: configuration } });

describe('Limits on stored plans', () => {
  it('refuse a plan beyond the maximum of open plans until one is dropped', () => {
    let state = Apply.empty;
    const codes = Array.from({ length: 33 }, (_, i) => {
      const done = Apply.one(state, plan(i, 0));
      state = done.state;
      return done.ruling.verdict.code;
    });
    expect(codes.filter((c) => c === 'planned').length).to.equal(32);
    expect(codes.at(-1)).to.equal('full');
    state = Apply.one(state, { do: 'drop', id: 'p0' }).state;
    expect(Apply.one(state, plan(99, 0)).ruling.verdict.code).to.equal('planned');
  });
  it('keep the outcomes of the latest plans, and the configuration in force', () => {
    let state = Apply.empty;
    for (let i = 0; i < 500; i++) {
      state = Apply.one(state, plan(i, i)).state;
      state = Apply.one(state, { do: 'confirm', id: `p${i}` }).state;
    }
    expect(state.plans.length).to.equal(200);
    expect(state.charter?.version).to.equal(500);
    for (const what of ['confirm', 'drop'] as const)
      expect(Apply.one(state, { do: what, id: 'p0' }).ruling.verdict.ran, what).to.equal('maybe');
    expect(Apply.one(state, { do: 'confirm', id: 'p499' }).ruling.verdict.code).to.equal('confirmed');
  });
  it('never drop the plan in force or an open plan', () => {
    let state = Apply.one(Apply.one(Apply.empty, plan(0, 0)).state, { do: 'confirm', id: 'p0' }).state;
    state = Apply.one(state, plan(1, 1)).state;
    for (let i = 2; i < 400; i++)
      state = Apply.one(Apply.one(state, plan(i, 1)).state, { do: 'drop', id: `p${i}` }).state;
    expect(Apply.one(state, { do: 'confirm', id: 'p0' }).ruling.version).to.equal(1);
    expect(Apply.one(state, { do: 'confirm', id: 'p1' }).ruling.version).to.equal(2);
  });
  it('report an unknown plan as never run while no plan was dropped', () => {
    expect(Apply.one(Apply.empty, { do: 'confirm', id: 'p' }).ruling.verdict.ran).to.equal('no');
  });
});
