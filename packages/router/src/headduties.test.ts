import { Err, Hash, Logs, Ok, VersionOrder, type Doc, type VersionStamp } from '@pumicebarrow/forms';
import { InMemoryRecordStore, type GossipNode } from '@pumicebarrow/purge';
import type { ControlClient, View } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { HeadCheckin } from './headcheckin.js';
import { CheckinHandler } from './checkinhandler.js';
import { ServerListPublisher } from './serverlistpublisher.js';
import { ServerListRows } from './serverlistrows.js';
import { testIdent, testNetwork } from './testnetwork.test.js';
import type { Server } from './server.js';
import { ServerList } from './serverlist.js';
import { SharedDocumentCheck } from './shareddocumentcheck.js';
import { server, testClock } from './fixtures.test.js';

describe('publishing of the server list', () => {
  const make = (firstStep = 0) => {
    const time = testClock();
    const recordStore = InMemoryRecordStore.make(SharedDocumentCheck.isValid);
    const state = { fence: 3 as number | null, list: [server('a', 'decode')] as Server[] | null, polls: 0 };
    const source = {
      poll: async () => {
        state.polls++;
        await Promise.resolve();
        return state.list ? Ok(state.list) : Err('rate');
      },
    };
    const purge = { publish: (d: Doc) => recordStore.offer(d) } as unknown as GossipNode;
    const publisher = ServerListPublisher.make({
      ...{ clock: time.clock, log: Logs.silent(), listSource: source, purge, store: recordStore },
      ...{ intervalMs: 1000, fence: () => state.fence, firstStep: () => firstStep },
    });
    return { time, recordStore, state, duty: publisher };
  };
  it('publishes a list once and does not publish an unchanged list again', async () => {
    const { time, recordStore, duty } = make();
    await duty.tick();
    expect(recordStore.stamp('list')).to.deep.equal([3, 0]);
    await time.advance(1000);
    await duty.tick();
    expect(recordStore.stamp('list')).to.deep.equal([3, 0]);
    expect(duty.current()).to.deep.equal({ mark: [3, 0], age: 0 });
  });
  it('publishes a change with a higher step, and publishes again under a new fencing token', async () => {
    const { time, recordStore, state, duty } = make();
    await duty.tick();
    state.list = [server('a', 'decode', { state: 'draining' })];
    await time.advance(1000);
    await duty.tick();
    expect(recordStore.stamp('list')).to.deep.equal([3, 1]);
    state.fence = 5;
    await time.advance(1000);
    await duty.tick();
    expect(recordStore.stamp('list')).to.deep.equal([5, 0]);
  });
  it('neither polls the platform nor reports a list without the fencing token', async () => {
    const { time, state, duty } = make();
    await duty.tick();
    state.fence = null;
    await time.advance(1000);
    await duty.tick();
    expect([state.polls, duty.current()]).to.deep.equal([1, null]);
  });
  it('does not publish a poll result that arrives after the fencing token was lost', async () => {
    const { recordStore, state, duty } = make();
    const asked = duty.tick();
    state.fence = null;
    await asked;
    expect(recordStore.stamp('list')).to.equal(null);
  });
  // Routers compare version stamps only: under a stamp of two lists they keep the old one and take it for fresh.
  it('does not use the stamp of an earlier run under the same fencing token for another list', async () => {
    const earlier = make(),
      later = make(1000);
    await earlier.duty.tick();
    later.state.list = [server('a', 'decode', { state: 'draining' })];
    await later.duty.tick();
    const stamps = [later, earlier].map((run) => run.recordStore.stamp('list'));
    expect(VersionOrder.isNewer(stamps[0], stamps[1])).to.equal(true);
  });
  it('publishes a list that is newer than one of an earlier run that gossip brought', async () => {
    const { time, recordStore, duty } = make();
    recordStore.offer({ name: 'list', mark: [3, 4], body: ServerListRows.pack([server('b', 'decode')]) });
    await duty.tick();
    await time.advance(1000);
    expect([recordStore.stamp('list'), duty.current()?.mark]).to.deep.equal([
      [3, 5],
      [3, 5],
    ]);
  });
  it('goes on publishing once it has the fencing token again that it had lost for a while', async () => {
    const { time, recordStore, state, duty } = make();
    await duty.tick();
    state.fence = null;
    await time.advance(1000);
    await duty.tick();
    state.fence = 3;
    state.list = [server('a', 'decode', { state: 'draining' })];
    await time.advance(1000);
    await duty.tick();
    expect([recordStore.stamp('list'), duty.current()]).to.deep.equal([[3, 1], { mark: [3, 1], age: 0 }]);
  });
  it('reports a growing list age while the platform rejects its polls', async () => {
    const { time, state, duty } = make();
    await duty.tick();
    state.list = null;
    await time.advance(1000);
    await duty.tick();
    expect(duty.current()?.age).to.equal(1000);
  });
});

