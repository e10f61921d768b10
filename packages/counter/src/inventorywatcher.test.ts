import { Err, Ok, type Ident, type Messenger, type Result, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { InventoryList } from './inventorylist.js';
import { InventoryWatcher } from './inventorywatcher.js';

const list: InventoryList = {
  servers: [
    { id: 'm1', addr: '10.0.0.9:1', site: 's', born: 'one', mark: 'serving' },
    { id: 'm2', addr: '10.0.0.9:2', site: 's', born: 'one', mark: 'draining' },
  ],
};
const peer: Ident = { id: 'e2', born: 'b', addr: '10.0.0.2:1', site: 's', role: 'counter' };
type Case = {
  poll: Result<InventoryList, string>;
  pollMs?: number;
  peerReply?: { list: InventoryList | null; age: number };
  readAfterMs: number;
  usable: boolean;
};
const cases: [string, Case][] = [
  ['a list just received', { poll: Ok(list), readAfterMs: 0, usable: true }],
  ['a list 2.4 s old', { poll: Ok(list), readAfterMs: 2400, usable: true }],
  ['a list 2.5 s old', { poll: Ok(list), readAfterMs: 2500, usable: false }],
  [
    'a list whose reply took 300 ms, which counts as age',
    { poll: Ok(list), pollMs: 300, readAfterMs: 2250, usable: false },
  ],
  ["a peer's more recent list", { poll: Err('down'), peerReply: { list, age: 1000 }, readAfterMs: 1000, usable: true }],
  [
    "a peer's list whose age has passed the limit since",
    { poll: Err('down'), peerReply: { list, age: 1000 }, readAfterMs: 1500, usable: false },
  ],
  [
    "a peer's list that is too old",
    { poll: Err('down'), peerReply: { list, age: 2500 }, readAfterMs: 0, usable: false },
  ],
  [
    'a list that neither the platform nor a peer has',
    { poll: Err('down'), peerReply: { list: null, age: 0 }, readAfterMs: 0, usable: false },
  ],
];

describe('InventoryWatcher', () => {
  for (const [name, c] of cases) {
    it(`${c.usable ? 'uses' : 'does not use'} ${name}`, async () => {
      let now = 5000;
      const world = {
        clock: { mono: () => now, wall: () => 0, after: () => () => undefined },
        random: { real: () => 0 },
      } as unknown as World;
      const post = { on: () => undefined, ask: () => Promise.resolve(Ok(c.peerReply)) } as unknown as Messenger;
      const watcher = InventoryWatcher.make(
        world,
        post,
        {
          poll: () => {
            now += c.pollMs ?? 0;
            return Promise.resolve(c.poll);
          },
        },
        () => [peer],
      );
      watcher.start();
      for (let i = 0; i < 20; i++) await Promise.resolve();
      now += c.readAfterMs;
      expect(watcher.findServing('m1', 'one') !== null).to.equal(c.usable);
      expect(watcher.findServing('m1', 'two')).to.equal(null);
      expect(watcher.findServing('m2', 'one')).to.equal(null);
      expect(watcher.findServing('m9')).to.equal(null);
      expect(watcher.isFresh()).to.equal(c.usable);
      watcher.stop();
    });
  }
});
