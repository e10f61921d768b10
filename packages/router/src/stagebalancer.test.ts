import { expect } from 'chai';
import { StageChanges } from './stagechanges.js';
import { StageSizing } from './stagesizing.js';
import { makeStageBalancerFixture } from './stagebalancerfixture.test.js';
import { server } from './fixtures.test.js';

describe('stage sizing', () => {
  const cases: [
    string,
    { read: number; run: number; room?: number },
    { prefill: number; decode: number },
    -1 | 0 | 1,
  ][] = [
    ['an idle service changes nothing', { read: 0, run: 0 }, { prefill: 2, decode: 4 }, 0],
    ['a long read queue takes a decode server', { read: 1500, run: 4 }, { prefill: 2, decode: 4 }, 1],
    ['many runs take a prefill server', { read: 50, run: 30 }, { prefill: 3, decode: 3 }, -1],
    ['two busy stages change nothing', { read: 1200, run: 30 }, { prefill: 3, decode: 3 }, 0],
    ['a passing burst of reads changes nothing', { read: 300, run: 6 }, { prefill: 3, decode: 3 }, 0],
    ['two prefill servers stay if one could not do their work', { read: 173, run: 20 }, { prefill: 2, decode: 3 }, 0],
    ['a burst of runs takes no prefill server that is half used', { read: 151, run: 14 }, { prefill: 3, decode: 3 }, 0],
    ['a full decode server takes a prefill server', { read: 250, run: 43, room: 45 }, { prefill: 3, decode: 1 }, -1],
    ['full decode servers leave a busy prefill server', { read: 250, run: 43, room: 45 }, { prefill: 2, decode: 2 }, 0],
    ['full decode servers take an idle prefill server', { read: 60, run: 40, room: 45 }, { prefill: 2, decode: 4 }, -1],
    ['the last prefill server stays', { read: 0, run: 60 }, { prefill: 1, decode: 3 }, 0],
    ['the last decode server stays', { read: 5000, run: 0 }, { prefill: 3, decode: 1 }, 0],
    ['an empty prefill stage is filled', { read: 0, run: 0 }, { prefill: 0, decode: 3 }, 1],
    ['an empty decode stage is filled', { read: 0, run: 0 }, { prefill: 3, decode: 0 }, -1],
    ['large service: a long read queue takes decode servers', { read: 700, run: 6 }, { prefill: 425, decode: 825 }, 1],
    ['large service: many runs take prefill servers', { read: 50, run: 200 }, { prefill: 425, decode: 825 }, -1],
    ['large service: two busy stages change nothing', { read: 2400, run: 200 }, { prefill: 425, decode: 825 }, 0],
    ['large service: half used prefill servers take nothing', { read: 130, run: 6 }, { prefill: 425, decode: 825 }, 0],
    ['large service: a read queue takes idle decode servers', { read: 300, run: 4 }, { prefill: 38, decode: 60 }, 1],
    ['an idle large service changes nothing', { read: 0, run: 0 }, { prefill: 38, decode: 60 }, 0],
    ['large service: full decode servers get more', { read: 60, run: 40, room: 45 }, { prefill: 60, decode: 38 }, -1],
    ['large service: several move where one changes little', { read: 600, run: 4 }, { prefill: 31, decode: 60 }, 1],
    ['large service: no move that overloads prefill servers', { read: 200, run: 23 }, { prefill: 31, decode: 60 }, 0],
    ['a single prefill server decodes, or nothing could run', { read: 0, run: 0 }, { prefill: 1, decode: 0 }, -1],
    ['a single decode server stays', { read: 9000, run: 90 }, { prefill: 0, decode: 1 }, 0],
  ];
  for (const [name, load, count, want] of cases)
    it(name, () => expect(StageSizing.direction(load, count)).to.equal(want));

  it('never oscillates, whatever the number of servers', () => {
    for (const total of [6, 23, 24, 60, 61, 200, 1250])
      for (const read of [400, 700, 1400, 2800])
        for (const run of [6, 20, 30, 40]) {
          let now = { prefill: Math.round(total / 3), decode: total - Math.round(total / 3) };
          const at = { ...now };
          const load = () => ({ read: (read * at.prefill) / now.prefill, run: (run * at.decode) / now.decode });
          const leans = new Set<number>();
          for (let i = 0; i < total; i++) {
            const by = StageSizing.serversToMove(load(), now);
            expect(Math.abs(by)).to.be.at.most(StageSizing.maxMoves(now));
            leans.add(Math.sign(by));
            now = { prefill: now.prefill + by, decode: now.decode - by };
          }
          expect([total, read, run, leans.has(1) && leans.has(-1)]).to.deep.equal([total, read, run, false]);
        }
  });
  it('moves at once what balances the stages of a large service, and nothing afterwards', () => {
    const now = { prefill: 38, decode: 60 };
    expect(StageSizing.serversToMove({ read: 1800, run: 4 }, now)).to.be.within(20, 24);
    const by = StageSizing.serversToMove({ read: 300, run: 4 }, now);
    expect(by).to.be.within(8, 24);
    const next = { prefill: 38 + by, decode: 60 - by };
    const then = {
      read: StageSizing.scaledQueue(300, 130, now.prefill / next.prefill),
      run: StageSizing.scaledQueue(4, 22, now.decode / next.decode),
    };
    expect(StageSizing.serversToMove(then, next)).to.equal(0);
    expect(StageSizing.serversToMove({ read: 300, run: 4 }, { prefill: 2, decode: 4 })).to.equal(0);
  });
  it('moves after several equal observations, and at once if a stage is empty', () => {
    const m = StageSizing.make();
    const looks = [1, 2, 3, 4, 5].map(() => m.decide({ read: 1500, run: 4 }, { prefill: 2, decode: 4 }));
    expect(looks).to.deep.equal([0, 0, 0, 0, 1]);
    expect(StageSizing.make().decide({ read: 0, run: 0 }, { prefill: 0, decode: 4 })).to.equal(1);
  });
});

