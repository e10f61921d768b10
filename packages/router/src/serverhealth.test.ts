import { expect } from 'chai';
import { ServerHealth } from './serverhealth.js';
import { testClock } from './fixtures.test.js';

describe('server health', () => {
  it('avoids a failed server, then tries it with one request, for longer after each failed trial', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    expect(h.recordFailure('s')).to.equal(true);
    expect(h.recordFailure('s')).to.equal(false);
    expect(h.isOpen('s')).to.equal(false);
    await time.advance(700);
    expect(h.isOpen('s')).to.equal(true);
    h.beginRequest('s');
    expect(h.isOpen('s')).to.equal(false);
    h.recordFailure('s');
    await time.advance(1300);
    expect(h.isOpen('s')).to.equal(false);
    await time.advance(100);
    expect(h.isOpen('s')).to.equal(true);
    h.recordSuccess('s');
    h.beginRequest('s');
    expect(h.isOpen('s')).to.equal(true);
  });
  it('avoids a server that fails intermittently for longer each time', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    const closedFor: number[] = [];
    for (let i = 0; i < 4; i++) {
      h.recordFailure('s');
      let ms = 0;
      for (; !h.isOpen('s'); ms += 100) await time.advance(100);
      closedFor.push(ms);
      h.beginRequest('s');
      h.recordSuccess('s');
    }
    expect(closedFor[3]).to.be.greaterThan(3 * closedFor[0]!);
  });
  it('avoids a server that rejects requests for a moment, longer while it goes on', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    const pausedFor = async (): Promise<number> => {
      expect(h.recordRejection('s')).to.equal(true);
      expect(h.recordRejection('s')).to.equal(false);
      let ms = 0;
      for (; !h.isOpen('s'); ms += 50) await time.advance(50);
      return ms;
    };
    expect([await pausedFor(), await pausedFor(), await pausedFor(), await pausedFor()]).to.deep.equal([
      250, 500, 1000, 1000,
    ]);
    h.recordSuccess('s');
    expect(await pausedFor()).to.equal(250);
    h.recordFailure('s');
    expect(h.recordFailure('s')).to.equal(false);
  });
  it("avoids a server for half as long on another router's report", async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    h.recordPeerReport('s');
    expect(h.isOpen('s')).to.equal(false);
    await time.advance(350);
    expect(h.isOpen('s')).to.equal(true);
  });
  it('is not restored by a request sent before the failure', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    const sent = time.clock.mono();
    await time.advance(100);
    h.recordFailure('s');
    h.recordSuccess('s', sent);
    expect(h.isOpen('s')).to.equal(false);
    await time.advance(700);
    expect(h.suspected()).to.deep.equal(['s']);
    h.beginRequest('s');
    h.recordSuccess('s', time.clock.mono());
    expect(h.suspected()).to.deep.equal([]);
  });
  it('passes a trial without a result to another request, and never runs two at a time', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    h.recordFailure('s');
    const late = h.beginRequest('s');
    h.recordFailure('s');
    await time.advance(1400);
    const over = h.beginRequest('s');
    late();
    expect(h.isOpen('s')).to.equal(false);
    over();
    expect(h.isOpen('s')).to.equal(true);
  });
  it('avoids a server for longer on reports of several routers, and spreads the return of the daemons', async () => {
    const time = testClock();
    const closedFor = async (words: readonly string[], random: number): Promise<number> => {
      const h = ServerHealth.make(time.clock);
      for (const by of words) h.recordPeerReport('s', by, random);
      let ms = 0;
      for (; !h.isOpen('s'); ms += 50) await time.advance(50);
      return ms;
    };
    expect(await closedFor(['a'], 0)).to.equal(350);
    expect(await closedFor(['a'], 1)).to.equal(350);
    expect(await closedFor(['a', 'a', 'a', 'a'], 1)).to.equal(350);
    expect(await closedFor(['a', 'b'], 0)).to.equal(700);
    expect(await closedFor(['a', 'b'], 1)).to.equal(2800);
    expect(await closedFor(['a', 'b', 'c', 'd', 'e', 'f', 'g'], 1)).to.equal(5600);
    const h = ServerHealth.make(time.clock);
    h.recordPeerReport('s', 'a');
    h.recordPeerReport('s', 'b');
    await time.advance(20_000);
    h.recordPeerReport('s', 'c');
    await time.advance(400);
    expect(h.isOpen('s')).to.equal(true);
  });
  it('blames the handles of a server only after several consecutive ones could not be fetched', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    expect(h.recordHandleLoss('s')).to.equal(false);
    h.recordHandleFetched('s');
    expect(h.recordHandleLoss('s')).to.equal(false);
    expect(h.recordHandleLoss('s')).to.equal(true);
    expect(h.recordHandleLoss('s')).to.equal(true);
    await time.advance(11_000);
    expect(h.recordHandleLoss('s')).to.equal(false);
  });
});