describe("a router's check-in at the head", () => {
  const view: View = { epoch: 7, voters: [], chain: [{ id: 'k1', born: 'b-k1', addr: '10.0.1.1:2' }] };
  const make = () => {
    const time = testClock(),
      network = testNetwork();
    const state = {
      speaks: true,
      list: { mark: [7, 0] as VersionStamp, age: 200 } as { mark: VersionStamp; age: number } | null,
      version: 1,
      held: 1,
      tails: 0,
    };
    const head = network.post(testIdent('k1', 'registry'));
    const checkinHandler = CheckinHandler.make({
      ...{ clock: time.clock, post: head, view: () => view, isActingHead: () => state.speaks },
      ...{ configurationVersion: () => state.version, publishedList: () => state.list },
    });
    const router = (id: string) => {
      const post = network.post(testIdent(id));
      const recordStore = InMemoryRecordStore.make(SharedDocumentCheck.isValid);
      const list = ServerList.make(
        time.clock,
        () => 2000,
        () => undefined,
      );
      const purge = { learn: (d: Doc) => recordStore.offer(d) } as unknown as GossipNode;
      const line = {
        view: () => view,
        learn: () => undefined,
        look: () => Promise.resolve(),
      } as unknown as ControlClient;
      const headCheckin = HeadCheckin.make({
        ...{
          clock: time.clock,
          post,
          controlClient: line,
          store: recordStore,
          gossip: purge,
          list,
          version: () => state.held,
        },
        load: () => ({ read: 10, beside: 0, run: 2 }),
        readTail: () => {
          state.tails++;
          return Promise.resolve(true);
        },
      });
      return { recordStore, list, line: headCheckin };
    };
    const doc: Doc = { name: 'list', mark: [7, 0], body: ServerListRows.pack([server('a', 'decode')]) };
    return { time, network, state, desk: checkinHandler, router, doc };
  };
  it('takes the list age from the head, counted from before the check-in was sent', async () => {
    const { router, doc } = make();
    const r = router('r2');
    r.recordStore.offer(doc);
    await r.line.tick();
    expect(r.list.ageMs()).to.equal(200);
    expect(r.list.readyServer('a')?.id).to.equal('a');
  });
  it('does not refresh the list age from a replica that is not the acting head', async () => {
    const { router, doc, state } = make();
    const r = router('r2');
    r.recordStore.offer(doc);
    state.speaks = false;
    await r.line.tick();
    expect(r.list.isFresh()).to.equal(false);
    expect(r.line.msSinceReply()).to.equal(Infinity);
  });
  it('fetches a newer list from the head only after gossip had time to deliver it', async () => {
    const { time, network, router, doc } = make();
    const r = router('r2');
    network.post(testIdent('k9', 'registry'));
    await r.line.tick();
    expect(r.list.isFresh()).to.equal(false);
    expect(network.asked.some((a) => a.includes('purge.pull'))).to.equal(false);
    await time.advance(600);
    await r.line.tick();
    expect(network.asked.some((a) => a.includes('purge.pull'))).to.equal(true);
    r.recordStore.offer(doc);
    await r.line.tick();
    expect(r.list.isFresh()).to.equal(true);
  });
  it('reads a configuration from the tail if gossip has not delivered it in time', async () => {
    const { time, router, state, doc } = make();
    const r = router('r2');
    r.recordStore.offer(doc);
    state.version = 2;
    await r.line.tick();
    expect(state.tails).to.equal(0);
    await time.advance(600);
    await r.line.tick();
    expect(state.tails).to.equal(1);
  });
  it('does not read from the tail while gossip delivers each of many versions in time', async () => {
    const { time, router, state, doc } = make();
    const r = router('r2');
    r.recordStore.offer(doc);
    for (let i = 0; i < 6; i++) {
      state.version += 3;
      await r.line.tick();
      // Gossip delivers the version that was the newest then; by the next check-in there is a newer one.
      state.held = state.version;
      await time.advance(600);
    }
    expect(state.tails).to.equal(0);
    state.version += 3;
    await r.line.tick();
    state.version += 3;
    await time.advance(600);
    await r.line.tick();
    expect(state.tails).to.equal(1);
  });
  it('counts the routers and sends a router its peers again only after they changed', async () => {
    const { time, network, router, desk, doc } = make();
    const all = ['r2', 'r3', 'r4'].map(router);
    for (const r of all) r.recordStore.offer(doc);
    for (let i = 0; i < 2; i++) for (const r of all) await r.line.tick();
    expect(all.map((r) => r.line.routerCount())).to.deep.equal([3, 3, 3]);
    expect(all[0]!.line.peers().map((p) => p.id)).to.deep.equal(['r3', 'r4']);
    expect(desk.load()).to.deep.equal({ read: 30, beside: 0, run: 6 });
    network.down.add('10.0.1.1:2');
    await time.advance(2100);
    expect(desk.load()).to.deep.equal({ read: 0, beside: 0, run: 0 });
    expect(Hash.ofValue(all[0]!.line.peers())).to.be.a('string');
  });
});