describe('stage balancing', () => {
  const bare = [server('d1', 'decode'), server('d2', 'decode'), server('d3', 'decode', { zone: 'z2' })];

  it('orders nothing before the lease of the previous holder has passed', async () => {
    const d = makeStageBalancerFixture(bare);
    await d.pass(3000);
    expect(d.orders).to.deep.equal([]);
    await d.pass(1200);
    expect(d.orders).to.have.length(1);
  });
  it('waits for a full lease again if another daemon may have held a fence in between', async () => {
    for (const next of [6, 7, 40]) {
      const d = makeStageBalancerFixture(bare);
      await d.pass(3000);
      d.state.fence = next;
      await d.pass(3000);
      expect(d.orders).to.deep.equal([]);
      await d.pass(1200);
      expect(d.orders).to.deep.equal([`d1 prefill ${next} prefill draining`]);
    }
  });
  it('waits for the rest of its first lease under its own next fence', async () => {
    const d = makeStageBalancerFixture(bare);
    await d.pass(400);
    d.state.fence = 5;
    await d.pass(2800);
    expect(d.orders).to.deep.equal([]);
  });
  it('continues under the next fence if the previous one was its own, although it lapsed for a moment', async () => {
    const d = makeStageBalancerFixture(bare);
    await d.pass(1600);
    d.state.fence = null;
    await d.pass(400);
    d.state.fence = 4;
    await d.pass(400);
    d.state.fence = 5;
    await d.pass(800);
    expect(d.orders).to.deep.equal([]);
    await d.pass(1200);
    expect(d.orders).to.deep.equal(['d1 prefill 5 prefill draining']);
  });
  it('completes under the next fence a change begun under the previous one', async () => {
    const d = makeStageBalancerFixture(bare);
    await d.pass(4400);
    d.state.fence = 5;
    d.state.servers = [{ ...bare[0]!, stage: 'prefill' }, ...bare.slice(1)];
    await d.pass(800);
    expect(d.orders).to.have.length(1);
    expect(d.store.get('row:d1')?.body).to.include({ part: 'prefill', stage: 'serving' });
    expect(d.store.stamp('row:d1')?.[0]).to.equal(5);
  });
  it('repeats an order under the next fence, and begins no other change', async () => {
    const d = makeStageBalancerFixture(bare);
    d.state.reply = 'lost';
    await d.pass(4400);
    d.state.fence = 5;
    await d.pass(2800);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining', 'd1 prefill 5 prefill draining']);
  });
  it('orders no change without a fence', async () => {
    const d = makeStageBalancerFixture(bare);
    d.state.fence = null;
    await d.pass(20_000);
    expect(d.orders).to.deep.equal([]);
  });
  it('publishes the stage assignment before the order leaves, so that routers do not use the old stage', async () => {
    const d = makeStageBalancerFixture(bare);
    await d.pass(4400);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining']);
    expect(StageChanges.isChanging(d.store, bare[0]!)).to.equal(true);
    expect(StageChanges.isChanging(d.store, bare[1]!)).to.equal(false);
  });
  it('repeats an order whose effect is not seen, and ends the change once the list shows it', async () => {
    const d = makeStageBalancerFixture(bare);
    d.state.reply = 'lost';
    await d.pass(6800);
    expect(d.orders).to.have.length(2);
    const [first, ...rest] = bare;
    d.state.servers = [{ ...first!, stage: 'prefill' }, ...rest];
    await d.pass(6800);
    expect(d.orders).to.have.length(2);
    expect(StageChanges.isChanging(d.store, d.state.servers[0]!)).to.equal(false);
  });
  it('treats a demand as lasting once it has been seen for as long as the change would take', async () => {
    const d = makeStageBalancerFixture(
      ['p1', 'p2', 'd1', 'd2', 'd3'].map((id) => server(id, id < 'e' ? 'decode' : 'prefill')),
    );
    d.state.away = 1800;
    await d.pass(4400);
    const clump = { read: 80_000, beside: 0, run: 9 };
    d.state.load = clump;
    await d.pass(2000);
    d.state.load = { read: 0, beside: 0, run: 9 };
    await d.pass(6000);
    expect(d.orders).to.deep.equal([]);
    d.state.load = clump;
    await d.pass(6000);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining']);
  });
  it('accepts a short demand if a stage has one server, also one seen while the lease passes', async () => {
    const d = makeStageBalancerFixture([
      server('p1', 'prefill'),
      server('d1', 'decode'),
      server('d2', 'decode'),
      server('d3', 'decode'),
    ]);
    d.state.away = 1800;
    d.state.load = { read: 40_000, beside: 0, run: 9 };
    await d.pass(3200);
    expect(d.orders).to.deep.equal([]);
    await d.pass(800);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining']);
  });
  it('does not wait for the last change if a stage has one server and servers have left since', async () => {
    const readers = ['p1', 'p2'].map((id) => server(id, 'prefill'));
    const decoders = ['d1', 'd2', 'd3'].map((id) => server(id, 'decode'));
    const d = makeStageBalancerFixture([...readers, ...decoders]);
    d.state.load = { read: 80_000, beside: 0, run: 42 };
    await d.pass(4400);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining']);
    await d.pass(1200);
    expect(d.orders).to.have.length(1);
    d.state.servers = [...readers, ...decoders.slice(0, 2)];
    await d.pass(2800);
    expect(d.orders.filter((o) => !o.startsWith('d1 '))).to.deep.equal(['p1 decode 4 decode draining']);
  });
  it('counts reads at decode servers as queued if one server prefills, and not if several do', async () => {
    const decoders = ['d1', 'd2', 'd3'].map((id) => server(id, 'decode'));
    const load = { read: 15_000, beside: 15_000, run: 36 };
    const one = makeStageBalancerFixture([server('p1', 'prefill'), ...decoders]);
    one.state.load = load;
    await one.pass(9200);
    expect(one.orders[0]).to.equal('d1 prefill 4 prefill draining');
    const two = makeStageBalancerFixture([server('p1', 'prefill'), server('p2', 'prefill'), ...decoders]);
    two.state.load = { ...load, read: 30_000 };
    await two.pass(9200);
    expect(two.orders).to.deep.equal([]);
  });
  it('gives up on a server that never changes, and lets it be used by its listed stage', async () => {
    const d = makeStageBalancerFixture(bare);
    await d.pass(4400);
    d.state.fence = null;
    await d.pass(400);
    expect(StageChanges.isChanging(d.store, bare[0]!)).to.equal(true);
    d.state.fence = 6;
    d.state.servers = bare.map((s) => ({ ...s }));
    await d.pass(30_000);
    expect(d.orders.length).to.be.lessThan(16);
  });
});
