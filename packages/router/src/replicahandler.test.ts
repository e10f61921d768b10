import { Dice, Hash, Lot, type Ident } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { ReplicaHandler } from './replicahandler.js';
import { daemon, testTown } from './post.test.js';
import { testClock } from './stand.test.js';
import { Words } from './words.js';

const FEW = 6;

describe('router check-ins at the head', () => {
  const make = () => {
    const time = testClock(),
      network = testTown();
    const calls = { clock: 0 };
    const mono = (): number => {
      calls.clock++;
      return time.clock.mono();
    };
    ReplicaHandler.make({
      ...{ clock: { ...time.clock, mono }, post: network.post(daemon('k1', 'registry')), view: () => null },
      ...{ speaks: () => true, version: () => 1, list: () => null },
    });
    const load = { read: 1, beside: 0, run: 1 };
    const posts = new Map<string, ReturnType<typeof network.post>>();
    const checkin = async (id: string, heldDigest = '') => {
      const post = posts.get(id) ?? network.post(daemon(id));
      posts.set(id, post);
      const body = { version: 1, list: null, epoch: 1, peers: heldDigest, load };
      const r = await post.ask(daemon('k1', 'registry').addr, 'k1', 'keeper.checkin', body, Words.checked, 500);
      if (r.err) throw new Error(r.val);
      const peers = r.val.peers?.map((p: Ident) => p.id);
      return { peers: peers ?? [], peersSent: peers !== undefined, routers: r.val.routers };
    };
    return { time, count: calls, checkin };
  };
  const routerIds = (from: number, to: number): string[] => Array.from({ length: to - from }, (_, i) => `r${from + i}`);
  const expectedPeers = (id: string, all: readonly string[]): string[] => {
    const others = all.filter((x) => x !== id);
    return (others.length <= 16 ? others : Lot.rank(id, others, (x) => x).slice(0, FEW)).sort();
  };
  it('neither rank nor expire all routers at each check-in once the routers are known', async () => {
    const { count, checkin } = make();
    const all = routerIds(0, 400);
    for (const id of [...all, ...all]) await checkin(id);
    const originalHash = Hash.num;
    let ranked = 0;
    Hash.num = (s) => {
      ranked++;
      return originalHash(s);
    };
    count.clock = 0;
    for (const id of all) await checkin(id);
    Hash.num = originalHash;
    expect([ranked, count.clock / all.length < 8]).to.deep.equal([0, true]);
  });
  it('return the same peers as a ranking of all live routers, whichever join and leave', async () => {
    const { time, checkin } = make();
    const random = Dice.seeded(5);
    let live = routerIds(0, 14),
      next = 14;
    for (let round = 0; round < 40; round++) {
      for (const id of live) await checkin(id);
      for (const id of live) {
        const got = await checkin(id);
        expect([got.peers, got.routers]).to.deep.equal([expectedPeers(id, live), live.length]);
      }
      const gone = round % 3 === 0 ? Dice.some(random, live, Dice.int(random, 4)) : [];
      live = live.filter((id) => !gone.includes(id));
      await time.pass(1100);
      for (const id of live) await checkin(id);
      await time.pass(1100);
      if (round % 2 === 0)
        live = [...live, ...routerIds(next, (next += 2)), ...(round % 5 === 0 ? gone.slice(0, 1) : [])];
    }
    expect(live.length).to.be.greaterThan(20);
  });
  it('rank a bounded number of routers at a time and leave a router its peers until all are ranked', async () => {
    const { time, checkin } = make();
    const all = routerIds(0, 900),
      none = Hash.of([]);
    const originalHash = Hash.num;
    let ranked = 0;
    Hash.num = (s) => {
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
      await time.pass(450);
    }
    Hash.num = originalHash;
    expect(peersSent).to.equal(false);
    // Limits: 250 per ms, bursts of 200,000, at least eight for each check-in, and the six peers kept.
    expect(Math.max(...rankedPerRound)).to.be.below(200_000 + all.length * 32);
    expect(rankedPerRound.length).to.be.within(3, 9);
    for (const id of all.slice(0, 50)) expect((await checkin(id)).peers).to.deep.equal(expectedPeers(id, all));
  });
});
