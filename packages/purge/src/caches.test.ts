import { Random, type Clock, type Ident, type Notice } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { PeerCache } from './peercache.js';
import { NoticeCache } from './noticecache.js';
import { InMemoryRecordStore } from './inmemoryrecordstore.js';

let now = 0;
const clock: Clock = { mono: () => now, wall: () => 0, after: () => () => undefined };
const ident = (id: string, incarnation = 'b'): Ident => ({
  id,
  born: incarnation,
  addr: '10.0.0.1:1',
  site: 's',
  role: 'counter',
});
const notice = (name: string, v: number, age = 0): Notice => ({ name, date: [v, 0], age, from: 'x', hops: 0 });

describe('PeerCache', () => {
  const make = (size: number) => PeerCache.make(clock, Random.seeded(1), size, () => ident('me'));
  it('takes the peer with the oldest descriptor as partner and removes it from the view', () => {
    const cache = make(5);
    cache.merge(
      [
        { who: ident('a'), age: 10 },
        { who: ident('b'), age: 30 },
        { who: ident('c'), age: 20 },
      ],
      [],
    );
    expect(cache.takeOldest()?.id).to.equal('b');
    expect(
      cache
        .all()
        .map((i) => i.id)
        .sort(),
    ).to.deep.equal(['a', 'c']);
  });
  it('ignores descriptors of itself and keeps the youngest one per id', () => {
    const cache = make(5);
    cache.merge(
      [
        { who: ident('me'), age: 0 },
        { who: ident('a', 'old'), age: 9 },
        { who: ident('a', 'new'), age: 1 },
      ],
      [],
    );
    expect(cache.all().map((i) => i.born)).to.deep.equal(['new']);
  });
  it('replaces descriptors that were sent with those received', () => {
    const cache = make(2);
    cache.merge(
      [
        { who: ident('a'), age: 1 },
        { who: ident('b'), age: 5 },
      ],
      [],
    );
    cache.merge([{ who: ident('c'), age: 3 }], [{ who: ident('a'), age: 1 }]);
    expect(
      cache
        .all()
        .map((i) => i.id)
        .sort(),
    ).to.deep.equal(['b', 'c']);
  });
  it('sends its own descriptor with age 0 in a request', () =>
    expect(make(3).requestSample(1)).to.deep.equal([{ who: ident('me'), age: 0 }]));
});

describe('NoticeCache', () => {
  it('keeps one notice per record, the newest, and no more than its size', () => {
    const cache = NoticeCache.make(clock, Random.seeded(2), 3, 100);
    cache.add([notice('a', 2), notice('a', 1), notice('b', 1), notice('c', 1), notice('d', 1)]);
    cache.evictExcess();
    expect(cache.all().length).to.equal(3);
    expect(cache.evicted()).to.equal(1);
  });
  it('adds the time in the cache to the age and counts hops', () => {
    const cache = NoticeCache.make(clock, Random.seeded(2), 3, 100);
    cache.add([notice('a', 1, 50)]);
    now += 25;
    expect(cache.sampleToSend(3)[0]).to.include({ age: 75, hops: 1 });
  });
  it('evicts old notices rather than young ones', () => {
    let youngKept = 0;
    for (let s = 0; s < 200; s++) {
      const cache = NoticeCache.make(clock, Random.seeded(s), 1, 100);
      cache.add([notice('old', 1, 1000), notice('new', 1, 100)]);
      cache.evictExcess();
      if (cache.all()[0]!.name === 'new') youngKept++;
    }
    expect(youngKept).to.be.greaterThan(190);
  });
});

describe('InMemoryRecordStore', () => {
  const marks: [string, [number, number], boolean][] = [
    ['a newer', [2, 1], true],
    ['the same', [2, 0], false],
    ['an older', [1, 9], false],
  ];
  for (const [name, mark, stored] of marks) {
    it(`${stored ? 'stores' : 'ignores'} ${name} version, and never modifies a map of records in place`, () => {
      const store = InMemoryRecordStore.make(() => true);
      store.offer({ name: 'charter', mark: [2, 0], body: 1 });
      const before = store.records(),
        sum = store.digest();
      expect(store.offer({ name: 'charter', mark, body: 2 })).to.equal(stored);
      expect(store.records() !== before).to.equal(stored);
      expect(store.digest() !== sum).to.equal(stored);
      expect(before.get('charter')?.body).to.equal(1);
    });
  }
});
