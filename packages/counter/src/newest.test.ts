import type { Doc, Ident } from '@pumicebarrow/forms';
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
        world: { clock: { mono: () => 0 } },
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

  const peer = (id: string): Ident => ({ ...self, id, addr: `${id}:1` });
  const charter = (version: number): Doc => ({ name: 'charter', mark: [version, 0], body: {} });
  /** What a daemon that can't reach the tail takes up, by its age, who of two it knows reply, and what it held. */
  for (const [about, age, replies, want] of [
    ['takes the newest of a majority', 2000, [6, 7], 7],
    ['does not take a minority for one', 2000, [], null],
    ['takes the few it has met just after its start for no majority', 1999, [6, 6], null],
  ] as const)
    it(about, async () => {
      let held: Doc | null = null;
      let now = 500;
      const newest = Newest.make({
        world: { clock: { mono: () => now } },
        line: { read: () => Promise.resolve(null) },
        post: {
          ask: (addr: string) => {
            const version = replies[Number(addr[1])];
            return Promise.resolve(
              version === undefined ? { ok: false } : { ok: true, val: { doc: charter(version) } },
            );
          },
        },
        purge: {
          learn: (doc: Doc) => {
            held = doc;
          },
        },
        shelf: { get: () => held },
        self: () => self,
        known: () => [peer('p0'), peer('p1')],
        slept: () => 0,
      } as unknown as Parameters<typeof Newest.make>[0]);
      now += age;
      expect(await newest.sure()).to.equal(want !== null);
      expect((held as Doc | null)?.mark[0] ?? null).to.equal(want);
    });
});
