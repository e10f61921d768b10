import { expect } from 'chai';
import { Changing } from './changing.js';
import { StageMix } from './stagemix.js';
import { stageStand } from './stagestand.test.js';
import { server } from './stand.test.js';

describe('the mix of stages', () => {
  const cases: [
    string,
    { read: number; run: number; room?: number },
    { prefill: number; decode: number },
    -1 | 0 | 1,
  ][] = [
    ['an idle service stays', { read: 0, run: 0 }, { prefill: 2, decode: 4 }, 0],
    ['reading far behind takes a decoder', { read: 1500, run: 4 }, { prefill: 2, decode: 4 }, 1],
    ['many runs take a reader', { read: 50, run: 30 }, { prefill: 3, decode: 3 }, -1],
    ['both busy stay', { read: 1200, run: 30 }, { prefill: 3, decode: 3 }, 0],
    ['a passing clump of reads takes nothing', { read: 300, run: 6 }, { prefill: 3, decode: 3 }, 0],
    ['what waits at two readers would drown one', { read: 173, run: 20 }, { prefill: 2, decode: 3 }, 0],
    ['a clump of runs takes no reader that is half used', { read: 151, run: 14 }, { prefill: 3, decode: 3 }, 0],
    ['one full decoder takes one of three readers', { read: 250, run: 43, room: 45 }, { prefill: 3, decode: 1 }, -1],
    ['but not the second of two that are busy', { read: 250, run: 43, room: 45 }, { prefill: 2, decode: 2 }, 0],
    ['full decoders take a reader with little to do', { read: 60, run: 40, room: 45 }, { prefill: 2, decode: 4 }, -1],
    ['the last reader stays', { read: 0, run: 60 }, { prefill: 1, decode: 3 }, 0],
    ['the last decoder stays', { read: 5000, run: 0 }, { prefill: 3, decode: 1 }, 0],
    ['a stage without any is filled', { read: 0, run: 0 }, { prefill: 0, decode: 3 }, 1],
    ['and the other', { read: 0, run: 0 }, { prefill: 3, decode: 0 }, -1],
    [
      'among many servers too reading far behind takes a decoder',
      { read: 700, run: 6 },
      { prefill: 425, decode: 825 },
      1,
    ],
    ['and many runs take a reader', { read: 50, run: 200 }, { prefill: 425, decode: 825 }, -1],
    ['and both busy stay', { read: 2400, run: 200 }, { prefill: 425, decode: 825 }, 0],
    ['and readers that are half used take nothing', { read: 130, run: 6 }, { prefill: 425, decode: 825 }, 0],
    ['readers that are used by more take idle decoders', { read: 300, run: 4 }, { prefill: 38, decode: 60 }, 1],
    ['an idle large service stays', { read: 0, run: 0 }, { prefill: 38, decode: 60 }, 0],
    ['full decoders of many take readers', { read: 60, run: 40, room: 45 }, { prefill: 60, decode: 38 }, -1],
    ['of many, some are taken where one would change little', { read: 600, run: 4 }, { prefill: 31, decode: 60 }, 1],
    ['of many, none where some fewer readers would drown', { read: 200, run: 23 }, { prefill: 31, decode: 60 }, 0],
    ['a reader alone decodes, for nothing could run', { read: 0, run: 0 }, { prefill: 1, decode: 0 }, -1],
    ['one server alone stays', { read: 9000, run: 90 }, { prefill: 0, decode: 1 }, 0],
  ];
  for (const [name, load, count, want] of cases) it(name, () => expect(StageMix.lean(load, count)).to.equal(want));

  it('never leans back and forth, however many servers there are', () => {
    for (const total of [6, 23, 24, 60, 61, 200, 1250])
      for (const read of [400, 700, 1400, 2800])
        for (const run of [6, 20, 30, 40]) {
          let now = { prefill: Math.round(total / 3), decode: total - Math.round(total / 3) };
          const at = { ...now };
          const load = () => ({ read: (read * at.prefill) / now.prefill, run: (run * at.decode) / now.decode });
          const leans = new Set<number>();
          for (let i = 0; i < total; i++) {
            const by = StageMix.move(load(), now);
            expect(Math.abs(by)).to.be.at.most(StageMix.most(now));
            leans.add(Math.sign(by));
            now = { prefill: now.prefill + by, decode: now.decode - by };
          }
          expect([total, read, run, leans.has(1) && leans.has(-1)]).to.deep.equal([total, read, run, false]);
        }
  });
  it('of many moves at once what brings the mix into balance, and little more then', () => {
    const now = { prefill: 38, decode: 60 };
    expect(StageMix.move({ read: 1800, run: 4 }, now)).to.be.within(20, 24);
    const by = StageMix.move({ read: 300, run: 4 }, now);
    expect(by).to.be.within(8, 24);
    const next = { prefill: 38 + by, decode: 60 - by };
    const then = {
      read: StageMix.grown(300, 130, now.prefill / next.prefill),
      run: StageMix.grown(4, 22, now.decode / next.decode),
    };
    expect(StageMix.move(then, next)).to.equal(0);
    expect(StageMix.move({ read: 300, run: 4 }, { prefill: 2, decode: 4 })).to.equal(0);
  });
  it('leans several times before it moves, and at once where a stage is bare', () => {
    const m = StageMix.make();
    const looks = [1, 2, 3, 4, 5].map(() => m.look({ read: 1500, run: 4 }, { prefill: 2, decode: 4 }));
    expect(looks).to.deep.equal([0, 0, 0, 0, 1]);
    expect(StageMix.make().look({ read: 0, run: 0 }, { prefill: 0, decode: 4 })).to.equal(1);
  });
});

