import { Dice, type Clock, type Ident, type Notice } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { PeerCache } from './idcache.js';
import { NoticeCache } from './notecache.js';
import { Shelf } from './shelf.js';

let now = 0;
const clock: Clock = { mono: () => now, wall: () => 0, after: () => () => undefined };
const who = (id: string, born = 'b'): Ident => ({ id, born, addr: '10.0.0.1:1', site: 's', role: 'counter' });
const note = (name: string, v: number, age = 0): Notice => ({ name, date: [v, 0], age, from: 'x', hops: 0 });

describe('IdCache', () => {
  const make = (size: number) => PeerCache.make(clock, Dice.seeded(1), size, () => who('me'));
  it('takes the oldest pointer as partner, out of the view', () => {
    const c = make(5);
    c.merge(
      [
        { who: who('a'), age: 10 },
        { who: who('b'), age: 30 },
        { who: who('c'), age: 20 },
      ],
      [],
    );
    expect(c.takeOldest()?.id).to.equal('b');
    expect(
      c
        .all()
        .map((i) => i.id)
        .sort(),
    ).to.deep.equal(['a', 'c']);
  });
  it('drops pointers to itself and keeps one an id, the freshest', () => {
    const c = make(5);
    c.merge(
      [
        { who: who('me'), age: 0 },
        { who: who('a', 'old'), age: 9 },
        { who: who('a', 'new'), age: 1 },
      ],
      [],
    );
    expect(c.all().map((i) => i.born)).to.deep.equal(['new']);
  });
  it('lets what was received take the place of what was sent', () => {
    const c = make(2);
    c.merge(
      [
        { who: who('a'), age: 1 },
        { who: who('b'), age: 5 },
      ],
      [],
    );
    c.merge([{ who: who('c'), age: 3 }], [{ who: who('a'), age: 1 }]);
    expect(
      c
        .all()
        .map((i) => i.id)
        .sort(),
    ).to.deep.equal(['b', 'c']);
  });
  it('leads with itself, fresh', () => expect(make(3).requestSample(1)).to.deep.equal([{ who: who('me'), age: 0 }]));
});

describe('NoteCache', () => {
  it('keeps one a name, the newest date, and no more than its size', () => {
    const c = NoticeCache.make(clock, Dice.seeded(2), 3, 100);
    c.add([note('a', 2), note('a', 1), note('b', 1), note('c', 1), note('d', 1)]);
    c.evictExcess();
    expect(c.all().length).to.equal(3);
    expect(c.evicted()).to.equal(1);
  });
  it('lets age travel as elapsed time, and counts the hops', () => {
    const c = NoticeCache.make(clock, Dice.seeded(2), 3, 100);
    c.add([note('a', 1, 50)]);
    now += 25;
    expect(c.sampleToSend(3)[0]).to.include({ age: 75, hops: 1 });
  });
  it('keeps the young rather than the old', () => {
    let kept = 0;
    for (let s = 0; s < 200; s++) {
      const c = NoticeCache.make(clock, Dice.seeded(s), 1, 100);
      c.add([note('old', 1, 1000), note('new', 1, 100)]);
      c.evictExcess();
      if (c.all()[0]!.name === 'new') kept++;
    }
    expect(kept).to.be.greaterThan(190);
  });
});

describe('Shelf', () => {
  const marks: [string, [number, number], boolean][] = [
    ['a newer', [2, 1], true],
    ['the same', [2, 0], false],
    ['an older', [1, 9], false],
  ];
  for (const [name, mark, taken] of marks) {
    it(`${taken ? 'takes' : 'leaves'} ${name} version, swapping the table whole`, () => {
      const s = Shelf.make(() => true);
      s.offer({ name: 'charter', mark: [2, 0], body: 1 });
      const before = s.table(),
        sum = s.sum();
      expect(s.offer({ name: 'charter', mark, body: 2 })).to.equal(taken);
      expect(s.table() !== before).to.equal(taken);
      expect(s.sum() !== sum).to.equal(taken);
      expect(before.get('charter')?.body).to.equal(1);
    });
  }
});
