import { expect } from 'chai';
import { Budget } from './budget.js';
import { KeptParts } from './keptparts.js';
import { ListRows } from './listrows.js';
import { RouteTable } from './routetable.js';
import { ServerList } from './serverlist.js';
import { prompt, routing, server, testClock } from './stand.test.js';

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
    list.take([server('a', 'decode')], time.clock.mono() - 1500, 'shared');
    expect(list.good('a')?.id).to.equal('a');
    await time.pass(500);
    expect(list.good('a')).to.equal(null);
    expect(list.all()).to.deep.equal([]);
    list.confirm(time.clock.mono() - 100);
    expect(list.age()).to.equal(100);
  });
  it('rejects a list that is older than its own or from before a suspension', () => {
    const { time, list } = make();
    list.take([server('a', 'decode')], time.clock.mono(), 'shared');
    list.take([server('b', 'decode')], time.clock.mono() - 1, 'asked');
    expect(list.good('b')).to.equal(null);
    list.drop();
    expect(list.young()).to.equal(false);
    list.confirm(time.clock.mono() - 1);
    expect(list.young()).to.equal(false);
  });
  it('applies an unconfirmed list that shows a server draining, without becoming fresher', async () => {
    const { time, list } = make();
    list.take([server('a', 'decode')], time.clock.mono(), 'shared');
    await time.pass(900);
    list.glimpse([server('a', 'decode', { state: 'draining' })]);
    expect(list.good('a')).to.equal(null);
    expect(list.age()).to.equal(900);
  });
  it('does not replace a list that it requested itself by an unconfirmed one', () => {
    const { time, list } = make();
    list.take([server('a', 'decode', { state: 'draining' })], time.clock.mono(), 'asked');
    list.glimpse([server('a', 'decode')]);
    expect(list.good('a')).to.equal(null);
  });
  it('is unchanged by packing and unpacking', () => {
    const all = [
      server('b', 'prefill', { zone: 'z2', state: 'draining' }),
      server('a', null, { service: 'x' }),
      server('c', 'decode', { warm: 1000 }),
    ];
    const sorted = [...all].sort((x, y) => (x.id < y.id ? -1 : 1));
    expect(ListRows.open(ListRows.pack(all))).to.deep.equal(sorted);
  });
});

describe('the retry budget', () => {
  const terms = { ratio: 0.2, window: 10_000, slack: 54 };
  it('starts empty and grants at most its share of the slack plus a ratio of its requests in any window', async () => {
    const time = testClock();
    const b = Budget.make(
      time.clock,
      () => terms,
      () => 7,
    );
    expect(b.take()).to.equal(false);
    let taken = 0;
    for (let i = 0; i < 100; i++) {
      await time.pass(100);
      b.request();
      while (b.take()) taken++;
    }
    expect(taken).to.be.within(8, Math.floor(100 * 0.2 + 54 / 7));
  });
  it('charges later requests for sends made in advance of the budget', () => {
    const time = testClock();
    const b = Budget.make(
      time.clock,
      () => ({ ...terms, slack: 0 }),
      () => 1,
    );
    for (let i = 0; i < 10; i++) b.request();
    for (let i = 0; i < 3; i++) b.owe();
    for (let i = 0; i < 20; i++) b.request();
    expect(b.take()).to.equal(false);
    for (let i = 0; i < 10; i++) b.request();
    expect(b.take()).to.equal(true);
  });
  it('assumes a large fleet while the number of routers is unknown', async () => {
    const time = testClock();
    const b = Budget.make(
      time.clock,
      () => terms,
      () => null,
    );
    await time.pass(10_000);
    let taken = 0;
    while (b.take()) taken++;
    expect(taken).to.be.lessThan(2);
  });
});

describe('the prefix cache estimate', () => {
  it('counts a prompt part only if all parts before it are cached', () => {
    const kept = KeptParts.make(() => 100_000);
    kept.note('s', prompt(100, 5000));
    const other = { ...prompt(300, 5000) };
    other.parts = [...other.parts.slice(0, 2), { id: 'z', tokens: 300 }];
    expect(kept.held('s', other)).to.equal(5000);
    other.parts = [{ id: 'y', tokens: 1 }, ...other.parts];
    expect(kept.held('s', other)).to.equal(0);
    expect(kept.held('t', prompt(100, 5000))).to.equal(0);
  });
  it('keeps a bounded number of parts for each server, the most recently used', () => {
    const kept = KeptParts.make(() => 400_000);
    const small = (i: number) => ({ ...prompt(0, 1), parts: [{ id: `p${i}`, tokens: 1 }] });
    for (let i = 0; i < 4010; i++) kept.note('s', small(i));
    expect([9, 10, 4009].map((i) => kept.held('s', small(i)))).to.deep.equal([0, 1, 1]);
  });
  it('evicts the least recently used parts once the cache is full', () => {
    const kept = KeptParts.make(() => 6000);
    const one = prompt(3000, 2000);
    const two = { ...one, parts: one.parts.map((p) => ({ ...p, id: `${p.id}2` })) };
    kept.note('s', one);
    kept.note('s', two);
    expect(kept.held('s', one)).to.equal(0);
    expect(kept.held('s', two)).to.equal(5000);
  });
});