describe('the duty of stages', () => {
  const bare = [server('d1', 'decode'), server('d2', 'decode'), server('d3', 'decode', { zone: 'z2' })];

  it('orders nothing before the lease of the holder before has passed', async () => {
    const d = stageStand(bare);
    await d.pass(3000);
    expect(d.orders).to.deep.equal([]);
    await d.pass(1200);
    expect(d.orders).to.have.length(1);
  });
  it('waits out the lease anew where another may have held a fence in between', async () => {
    for (const next of [6, 7, 40]) {
      const d = stageStand(bare);
      await d.pass(3000);
      d.state.fence = next;
      await d.pass(3000);
      expect(d.orders).to.deep.equal([]);
      await d.pass(1200);
      expect(d.orders).to.deep.equal([`d1 prefill ${next} prefill draining`]);
    }
  });
  it('waits out what is left of its first lease under its own next fence, and no less', async () => {
    const d = stageStand(bare);
    await d.pass(400);
    d.state.fence = 5;
    await d.pass(2800);
    expect(d.orders).to.deep.equal([]);
  });
  it('goes on under the next fence where the one before was its own too, though it lapsed for a moment', async () => {
    const d = stageStand(bare);
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
  it('follows a change begun under one fence to its end under the next', async () => {
    const d = stageStand(bare);
    await d.pass(4400);
    d.state.fence = 5;
    d.state.servers = [{ ...bare[0]!, stage: 'prefill' }, ...bare.slice(1)];
    await d.pass(800);
    expect(d.orders).to.have.length(1);
    expect(d.shelf.get('row:d1')?.body).to.include({ part: 'prefill', stage: 'serving' });
    expect(d.shelf.mark('row:d1')?.[0]).to.equal(5);
  });
  it('asks for a change again under the next fence, and begins no other', async () => {
    const d = stageStand(bare);
    d.state.reply = 'lost';
    await d.pass(4400);
    d.state.fence = 5;
    await d.pass(2800);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining', 'd1 prefill 5 prefill draining']);
  });
  it('orders nothing without a fence', async () => {
    const d = stageStand(bare);
    d.state.fence = null;
    await d.pass(20_000);
    expect(d.orders).to.deep.equal([]);
  });
  it('writes the row before the order leaves, so that routers send nothing by the old stage', async () => {
    const d = stageStand(bare);
    await d.pass(4400);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining']);
    expect(Changing.of(d.shelf, bare[0]!)).to.equal(true);
    expect(Changing.of(d.shelf, bare[1]!)).to.equal(false);
  });
  it('asks again where no word is seen, and ends once the list shows it', async () => {
    const d = stageStand(bare);
    d.state.reply = 'lost';
    await d.pass(6800);
    expect(d.orders).to.have.length(2);
    const [first, ...rest] = bare;
    d.state.servers = [{ ...first!, stage: 'prefill' }, ...rest];
    await d.pass(6800);
    expect(d.orders).to.have.length(2);
    expect(Changing.of(d.shelf, d.state.servers[0]!)).to.equal(false);
  });
  it('takes a need for lasting once it has been seen for as long as the change would take', async () => {
    const d = stageStand(['p1', 'p2', 'd1', 'd2', 'd3'].map((id) => server(id, id < 'e' ? 'decode' : 'prefill')));
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
  it('takes a short need for enough where one server has all of a stage, seen while the lease passes too', async () => {
    const d = stageStand([
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
  it('does not wait for a change ordered for more servers than are left where one has all of a stage', async () => {
    const readers = ['p1', 'p2'].map((id) => server(id, 'prefill'));
    const decoders = ['d1', 'd2', 'd3'].map((id) => server(id, 'decode'));
    const d = stageStand([...readers, ...decoders]);
    d.state.load = { read: 80_000, beside: 0, run: 42 };
    await d.pass(4400);
    expect(d.orders).to.deep.equal(['d1 prefill 4 prefill draining']);
    await d.pass(1200);
    expect(d.orders).to.have.length(1);
    d.state.servers = [...readers, ...decoders.slice(0, 2)];
    await d.pass(2800);
    expect(d.orders.filter((o) => !o.startsWith('d1 '))).to.deep.equal(['p1 decode 4 decode draining']);
  });
  it('counts what is read beside runs as waiting where one server reads, and not where several do', async () => {
    const decoders = ['d1', 'd2', 'd3'].map((id) => server(id, 'decode'));
    const load = { read: 15_000, beside: 15_000, run: 36 };
    const one = stageStand([server('p1', 'prefill'), ...decoders]);
    one.state.load = load;
    await one.pass(9200);
    expect(one.orders[0]).to.equal('d1 prefill 4 prefill draining');
    const two = stageStand([server('p1', 'prefill'), server('p2', 'prefill'), ...decoders]);
    two.state.load = { ...load, read: 30_000 };
    await two.pass(9200);
    expect(two.orders).to.deep.equal([]);
  });
  it('gives up on a server that never changes, and lets it be used as the list shows it', async () => {
    const d = stageStand(bare);
    await d.pass(4400);
    d.state.fence = null;
    await d.pass(400);
    expect(Changing.of(d.shelf, bare[0]!)).to.equal(true);
    d.state.fence = 6;
    d.state.servers = bare.map((s) => ({ ...s }));
    await d.pass(30_000);
    expect(d.orders.length).to.be.lessThan(16);
  });
});
