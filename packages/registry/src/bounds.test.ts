import type { Charter } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Apply } from './state/apply.js';

const charter = {} as Charter;
const plan = (i: number, base: number) => ({ ...{ do: 'plan' as const, id: `p${i}`, base, charter } });

describe('What the core holds is bounded:', () => {
  it('so many plans may be open, the next is refused as not done, and dropping one makes room', () => {
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
  it('the fates of the latest plans are kept, and the charter whatever its plan', () => {
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
  it('the plan in force, and those that are open, are never forgotten', () => {
    let state = Apply.one(Apply.one(Apply.empty, plan(0, 0)).state, { do: 'confirm', id: 'p0' }).state;
    state = Apply.one(state, plan(1, 1)).state;
    for (let i = 2; i < 400; i++)
      state = Apply.one(Apply.one(state, plan(i, 1)).state, { do: 'drop', id: `p${i}` }).state;
    expect(Apply.one(state, { do: 'confirm', id: 'p0' }).ruling.version).to.equal(1);
    expect(Apply.one(state, { do: 'confirm', id: 'p1' }).ruling.version).to.equal(2);
  });
  it('a plan that nobody made is not known, while none was forgotten', () => {
    expect(Apply.one(Apply.empty, { do: 'confirm', id: 'p' }).ruling.verdict.ran).to.equal('no');
  });
});
