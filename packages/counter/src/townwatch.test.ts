import { Err, Ok, type Ident, type PostBox, type Result, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { TownList } from './townlist.js';
import { TownWatch } from './townwatch.js';

const list: TownList = {
  servers: [
    { id: 'm1', addr: '10.0.0.9:1', site: 's', born: 'one', mark: 'serving' },
    { id: 'm2', addr: '10.0.0.9:2', site: 's', born: 'one', mark: 'draining' },
  ],
};
const peer: Ident = { id: 'e2', born: 'b', addr: '10.0.0.2:1', site: 's', role: 'counter' };
type Case = {
  poll: Result<TownList, string>;
  takes?: number;
  shared?: { list: TownList | null; age: number };
  later: number;
  good: boolean;
};
const cases: [string, Case][] = [
  ['a list just polled', { poll: Ok(list), later: 0, good: true }],
  ['a list 2.4 s old', { poll: Ok(list), later: 2400, good: true }],
  ['a list 2.5 s old', { poll: Ok(list), later: 2500, good: false }],
  ['a list that took 300 ms to come is that much older', { poll: Ok(list), takes: 300, later: 2250, good: false }],
  ["another daemon's younger list", { poll: Err('down'), shared: { list, age: 1000 }, later: 1000, good: true }],
  [
    "another daemon's list, its age counted on",
    { poll: Err('down'), shared: { list, age: 1000 }, later: 1500, good: false },
  ],
  ["another daemon's old list", { poll: Err('down'), shared: { list, age: 2500 }, later: 0, good: false }],
  ['no list from anyone', { poll: Err('down'), shared: { list: null, age: 0 }, later: 0, good: false }],
];

describe('TownWatch', () => {
  for (const [name, c] of cases) {
    it(`${c.good ? 'reads' : 'reads nothing'} off ${name}`, async () => {
      let now = 5000;
      const world = {
        clock: { mono: () => now, wall: () => 0, after: () => () => undefined },
        chance: { real: () => 0 },
      } as unknown as World;
      const post = { on: () => undefined, ask: () => Promise.resolve(Ok(c.shared)) } as unknown as PostBox;
      const w = TownWatch.make(
        world,
        post,
        {
          poll: () => {
            now += c.takes ?? 0;
            return Promise.resolve(c.poll);
          },
        },
        () => [peer],
      );
      w.start();
      for (let i = 0; i < 20; i++) await Promise.resolve();
      now += c.later;
      expect(w.good('m1', 'one') !== null).to.equal(c.good);
      expect(w.good('m1', 'two')).to.equal(null);
      expect(w.good('m2', 'one')).to.equal(null);
      expect(w.good('m9')).to.equal(null);
      expect(w.young()).to.equal(c.good);
      w.stop();
    });
  }
});
