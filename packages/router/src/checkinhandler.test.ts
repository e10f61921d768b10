import { Random, Hash, RendezvousHash, type Ident } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { CheckinHandler } from './checkinhandler.js';
import { testIdent, testNetwork } from './testnetwork.test.js';
import { testClock } from './fixtures.test.js';
import { RouterMessages } from './routermessages.js';

const FEW = 6;

describe('router check-ins at the head', () => {
  const make = () => {
    const time = testClock(),
      network = testNetwork();
    const calls = { clock: 0 };
    const mono = (): number => {
      calls.clock++;
      return time.clock.mono();
    };
    CheckinHandler.make({
      ...{ clock: { ...time.clock, mono }, post: network.post(testIdent('k1', 'registry')), view: () => null },
      ...{ isActingHead: () => true, configurationVersion: () => 1, publishedList: () => null },
    });
    const load = { read: 1, beside: 0, run: 1 };
    const posts = new Map<string, ReturnType<typeof network.post>>();
    const checkin = async (id: string, heldDigest = '') => {
      const post = posts.get(id) ?? network.post(testIdent(id));
      posts.set(id, post);
      const body = { version: 1, list: null, epoch: 1, peers: heldDigest, load };
      const r = await post.ask(
        testIdent('k1', 'registry').addr,
        'k1',
        'keeper.checkin',
        body,
        RouterMessages.checkinReply,
        500,
      );
      if (r.err) throw new Error(r.val);
      const peers = r.val.peers?.map((p: Ident) => p.id);
      return { peers: peers ?? [], peersSent: peers !== undefined, routers: r.val.routers };
    };
    return { time, count: calls, checkin };
  };
  const routerIds = (from: number, to: number): string[] => Array.from({ length: to - from }, (_, i) => `r${from + i}`);
  const expectedPeers = (id: string, all: readonly string[]): string[] => {
    const others = all.filter((x) => x !== id);
    return (others.length <= 16 ? others : RendezvousHash.rank(id, others, (x) => x).slice(0, FEW)).sort();
  };
  it('neither rank nor expire all routers at each check-in once the routers are known', async () => {
    const { count, checkin } = make();
    const all = routerIds(0, 400);
    for (const id of [...all, ...all]) await checkin(id);
    const originalHash = Hash.uint32;
    let ranked = 0;
    Hash.uint32 = (s) => {
      ranked++;
      return originalHash(s);
    };
    count.clock = 0;
    for (const id of all) await checkin(id);
    Hash.uint32 = originalHash;
    expect([ranked, count.clock / all.length < 8]).to.deep.equal([0, true]);
  });
  it('return the same peers as a ranking of all live routers, whichever join and leave', async () => {
    const { time, checkin } = make();
    const random = Random.seeded(5);
    let live = routerIds(0, 14),
      next = 14;
    for (let round = 0; round < 40; round++) {
      for (const id of live) await checkin(id);
      for (const id of live) {
        const got = await checkin(id);
        expect([got.peers, got.routers]).to.deep.equal([expectedPeers(id, live), live.length]);
      }
      const gone = round % 3 === 0 ? Random.sample(random, live, Random.int(random, 4)) : [];
      live = live.filter((id) => !gone.includes(id));
      await time.advance(1100);
      for (const id of live) await checkin(id);
      await time.advance(1100);
      if (round % 2 === 0)
        live = [...live, ...routerIds(next, (next += 2)), ...(round % 5 === 0 ? gone.slice(0, 1) : [])];
    }
    expect(live.length).to.be.greaterThan(20);
  });
  it('rank a bounded number of routers at a time and leave a router its peers until all are ranked', async () => {
    const { time, checkin } = make();
    const all = routerIds(0, 900),
      none = Hash.ofValue([]);
    const originalHash = Hash.uint32;
    let ranked = 0;
    Hash.uint32 = (s) => {
      ranked++;
      return originalHash(s);
    };
    const rankedPerRound: number[] = [];
    const last = all.at(-1)!;
    let peersSent = true;
    for (let more = true; more;) {
      ranked = 0;
      for (const id of all) await checkin(id);
      rankedPerRound.push(ranked);
      more = ranked > 0;
      if (rankedPerRound.length === 1) {
        peersSent = (await checkin(last, 'those of another head')).peersSent;
        expect((await checkin(last, none)).peers).to.have.length(FEW);
      }
      await time.advance(450);
    }
    Hash.uint32 = originalHash;
    expect(peersSent).to.equal(false);
    // Limits: 250 per ms, bursts of 200,000, at least eight for each check-in, and the six peers kept.
    expect(Math.max(...rankedPerRound)).to.be.below(200_000 + all.length * 32);
    expect(rankedPerRound.length).to.be.within(3, 9);
    for (const id of all.slice(0, 50)) expect((await checkin(id)).peers).to.deep.equal(expectedPeers(id, all));
  });
});
