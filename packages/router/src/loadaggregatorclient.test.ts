import { Random } from '@pumicebarrow/forms';
import { InMemoryRecordStore, type RecordStore } from '@pumicebarrow/purge';
import type { View } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { ServerListRows } from './serverlistrows.js';
import { LoadAggregatorClient } from './loadaggregatorclient.js';
import { LoadAggregator } from './loadaggregator.js';
import { OutcomeCounters } from './outcomecounters.js';
import { testIdent, testNetwork } from './testnetwork.test.js';
import { ServerLoads } from './serverloads.js';
import { SharedDocumentCheck } from './shareddocumentcheck.js';
import { server, testClock } from './fixtures.test.js';

const RECENT = 15;

describe('loads added up by a control replica', () => {
  const make = (routers: number, large = true) => {
    const time = testClock(),
      network = testNetwork();
    const members = ['k1', 'k2', 'k3'].map((id) => testIdent(id, 'registry'));
    const view: View = { epoch: 1, voters: members, chain: members.map(({ id, born, addr }) => ({ id, born, addr })) };
    const stores = new Map<string, RecordStore>();
    const storeOf = (id: string): RecordStore => {
      const made = stores.get(id) ?? InMemoryRecordStore.make(SharedDocumentCheck.isValid);
      stores.set(id, made);
      return made;
    };
    const aggregators = members.map((who) => LoadAggregator.make(time.clock, network.post(who), storeOf(who.id)));
    const all = Array.from({ length: routers }, (_, i) => {
      const post = network.post(testIdent(`r${i + 1}`));
      const loads = ServerLoads.make(time.clock.mono),
        counters = OutcomeCounters.make();
      const broker = LoadAggregatorClient.make({
        ...{ clock: time.clock, post, loads, view: () => view, isLargeFleet: () => large, counters },
        store: storeOf(`r${i + 1}`),
      });
      return { loads, broker, counters };
    });
    /** Puts a list of these servers into the record stores of some daemons. */
    const publishList = (step: number, servers: readonly string[], who: readonly string[]): void => {
      const body = ServerListRows.pack(servers.map((id) => server(id, 'prefill')));
      for (const id of who) storeOf(id).offer({ name: 'list', mark: [1, step], body });
    };
    return { time, town: network, members, tables: aggregators, all, list: publishList };
  };
  it('are known to the router that asks, plus what it began since it asked', async () => {
    const { time, all } = make(2);
    const [a, b] = [all[0]!, all[1]!];
    const end = a.loads.beginRead('p1', 5000);
    await time.advance(1);
    await b.broker.refresh(RECENT);
    expect(b.loads.loadAt('p1')).to.deep.equal({ runs: 0, reads: 1, tokens: 5000 });
    b.loads.beginRead('p1', 700);
    expect(b.loads.loadAt('p1')).to.deep.equal({ runs: 0, reads: 2, tokens: 5700 });
    end();
    await time.advance(20);
    await b.broker.refresh(RECENT);
    expect(b.loads.loadAt('p1')).to.deep.equal({ runs: 0, reads: 1, tokens: 700 });
  });
  it('are reported before the sums are asked for, in the same turn', async () => {
    const { all, tables } = make(1);
    all[0]!.loads.beginRun('d1');
    await all[0]!.broker.refresh(RECENT);
    expect(tables.map((t) => t.loadOf('d1').runs).sort()).to.deep.equal([0, 0, 1]);
    expect(all[0]!.loads.loadAt('d1').runs).to.equal(1);
  });
  it('are asked of one replica, and not again within the given age', async () => {
    const { time, town, all } = make(3);
    for (const r of all) await r.broker.refresh(RECENT);
    const asked = town.asked.filter((x) => x.includes('loads.ask'));
    expect(new Set(asked.map((x) => x.split(' ')[2])).size).to.equal(1);
    await all[0]!.broker.refresh(RECENT);
    expect(town.asked.filter((x) => x.includes('loads.ask')).length).to.equal(asked.length);
    await time.advance(RECENT + 1);
    await all[0]!.broker.refresh(RECENT);
    expect(town.asked.filter((x) => x.includes('loads.ask')).length).to.equal(asked.length + 1);
  });
  it('of a router that is gone are dropped, and those of a live one are not', async () => {
    const { time, all, tables } = make(2);
    all[0]!.loads.beginRun('d1');
    all[1]!.loads.beginRun('d2');
    await all[1]!.broker.refresh(RECENT);
    await all[0]!.broker.refresh(RECENT);
    all[1]!.broker.start();
    await time.advance(2600);
    for (const t of tables) t.expire();
    expect(tables.reduce((n, t) => n + t.loadOf('d1').runs, 0)).to.equal(0);
    expect(tables.reduce((n, t) => n + t.loadOf('d2').runs, 0)).to.equal(1);
    all[1]!.broker.stop();
  });
  it('are not asked for a while of a replica that does not reply, and gossiped loads count', async () => {
    const { time, town, members, all } = make(1);
    const { loads, broker, counters } = all[0]!;
    for (const m of members) town.down.add(m.addr);
    loads.setGossipSource(() => new Map([['p1', { runs: 0, reads: 1, tokens: 900 }]]));
    await broker.refresh(RECENT);
    await time.advance(100);
    await broker.refresh(RECENT);
    const queries = counters.families().find((f) => f.name === 'load_queries_total')!.samples;
    expect(queries).to.deep.equal([{ labels: { outcome: 'unsent' }, value: 1 }]);
    expect(broker.isActive()).to.equal(false);
    expect(loads.loadAt('p1').tokens).to.equal(900);
    for (const m of members) town.down.delete(m.addr);
    await time.advance(1000);
    await broker.refresh(RECENT);
    expect(broker.isActive()).to.equal(true);
  });
  it('refer to servers by place if both hold the same list, and by name otherwise', async () => {
    const { time, all, list } = make(2);
    const daemons = ['k1', 'k2', 'k3', 'r1'];
    const known = async (): Promise<number[]> => {
      await time.advance(50);
      await all[0]!.broker.refresh(RECENT);
      return ['p0', 'p1', 'p2'].map((id) => all[0]!.loads.loadAt(id).tokens);
    };
    all[1]!.loads.beginRead('p0', 300);
    all[1]!.loads.beginRead('p2', 800);
    list(1, ['p0', 'p1'], daemons);
    expect(await known()).to.deep.equal([300, 0, 800]);
    // The aggregator holds a newer list than the router that asks, with different places.
    list(2, ['p1', 'p2'], ['k1', 'k2', 'k3']);
    expect(await known()).to.deep.equal([300, 0, 800]);
    list(2, ['p1', 'p2'], ['r1']);
    expect(await known()).to.deep.equal([300, 0, 800]);
  });
  it('expire after a short while', async () => {
    const { time, all } = make(2);
    all[0]!.loads.beginRead('p1', 5000);
    await all[0]!.broker.refresh(RECENT);
    await all[1]!.broker.refresh(RECENT);
    await time.advance(500);
    expect(all[1]!.loads.loadAt('p1').tokens).to.equal(0);
  });
  it('are neither reported nor asked for in a small fleet', async () => {
    const { time, town, all } = make(2, false);
    all[0]!.loads.beginRead('p1', 5000);
    await time.advance(10);
    await all[0]!.broker.refresh(RECENT);
    expect(town.asked.filter((x) => x.includes('loads.'))).to.deep.equal([]);
  });
  it('equal the sum of what every router has under way, whatever begins and ends (200 seeds)', async () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = Random.seeded(seed);
      const { time, all } = make(4);
      const open: (() => void)[] = [];
      const expectedTokens = (server: string): number =>
        all.reduce((n, r) => n + (r.loads.ownLoads().get(server)?.tokens ?? 0), 0);
      for (let step = 0; step < 60; step++) {
        const r = all[Random.int(random, all.length)]!;
        const server = `p${Random.int(random, 5)}`;
        if (random.real() < 0.6) open.push(r.loads.beginRead(server, (1 + Random.int(random, 50)) * 100));
        else open.splice(Random.int(random, Math.max(1, open.length)), 1)[0]?.();
        if (random.real() < 0.3) await time.advance(Random.int(random, 200));
      }
      await time.advance(50);
      await all[0]!.broker.refresh(RECENT);
      for (let i = 0; i < 5; i++)
        expect(all[0]!.loads.loadAt(`p${i}`).tokens, `seed ${seed}`).to.equal(expectedTokens(`p${i}`));
    }
  });
});
