import { Err, Logs, RendezvousHash, Ok, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Ledger } from './ledger.js';
import { LedgerClient } from './ledgerclient.js';

const clock = { mono: () => 0, wall: () => 0, after: () => () => undefined };
const counterIdent = (id: string): Ident => ({ id, born: 'b', addr: '10.0.0.1:1', site: 's', role: 'counter' });
const roster = ['e1', 'e2', 'e3', 'e4'].map(counterIdent);
const rankedIds = RendezvousHash.rank('key:k', roster, (r) => r.id).map((r) => r.id);
const request = (attempt: number) => ({ key: 'k', attempt, prefix: 'p', part: 'q' });
/** What happens to requests to an owner: delivered, not sent, lost, or delivered with the reply lost. */
type Delivery = 'fine' | 'unsent' | 'lost' | 'heardlost';

const setUp = () => {
  const ledgers = new Map(roster.map((r) => [r.id, Ledger.make(clock)]));
  const deliveries = new Map<string, Delivery>();
  const post = (by: string): Messenger =>
    ({
      on: () => undefined,
      close: () => undefined,
      ask: (_addr: string, to: string, kind: string, body: unknown) => {
        const message = body as {
          key: string;
          attempt: number;
          digest: string;
          proven: boolean;
          to: 'sent' | 'closed' | 'ran';
        };
        const delivery = deliveries.get(to) ?? 'fine',
          ledger = ledgers.get(to)!;
        if (delivery === 'unsent' || delivery === 'lost') return Promise.resolve(Err(delivery));
        const reply =
          kind === 'ledger.open'
            ? { say: ledger.open(message.key, message.attempt, message.digest, message.proven, by) }
            : { ok: ledger.step(message.key, message.attempt, message.digest, message.to, by) };
        return Promise.resolve(delivery === 'heardlost' ? Err('lost') : Ok(reply));
      },
    }) as unknown as Messenger;
  const world = { clock, log: Logs.silent } as unknown as World;
  return {
    daemon: (by: string) => LedgerClient.make(world, post(by), () => roster),
    fate: (rank: number, delivery: Delivery) => deliveries.set(rankedIds[rank]!, delivery),
    forget: (rank: number) => ledgers.set(rankedIds[rank]!, Ledger.make(clock)),
  };
};

describe('LedgerClient', () => {
  it('opens at two owners and marks both as sent', async () => {
    const cluster = setUp(),
      client = cluster.daemon('x');
    const opened = await client.open(request(1));
    expect(opened.owners.map((i) => i.id)).to.deep.equal(rankedIds.slice(0, 2));
    expect(await client.markSent(request(1), opened.owners, opened.digest)).to.equal(true);
    expect((await cluster.daemon('y').open(request(2))).rejection?.ran).to.equal('maybe');
  });
  it('uses the next owner if nothing was sent to the first', async () => {
    const cluster = setUp();
    cluster.fate(0, 'unsent');
    expect((await cluster.daemon('x').open(request(1))).owners.map((i) => i.id)).to.deep.equal(rankedIds.slice(1, 3));
  });
  it('gives the attempt up if an owner may have recorded it without a reply', async () => {
    const cluster = setUp();
    cluster.fate(1, 'heardlost');
    const opened = await cluster.daemon('x').open(request(1));
    expect([opened.rejection?.ran, opened.rejection?.code, opened.owners.length]).to.deep.equal(['no', 'noledger', 0]);
  });
  it('keeps a waiting attempt from being sent once a later one is opened', async () => {
    const cluster = setUp(),
      x = cluster.daemon('x'),
      opened = await x.open(request(1));
    const later = await cluster.daemon('y').open(request(2));
    expect(later.rejection).to.equal(null);
    expect(await x.markSent(request(1), opened.owners, opened.digest)).to.equal(false);
  });
  const lost: [string, number[], string | undefined][] = [
    ['one owner lost its entries', [0], 'mayhaverun'],
    ['both owners lost their entries', [0, 1], 'unproven'],
  ];
  for (const [name, ranks, code] of lost) {
    it(`never opens a second attempt of a sent one: ${name}`, async () => {
      const cluster = setUp(),
        x = cluster.daemon('x'),
        opened = await x.open(request(1));
      await x.markSent(request(1), opened.owners, opened.digest);
      for (const r of ranks) cluster.forget(r);
      expect((await cluster.daemon('y').open(request(2))).rejection?.code).to.equal(code);
    });
  }
  it('opens a second attempt when the first can no longer be marked, though one owner lost its entries', async () => {
    const cluster = setUp(),
      x = cluster.daemon('x'),
      opened = await x.open(request(1));
    cluster.forget(0);
    expect((await cluster.daemon('y').open(request(2))).rejection).to.equal(null);
    expect(await x.markSent(request(1), opened.owners, opened.digest)).to.equal(false);
  });
  it('opens the next attempt after one closed by the daemon that sent it', async () => {
    const cluster = setUp(),
      x = cluster.daemon('x'),
      opened = await x.open(request(1));
    await x.markSent(request(1), opened.owners, opened.digest);
    await x.close(request(1), opened.owners, opened.digest);
    expect((await cluster.daemon('y').open(request(2))).rejection).to.equal(null);
  });
});
