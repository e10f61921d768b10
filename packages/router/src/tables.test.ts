import { expect } from 'chai';
import { RetryBudget } from './retrybudget.js';
import { PrefixCacheEstimate } from './prefixcacheestimate.js';
import { ServerListRows } from './serverlistrows.js';
import { RouteTable } from './routetable.js';
import { ServerList } from './serverlist.js';
import { prompt, routing, server, testClock } from './fixtures.test.js';

describe('the route table', () => {
  const r = routing().routes[0]!;
  const table = RouteTable.make({
    ...routing(),
    routes: [r, { ...r, name: 'deep', prefix: '/p/q/' }, { ...r, name: 'other', host: 'g.example', prefix: '/' }],
  });
  const cases: [string, string, string | undefined][] = [
    ['h.example', '/p/x', 'r'],
    ['h.example', '/p/q/x', 'deep'],
    ['h.example', '/p/q', 'r'],
    ['h.example', '/p', undefined],
    ['h.example', '/', undefined],
    ['g.example', '/p/x?y=/p/q/', 'other'],
    ['k.example', '/p/x', undefined],
  ];
  for (const [host, path, want] of cases)
    it(`${host}${path} is ${want ?? 'nowhere'}`, () => expect(table.find(host, path)?.route.name).to.equal(want));

  it('splits by weight and never to a service of weight 0', () => {
    const split = ['a', 'b', 'c'].map((service, i) => ({ service, weight: [90, 10, 0][i]! }));
    const services = ['a', 'b', 'c'].map((name) => ({ ...routing().services[0]!, name }));
    const t = RouteTable.make({ ...routing({ split }), services });
    const found = t.find('h.example', '/p/x')!;
    const names = [0, 0.89, 0.9, 0.999].map((x) => t.pickService(found, x)?.name);
    expect(names).to.deep.equal(['a', 'a', 'b', 'b']);
  });
});

describe('the server list', () => {
  const make = () => {
    const time = testClock();
    const list = ServerList.make(
      time.clock,
      () => 2000,
      () => undefined,
    );
    return { time, list };
  };
  it('is used only while fresh, and its age counts from when it was requested', async () => {
    const { time, list } = make();
    list.replace([server('a', 'decode')], time.clock.mono() - 1500, 'shared');
    expect(list.readyServer('a')?.id).to.equal('a');
    await time.advance(500);
    expect(list.readyServer('a')).to.equal(null);
    expect(list.freshServers()).to.deep.equal([]);
    list.confirm(time.clock.mono() - 100);
    expect(list.ageMs()).to.equal(100);
  });
  it('rejects a list that is older than its own or from before a suspension', () => {
    const { time, list } = make();
    list.replace([server('a', 'decode')], time.clock.mono(), 'shared');
    list.replace([server('b', 'decode')], time.clock.mono() - 1, 'asked');
    expect(list.readyServer('b')).to.equal(null);
    list.invalidate();
    expect(list.isFresh()).to.equal(false);
    list.confirm(time.clock.mono() - 1);
    expect(list.isFresh()).to.equal(false);
  });
  it('applies an unconfirmed list that shows a server draining, without becoming fresher', async () => {
    const { time, list } = make();
    list.replace([server('a', 'decode')], time.clock.mono(), 'shared');
    await time.advance(900);
    list.applyUnconfirmed([server('a', 'decode', { state: 'draining' })]);
    expect(list.readyServer('a')).to.equal(null);
    expect(list.ageMs()).to.equal(900);
  });
  it('does not replace a list that it requested itself by an unconfirmed one', () => {
    const { time, list } = make();
    list.replace([server('a', 'decode', { state: 'draining' })], time.clock.mono(), 'asked');
    list.applyUnconfirmed([server('a', 'decode')]);
    expect(list.readyServer('a')).to.equal(null);
  });
  it('is unchanged by packing and unpacking', () => {
    const all = [
      server('b', 'prefill', { zone: 'z2', state: 'draining' }),
      server('a', null, { service: 'x' }),
      server('c', 'decode', { warm: 1000 }),
    ];
    const sorted = [...all].sort((x, y) => (x.id < y.id ? -1 : 1));
    expect(ServerListRows.unpack(ServerListRows.pack(all))).to.deep.equal(sorted);
  });
});

describe('the retry budget', () => {
  const terms = { ratio: 0.2, window: 10_000, slack: 54 };
  it('starts empty and grants at most its share of the slack plus a ratio of its requests in any window', async () => {
    const time = testClock();
    const b = RetryBudget.make(
      time.clock,
      () => terms,
      () => 7,
    );
    expect(b.tryTake()).to.equal(false);
    let taken = 0;
    for (let i = 0; i < 100; i++) {
      await time.advance(100);
      b.recordRequest();
      while (b.tryTake()) taken++;
    }
    expect(taken).to.be.within(8, Math.floor(100 * 0.2 + 54 / 7));
  });
  it('charges later requests for sends made in advance of the budget', () => {
    const time = testClock();
    const b = RetryBudget.make(
      time.clock,
      () => ({ ...terms, slack: 0 }),
      () => 1,
    );
    for (let i = 0; i < 10; i++) b.recordRequest();
    for (let i = 0; i < 3; i++) b.charge();
    for (let i = 0; i < 20; i++) b.recordRequest();
    expect(b.tryTake()).to.equal(false);
    for (let i = 0; i < 10; i++) b.recordRequest();
    expect(b.tryTake()).to.equal(true);
  });
  it('assumes a large fleet while the number of routers is unknown', async () => {
    const time = testClock();
    const b = RetryBudget.make(
      time.clock,
      () => terms,
      () => null,
    );
    await time.advance(10_000);
    let taken = 0;
    while (b.tryTake()) taken++;
    expect(taken).to.be.lessThan(2);
  });
});

describe('the prefix cache estimate', () => {
  it('counts a prompt part only if all parts before it are cached', () => {
    const kept = PrefixCacheEstimate.make(() => 100_000);
    kept.record('s', prompt(100, 5000));
    const other = { ...prompt(300, 5000) };
    other.parts = [...other.parts.slice(0, 2), { id: 'z', tokens: 300 }];
    expect(kept.cachedTokens('s', other)).to.equal(5000);
    other.parts = [{ id: 'y', tokens: 1 }, ...other.parts];
    expect(kept.cachedTokens('s', other)).to.equal(0);
    expect(kept.cachedTokens('t', prompt(100, 5000))).to.equal(0);
  });
  it('keeps a bounded number of parts for each server, the most recently used', () => {
    const kept = PrefixCacheEstimate.make(() => 400_000);
    const small = (i: number) => ({ ...prompt(0, 1), parts: [{ id: `p${i}`, tokens: 1 }] });
    for (let i = 0; i < 4010; i++) kept.record('s', small(i));
    expect([9, 10, 4009].map((i) => kept.cachedTokens('s', small(i)))).to.deep.equal([0, 1, 1]);
  });
  it('evicts the least recently used parts once the cache is full', () => {
    const kept = PrefixCacheEstimate.make(() => 6000);
    const one = prompt(3000, 2000);
    const two = { ...one, parts: one.parts.map((p) => ({ ...p, id: `${p.id}2` })) };
    kept.record('s', one);
    kept.record('s', two);
    expect(kept.cachedTokens('s', one)).to.equal(0);
    expect(kept.cachedTokens('s', two)).to.equal(5000);
  });
});
