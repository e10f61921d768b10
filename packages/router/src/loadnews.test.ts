import { Shelf, type Purging } from '@pumicebarrow/purge';
import type { CoreLine, View } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { HeadLine } from './headline.js';
import { KeeperDesk } from './keeperdesk.js';
import { LoadNews } from './loadnews.js';
import { daemon, testTown } from './post.test.js';
import { ServerList } from './serverlist.js';
import { ServerLoads } from './serverloads.js';
import { SharedSound } from './sharedsound.js';
import { testClock } from './stand.test.js';

describe('news of loads', () => {
  const make = (routers: number) => {
    const time = testClock(),
      town = testTown();
    const ids = ['r1', 'r2', 'r3'].map((id) => daemon(id));
    const all = ids.map((who) => {
      const loads = ServerLoads.make();
      const news = LoadNews.make({
        ...{ clock: time.clock, post: town.post(who), loads, routers: () => routers },
        peers: () => ids.filter((p) => p.id !== who.id),
      });
      return { loads, news };
    });
    return { time, town, all };
  };
  it('is told when something changed, and counts for others', async () => {
    const { time, town, all } = make(3);
    const end = all[0]!.loads.read('p1', 5000);
    for (const a of all) a.news.tick();
    await time.pass(1);
    expect(all[1]!.loads.at('p1').tokens).to.equal(5000);
    const sent = town.asked.length;
    all[0]!.news.tick();
    expect(town.asked.length).to.equal(sent);
    end();
    await time.pass(40);
    all[0]!.news.tick();
    await time.pass(1);
    expect(all[1]!.loads.at('p1').tokens).to.equal(0);
  });
  it('of a large fleet, what was heard stands for more than itself', async () => {
    const { time, all } = make(19);
    all[0]!.loads.read('p1', 1000);
    all[1]!.loads.read('p1', 3000);
    for (const a of all) a.news.tick();
    await time.pass(1);
    // Two of the eighteen others were heard, with 4,000 between them: three times that, the root of nine.
    expect(all[2]!.loads.at('p1').tokens).to.equal(12_000);
  });
  it('is told less often the larger the fleet', async () => {
    const sent = [10, 100].map(async (routers) => {
      const { time, town, all } = make(routers);
      for (let ms = 0; ms < 4000; ms += 40) {
        all[0]!.loads.read('p1', ms + 100);
        all[0]!.news.tick();
        await time.pass(40);
      }
      return town.asked.length;
    });
    const [small, large] = await Promise.all(sent);
    expect(small).to.be.greaterThan(190);
    expect(large).to.be.lessThan(24);
  });
  it('counts no longer than it is kept', async () => {
    const { time, all } = make(3);
    all[0]!.loads.run('d1');
    all[0]!.news.tick();
    await time.pass(1600);
    all[1]!.news.tick();
    expect(all[1]!.loads.at('d1').runs).to.equal(0);
  });
  it('of a large fleet comes from the head, which adds up what all others have, and is told to no peer', async () => {
    const time = testClock(),
      town = testTown();
    const head = town.post(daemon('k1', 'registry'));
    const view: View = { epoch: 7, voters: [], chain: [{ id: 'k1', born: 'b-k1', addr: '10.0.1.1:2' }] };
    KeeperDesk.make({
      ...{ clock: time.clock, post: head, view: () => view, speaks: () => true, version: () => 1, list: () => null },
    });
    const all = Array.from({ length: 20 }, (_, i) => {
      const who = daemon(`r${i + 2}`);
      const post = town.post(who);
      const loads = ServerLoads.make();
      const news = LoadNews.make({
        ...{ clock: time.clock, post, loads, peers: () => [daemon('r9')], routers: () => 20, pace: () => 40 },
      });
      const line = HeadLine.make({
        ...{ clock: time.clock, post, shelf: Shelf.make(SharedSound.doc), version: () => 1, mine: loads.mine },
        line: { view: () => view, learn: () => undefined, look: () => Promise.resolve() } as unknown as CoreLine,
        purge: { learn: () => false } as unknown as Purging,
        list: ServerList.make(
          time.clock,
          () => 2000,
          () => undefined,
        ),
        load: () => loads.total(() => true),
        tail: () => Promise.resolve(true),
        others: (x) => news.summed(x),
      });
      return { loads, news, line };
    });
    const end = all[0]!.loads.read('p1', 5000);
    for (const a of all.slice(0, 10)) a.loads.run('d1');
    const round = async (): Promise<void> => {
      for (const a of all) await a.line.tick();
      await time.pass(100);
      for (const a of all) await a.line.tick();
    };
    await round();
    expect(all[0]!.loads.at('p1').tokens).to.equal(5000);
    expect(all[19]!.loads.at('p1').tokens).to.equal(5000);
    expect([0, 9, 19].map((i) => all[i]!.loads.at('d1').runs)).to.deep.equal([10, 10, 10]);
    // What the server has read since is taken off, of what others have there.
    await time.pass(50);
    expect([0, 19].map((i) => all[i]!.loads.at('p1').tokens)).to.deep.equal([5000, 3000]);
    for (const a of all) a.news.tick();
    expect(town.asked.some((x) => x.includes('router.loads'))).to.equal(false);
    end();
    await round();
    expect(all[19]!.loads.at('p1').tokens).to.equal(0);
    // Without the head, routers tell their peers again.
    await time.pass(1300);
    for (const a of all) a.news.tick();
    expect(town.asked.some((x) => x.includes('router.loads'))).to.equal(true);
  });
});
