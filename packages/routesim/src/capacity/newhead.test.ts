import { expect } from 'chai';
import { NewHead } from './newhead.js';

const SPAN = 8000;
const play = (routers: number, handle: (router: number) => number) => NewHead.play({ routers, handle, span: SPAN });

describe('A head that begins beside many routers', () => {
  it('is never late where its thread has time for all', () => {
    const seen = play(100, () => 0.5);
    expect(seen.late).to.equal(0);
    expect(seen.worst).to.be.below(10);
  });
  it('is late at first, and then not, where only the first word of each takes long', () => {
    const known = new Set<number>();
    const seen = play(400, (router) => {
      const first = !known.has(router);
      known.add(router);
      return first ? 4 : 0.05;
    });
    expect(seen.late).to.be.greaterThan(200);
    expect(seen.calm).to.be.within(1000, 4000);
  });
  it('never catches up where all of them take longer than they are apart', () => {
    const seen = play(1000, () => 1.5);
    expect(seen.calm).to.be.at.least(SPAN);
    expect(seen.worst).to.be.greaterThan(2000);
  });
});
