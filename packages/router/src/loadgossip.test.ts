import { expect } from 'chai';
import { LoadGossip } from './loadgossip.js';
import { testIdent, testNetwork } from './testnetwork.test.js';
import { ServerLoads } from './serverloads.js';
import { testClock } from './fixtures.test.js';

describe('load gossip', () => {
  const make = (routers: number) => {
    const time = testClock(),
      network = testNetwork();
    const ids = ['r1', 'r2', 'r3'].map((id) => testIdent(id));
    const all = ids.map((who) => {
      const loads = ServerLoads.make();
      const news = LoadGossip.make({
        ...{ clock: time.clock, post: network.post(who), loads, routerCount: () => routers },
        peers: () => ids.filter((p) => p.id !== who.id),
      });
      return { loads, news };
    });
    return { time, network, all };
  };
  it('is sent when something changed, and counts at the receivers', async () => {
    const { time, network, all } = make(3);
    const end = all[0]!.loads.beginRead('p1', 5000);
    for (const a of all) a.news.tick();
    await time.advance(1);
    expect(all[1]!.loads.loadAt('p1').tokens).to.equal(5000);
    const sent = network.asked.length;
    all[0]!.news.tick();
    expect(network.asked.length).to.equal(sent);
    end();
    await time.advance(40);
    all[0]!.news.tick();
    await time.advance(1);
    expect(all[1]!.loads.loadAt('p1').tokens).to.equal(0);
  });
  it('extrapolates what was received to a large fleet', async () => {
    const { time, all } = make(19);
    all[0]!.loads.beginRead('p1', 1000);
    all[1]!.loads.beginRead('p1', 3000);
    for (const a of all) a.news.tick();
    await time.advance(1);
    // Two of the eighteen other routers were heard, with 4,000 tokens in all: scaled by three, the square root of nine.
    expect(all[2]!.loads.loadAt('p1').tokens).to.equal(12_000);
  });
  it('is sent less often the larger the fleet', async () => {
    const sent = [10, 100].map(async (routers) => {
      const { time, network, all } = make(routers);
      for (let ms = 0; ms < 4000; ms += 40) {
        all[0]!.loads.beginRead('p1', ms + 100);
        all[0]!.news.tick();
        await time.advance(40);
      }
      return network.asked.length;
    });
    const [small, large] = await Promise.all(sent);
    expect(small).to.be.greaterThan(190);
    expect(large).to.be.lessThan(12);
  });
  it('expires after its retention time', async () => {
    const { time, all } = make(3);
    all[0]!.loads.beginRun('d1');
    all[0]!.news.tick();
    await time.advance(1600);
    all[1]!.news.tick();
    expect(all[1]!.loads.loadAt('d1').runs).to.equal(0);
  });
});
