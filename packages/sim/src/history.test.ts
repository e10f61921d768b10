import { expect } from 'chai';
import { History } from './history.js';

const deed = (what: string, at: number, more: object = {}) => ({ what, who: 'e1', at, ...more });

describe('History', () => {
  it('ends the old life of a daemon that is killed and started in one instant, and begins a new one', () => {
    const h = History.make([deed('start', 0), deed('killed', 5), deed('start', 5), deed('killed', 9)]);
    expect(h.lives('e1')).to.deep.equal([
      { from: 0, to: 5 },
      { from: 5, to: 9 },
    ]);
    expect(h.stretches('e1').map((s) => [s.from, s.to])).to.deep.equal([
      [0, 5],
      [5, 9],
    ]);
  });
});
