import type { Doc, Ident } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { ConfigurationCatchUp } from './configurationcatchup.js';

const self: Ident = { id: 'e1', born: 'b', addr: '127.0.0.1:1', site: 's1', role: 'counter' };

describe('ConfigurationCatchUp', () => {
  for (const [title, suspensionsDuringRead, expected] of [
    ['confirms what the tail replied', 0, true],
    ['does not confirm a reply that was requested before the daemon was suspended', 1, false],
  ] as const)
    it(title, async () => {
      let suspensions = 0;
      const newest = ConfigurationCatchUp.make({
        world: { clock: { mono: () => 0 } },
        controlClient: {
          read: () => {
            suspensions += suspensionsDuringRead;
            return Promise.resolve({ ok: true, view: null, charter: null, plan: null });
          },
        },
        self: () => self,
        known: () => [self],
        slept: () => suspensions,
      } as unknown as Parameters<typeof ConfigurationCatchUp.make>[0]);
      expect(await newest.confirmNewest()).to.equal(expected);
    });

  const peer = (id: string): Ident => ({ ...self, id, addr: `${id}:1` });
  const configuration = (version: number): Doc => ({ name: 'charter', mark: [version, 0], body: {} });
  /** For a daemon that can not reach the tail: its age, the versions that its two peers reply, the one it adopts. */
  for (const [title, age, replies, expected] of [
    ['adopts the newest version of a majority', 2000, [6, 7], 7],
    ['does not adopt anything from a minority', 2000, [], null],
    ['does not trust a majority of the few peers known just after its start', 1999, [6, 6], null],
  ] as const)
    it(title, async () => {
      let stored: Doc | null = null;
      let now = 500;
      const newest = ConfigurationCatchUp.make({
        world: { clock: { mono: () => now } },
        controlClient: { read: () => Promise.resolve(null) },
        post: {
          ask: (addr: string) => {
            const version = replies[Number(addr[1])];
            return Promise.resolve(
              version === undefined ? { ok: false } : { ok: true, val: { doc: configuration(version) } },
            );
          },
        },
        purge: {
          learn: (doc: Doc) => {
            stored = doc;
          },
        },
        recordStore: { get: () => stored },
        self: () => self,
        known: () => [peer('p0'), peer('p1')],
        slept: () => 0,
      } as unknown as Parameters<typeof ConfigurationCatchUp.make>[0]);
      now += age;
      expect(await newest.confirmNewest()).to.equal(expected !== null);
      expect((stored as Doc | null)?.mark[0] ?? null).to.equal(expected);
    });
});
