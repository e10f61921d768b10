import type { Ident } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Newest } from './newest.js';

const self: Ident = { id: 'e1', born: 'b', addr: '127.0.0.1:1', site: 's1', role: 'counter' };

describe('The search for the newest charter', () => {
  for (const [about, naps, want] of [
    ['is sure on the word of the tail', 0, true],
    ['is not sure of a word that it asked for before it slept', 1, false],
  ] as const)
    it(about, async () => {
      let sleeps = 0;
      const newest = Newest.make({
        line: {
          read: () => {
            sleeps += naps;
            return Promise.resolve({ ok: true, view: null, charter: null, plan: null });
          },
        },
        self: () => self,
        known: () => [self],
        slept: () => sleeps,
      } as unknown as Parameters<typeof Newest.make>[0]);
      expect(await newest.sure()).to.equal(want);
    });
});
