import { Random, Err, Logs, type VersionStamp, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { ServerListFallback } from './serverlistfallback.js';
import { testIdent, testNetwork } from './testnetwork.test.js';
import { ServerList } from './serverlist.js';
import { server, testClock } from './fixtures.test.js';

const SERVERS = [server('a', 'decode'), server('b', 'prefill')];

describe('a server list fetched from other routers', () => {
  const make = () => {
    const time = testClock(),
      network = testNetwork();
    const replies: { rows: number; mark: VersionStamp | null }[] = [];
    const one = (id: string, mark: VersionStamp | null) => {
      const state = { mark };
      const list = ServerList.make(
        time.clock,
        () => 2000,
        () => undefined,
      );
      const post = network.post(testIdent(id));
      const world = { clock: time.clock, random: Random.seeded(1), log: Logs.silent } as unknown as World;
      const watch = ServerListFallback.make({
        ...{
          world,
          list,
          peers: () => [testIdent(id === 'r1' ? 'r2' : 'r1')],
          fallbackAgeMs: () => 1000,
          routerCount: () => 9000,
        },
        ...{
          mark: () => (list.isShared() ? state.mark : null),
          source: { poll: async () => Promise.resolve(Err('no')) },
        },
        post: {
          ...post,
          async ask(addr, to, kind, body, form, ms) {
            const r = await post.ask(addr, to, kind, body, form, ms);
            const got = r.ok ? (r.val as { servers: { rows: unknown[] } | null; mark: VersionStamp | null }) : null;
            if (got) replies.push({ rows: got.servers?.rows.length ?? 0, mark: got.mark });
            return r;
          },
        },
      });
      return { state, list, watch };
    };
    return { time, replies, one };
  };
  const both = async (mine: VersionStamp | null, theirs: VersionStamp | null) => {
    const { time, replies, one } = make();
    const [r1, r2] = [one('r1', mine), one('r2', theirs)];
    r1.list.replace(SERVERS, time.clock.mono(), 'shared');
    await time.advance(1200);
    r2.list.replace(SERVERS.slice(0, 1), time.clock.mono() - 300, 'shared');
    return { time, replies, r1, r2 };
  };
  it('is sent without rows if both routers hold the same one, and gets the age that the other reports', async () => {
    const { replies, r1 } = await both([7, 1], [7, 1]);
    await r1.watch.tick();
    expect(replies).to.deep.equal([{ rows: 0, mark: [7, 1] }]);
    expect([r1.list.ageMs(), r1.list.freshServers().length]).to.deep.equal([300, 2]);
  });
  for (const [name, mine, theirs] of [
    ['the other router holds a different one', [7, 1], [7, 2]],
    ['this router holds none', null, [7, 1]],
    ['the other router has no version stamp for it', [7, 1], null],
  ] as const)
    it(`is sent whole if ${name}`, async () => {
      const { replies, r1 } = await both(mine ? [...mine] : null, theirs ? [...theirs] : null);
      await r1.watch.tick();
      expect([replies[0]?.rows, r1.list.ageMs(), r1.list.freshServers().length]).to.deep.equal([1, 300, 1]);
    });
  it('is sent whole if ours came from the platform, although the record store holds a shared one', async () => {
    const { time, replies, r1, r2 } = await both([7, 1], [7, 1]);
    r1.list.replace(SERVERS, time.clock.mono() - 1100, 'asked');
    await r1.watch.tick();
    expect([replies[0]?.rows, r1.list.freshServers().length]).to.deep.equal([1, 1]);
    r2.list.replace(SERVERS, time.clock.mono(), 'asked');
    expect(r2.list.isShared()).to.equal(false);
  });
  it('gets no fresher by a reply about a list that was replaced meanwhile', async () => {
    const { r1 } = await both([7, 1], [7, 1]);
    const asked = r1.watch.tick();
    r1.state.mark = [7, 2];
    await asked;
    expect(r1.list.ageMs()).to.equal(1200);
  });
  it('is not taken from a router whose own list is too old', async () => {
    const { time, replies, r1 } = await both([7, 1], [7, 1]);
    await time.advance(1800);
    await r1.watch.tick();
    expect(replies).to.deep.equal([{ rows: 0, mark: null }]);
    expect(r1.list.isFresh()).to.equal(false);
  });
});
