import { expect } from 'chai';
import { ServerHealth } from './serverhealth.js';
import { testClock } from './stand.test.js';

describe('the health of servers', () => {
  it('leaves one that failed alone, then tries it with one request, for longer each time', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    expect(h.bad('s')).to.equal(true);
    expect(h.bad('s')).to.equal(false);
    expect(h.open('s')).to.equal(false);
    await time.pass(700);
    expect(h.open('s')).to.equal(true);
    h.begin('s');
    expect(h.open('s')).to.equal(false);
    h.bad('s');
    await time.pass(1300);
    expect(h.open('s')).to.equal(false);
    await time.pass(100);
    expect(h.open('s')).to.equal(true);
    h.good('s');
    h.begin('s');
    expect(h.open('s')).to.equal(true);
  });
  it('leaves one that fails now and then alone for longer each time', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    const shutFor: number[] = [];
    for (let i = 0; i < 4; i++) {
      h.bad('s');
      let ms = 0;
      for (; !h.open('s'); ms += 100) await time.pass(100);
      shutFor.push(ms);
      h.begin('s');
      h.good('s');
    }
    expect(shutFor[3]).to.be.greaterThan(3 * shutFor[0]!);
  });
  it('leaves one that turns requests away alone for a moment, for longer while it goes on', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    const turnedFor = async (): Promise<number> => {
      expect(h.turned('s')).to.equal(true);
      expect(h.turned('s')).to.equal(false);
      let ms = 0;
      for (; !h.open('s'); ms += 50) await time.pass(50);
      return ms;
    };
    expect([await turnedFor(), await turnedFor(), await turnedFor(), await turnedFor()]).to.deep.equal([
      250, 500, 1000, 1000,
    ]);
    h.good('s');
    expect(await turnedFor()).to.equal(250);
    h.bad('s');
    expect(h.bad('s')).to.equal(false);
  });
  it("leaves one alone for half as long at another's word", async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    h.hint('s');
    expect(h.open('s')).to.equal(false);
    await time.pass(350);
    expect(h.open('s')).to.equal(true);
  });
  it('is not opened by what was sent before it failed', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    const sent = time.clock.mono();
    await time.pass(100);
    h.bad('s');
    h.good('s', sent);
    expect(h.open('s')).to.equal(false);
    await time.pass(700);
    expect(h.suspected()).to.deep.equal(['s']);
    h.begin('s');
    h.good('s', time.clock.mono());
    expect(h.suspected()).to.deep.equal([]);
  });
  it('gives a trial that showed nothing to another request, and never two at a time', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    h.bad('s');
    const late = h.begin('s');
    h.bad('s');
    await time.pass(1400);
    const over = h.begin('s');
    late();
    expect(h.open('s')).to.equal(false);
    over();
    expect(h.open('s')).to.equal(true);
  });
  it('leaves one alone for longer at the words of several, and no two daemons come back at once', async () => {
    const time = testClock();
    const shutFor = async (words: readonly string[], chance: number): Promise<number> => {
      const h = ServerHealth.make(time.clock);
      for (const by of words) h.hint('s', by, chance);
      let ms = 0;
      for (; !h.open('s'); ms += 50) await time.pass(50);
      return ms;
    };
    expect(await shutFor(['a'], 0)).to.equal(350);
    expect(await shutFor(['a'], 1)).to.equal(350);
    expect(await shutFor(['a', 'a', 'a', 'a'], 1)).to.equal(350);
    expect(await shutFor(['a', 'b'], 0)).to.equal(700);
    expect(await shutFor(['a', 'b'], 1)).to.equal(2800);
    expect(await shutFor(['a', 'b', 'c', 'd', 'e', 'f', 'g'], 1)).to.equal(5600);
    const h = ServerHealth.make(time.clock);
    h.hint('s', 'a');
    h.hint('s', 'b');
    await time.pass(20_000);
    h.hint('s', 'c');
    await time.pass(400);
    expect(h.open('s')).to.equal(true);
  });
  it('holds the handles of a server to be at fault only where several running could not be fetched', async () => {
    const time = testClock();
    const h = ServerHealth.make(time.clock);
    expect(h.lapse('s')).to.equal(false);
    h.fetched('s');
    expect(h.lapse('s')).to.equal(false);
    expect(h.lapse('s')).to.equal(true);
    expect(h.lapse('s')).to.equal(true);
    await time.pass(11_000);
    expect(h.lapse('s')).to.equal(false);
  });
});
