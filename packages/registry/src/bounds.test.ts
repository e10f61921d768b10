import type { FleetConfiguration } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CoreStateMachine } from './state/corestatemachine.js';

const configuration = {} as FleetConfiguration;
const plan = (i: number, base: number) => ({ ...{ do: 'plan' as const, id: `p${i}`, base, charter: configuration } });

describe('Limits on stored plans', () => {
  it('refuse a plan beyond the maximum of open plans until one is dropped', () => {
    let state = CoreStateMachine.emptyState;
    const codes = Array.from({ length: 33 }, (_, i) => {
      const done = CoreStateMachine.apply(state, plan(i, 0));
      state = done.state;
      return done.ruling.verdict.code;
    });
    expect(codes.filter((c) => c === 'planned').length).to.equal(32);
    expect(codes.at(-1)).to.equal('full');
    state = CoreStateMachine.apply(state, { do: 'drop', id: 'p0' }).state;
    expect(CoreStateMachine.apply(state, plan(99, 0)).ruling.verdict.code).to.equal('planned');
  });
  it('keep the outcomes of the latest plans, and the configuration in force', () => {
    let state = CoreStateMachine.emptyState;
    for (let i = 0; i < 500; i++) {
      state = CoreStateMachine.apply(state, plan(i, i)).state;
      state = CoreStateMachine.apply(state, { do: 'confirm', id: `p${i}` }).state;
    }
    expect(state.plans.length).to.equal(200);
    expect(state.charter?.version).to.equal(500);
    for (const what of ['confirm', 'drop'] as const)
      expect(CoreStateMachine.apply(state, { do: what, id: 'p0' }).ruling.verdict.ran, what).to.equal('maybe');
    expect(CoreStateMachine.apply(state, { do: 'confirm', id: 'p499' }).ruling.verdict.code).to.equal('confirmed');
  });
  it('never drop the plan in force or an open plan', () => {
    let state = CoreStateMachine.apply(CoreStateMachine.apply(CoreStateMachine.emptyState, plan(0, 0)).state, {
      do: 'confirm',
      id: 'p0',
    }).state;
    state = CoreStateMachine.apply(state, plan(1, 1)).state;
    for (let i = 2; i < 400; i++)
      state = CoreStateMachine.apply(CoreStateMachine.apply(state, plan(i, 1)).state, {
        do: 'drop',
        id: `p${i}`,
      }).state;
    expect(CoreStateMachine.apply(state, { do: 'confirm', id: 'p0' }).ruling.version).to.equal(1);
    expect(CoreStateMachine.apply(state, { do: 'confirm', id: 'p1' }).ruling.version).to.equal(2);
  });
  it('report an unknown plan as never run while no plan was dropped', () => {
    expect(CoreStateMachine.apply(CoreStateMachine.emptyState, { do: 'confirm', id: 'p' }).ruling.verdict.ran).to.equal(
      'no',
    );
  });
});
