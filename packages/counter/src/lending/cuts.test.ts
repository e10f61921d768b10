import { expect } from 'chai';
import { Cuts } from './cuts.js';

const rig = (begun: readonly string[] = []) => {
  const cuts = Cuts.make();
  let stops = 0;
  const one = cuts.enter('m1', 2, begun, () => void stops++);
  return { cuts, one, stops: () => stops };
};

describe('Borrowed streams that may be cut', () => {
  it('are cut at once where they have brought a piece', () => {
    const { cuts, one, stops } = rig();
    one.piece('a');
    expect([one.over(), stops()]).to.deep.equal([false, 0]);
    cuts.cut('m1');
    expect([one.over(), stops(), cuts.going('m1')]).to.deep.equal([true, 1, 2]);
    one.leave();
    expect(cuts.going('m1')).to.equal(0);
  });
  it('are cut with their first piece where they have brought none, whatever an earlier stream brought', () => {
    const { cuts, one, stops } = rig(['a', 'b']);
    cuts.cut('m1');
    expect([one.over(), stops(), cuts.going('m1')]).to.deep.equal([false, 0, 0]);
    one.piece('c');
    expect([one.over(), cuts.going('m1')]).to.deep.equal([true, 2]);
  });
  it('run on where their pieces are too long, or too many, to be kept', () => {
    for (const begun of [['x'.repeat(4096)], Array<string>(256).fill('x')]) {
      const { cuts, one, stops } = rig(begun);
      one.piece('y');
      cuts.cut('m1');
      expect([one.over(), stops()]).to.deep.equal([false, 0]);
    }
  });
  it('are cut at their own server alone, or at all of them', () => {
    const { cuts, one, stops } = rig();
    one.piece('a');
    cuts.cut('m2');
    expect([one.over(), stops()]).to.deep.equal([false, 0]);
    cuts.all();
    expect([one.over(), stops()]).to.deep.equal([true, 1]);
  });
});
