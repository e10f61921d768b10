import { Err, Logs, Lot, Ok, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Ledger } from './ledger.js';
import { Witness } from './witness.js';

const clock = { mono: () => 0, wall: () => 0, after: () => () => undefined };
const who = (id: string): Ident => ({ id, born: 'b', addr: '10.0.0.1:1', site: 's', role: 'counter' });
const roster = ['e1', 'e2', 'e3', 'e4'].map(who);
const order = Lot.rank('key:k', roster, (r) => r.id).map((r) => r.id);
const request = (attempt: number) => ({ key: 'k', attempt, prefix: 'p', part: 'q' });
/** What happens to asks at the n-th owner in rank: unheard, or heard with the reply lost. */
type Fate = 'fine' | 'unsent' | 'lost' | 'heardlost';

const bench = () => {
  const ledgers = new Map(roster.map((r) => [r.id, Ledger.make(clock)]));
  const fates = new Map<string, Fate>();
  const post = (by: string): PostBox =>
    ({
      on: () => undefined,
      close: () => undefined,
      ask: (_addr: string, to: string, kind: string, body: unknown) => {
        const b = body as {
          key: string;
          attempt: number;
          digest: string;
          proven: boolean;
          to: 'sent' | 'closed' | 'ran';
        };
        const fate = fates.get(to) ?? 'fine',
          l = ledgers.get(to)!;
        if (fate === 'unsent' || fate === 'lost') return Promise.resolve(Err(fate));
        const re =
          kind === 'ledger.open'
            ? { say: l.open(b.key, b.attempt, b.digest, b.proven, by) }
            : { ok: l.step(b.key, b.attempt, b.digest, b.to, by) };
        return Promise.resolve(fate === 'heardlost' ? Err('lost') : Ok(re));
      },
    }) as unknown as PostBox;
  const world = { clock, log: Logs.quiet } as unknown as World;
  return {
    daemon: (by: string) => Witness.make(world, post(by), () => roster),
    fate: (rank: number, f: Fate) => fates.set(order[rank]!, f),
    forget: (rank: number) => ledgers.set(order[rank]!, Ledger.make(clock)),
  };
};

describe('Witness', () => {
  it('pins two owners and marks both', async () => {
    const b = bench(),
      w = b.daemon('x');
    const o = await w.open(request(1));
    expect(o.owners.map((i) => i.id)).to.deep.equal(order.slice(0, 2));
    expect(await w.sent(request(1), o.owners, o.digest)).to.equal(true);
    expect((await b.daemon('y').open(request(2))).bad?.ran).to.equal('maybe');
  });
  it('takes the next owner where nothing was sent to the first', async () => {
    const b = bench();
    b.fate(0, 'unsent');
    expect((await b.daemon('x').open(request(1))).owners.map((i) => i.id)).to.deep.equal(order.slice(1, 3));
  });
  it('gives the try up where an owner may have recorded it unknown to us', async () => {
    const b = bench();
    b.fate(1, 'heardlost');
    const o = await b.daemon('x').open(request(1));
    expect([o.bad?.ran, o.bad?.code, o.owners.length]).to.deep.equal(['no', 'noledger', 0]);
  });
  it('shuts a waiting try out when a later one comes', async () => {
    const b = bench(),
      x = b.daemon('x'),
      o = await x.open(request(1));
    const later = await b.daemon('y').open(request(2));
    expect(later.bad).to.equal(null);
    expect(await x.sent(request(1), o.owners, o.digest)).to.equal(false);
  });
  const lost: [string, number[], string | undefined][] = [
    ['one owner forgot', [0], 'mayhaverun'],
    ['both owners forgot', [0, 1], 'unproven'],
  ];
  for (const [name, ranks, code] of lost) {
    it(`never opens a second try of a sent one: ${name}`, async () => {
      const b = bench(),
        x = b.daemon('x'),
        o = await x.open(request(1));
      await x.sent(request(1), o.owners, o.digest);
      for (const r of ranks) b.forget(r);
      expect((await b.daemon('y').open(request(2))).bad?.code).to.equal(code);
    });
  }
  it('opens a second try of a waiting one whose mark can no longer be had, though one owner forgot', async () => {
    const b = bench(),
      x = b.daemon('x'),
      o = await x.open(request(1));
    b.forget(0);
    expect((await b.daemon('y').open(request(2))).bad).to.equal(null);
    expect(await x.sent(request(1), o.owners, o.digest)).to.equal(false);
  });
  it('opens the next try after one closed by the daemon that sent it', async () => {
    const b = bench(),
      x = b.daemon('x'),
      o = await x.open(request(1));
    await x.sent(request(1), o.owners, o.digest);
    await x.close(request(1), o.owners, o.digest);
    expect((await b.daemon('y').open(request(2))).bad).to.equal(null);
  });
});
