import { Err, Ok, type Charter, type Doc, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import type { Loan, SheetRow } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { Lender } from './lender.js';

const charter: Charter = {
  sites: ['s'],
  rules: [],
  servers: ['m1', 'm2'].map((id) => ({ id, site: 's', part: 'either' as const, slots: 8 })),
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
  lending: { rules: ['rollout'], most: { prefill: 0.5, decode: 0.5 }, keep: { prefill: 0, decode: 2 }, length: 2000 },
};
const who = (id: string): Ident => ({ id, born: 'b', addr: `10.0.0.${id.slice(1)}:1`, site: 's', role: 'counter' });

const rig = () => {
  let now = 0;
  const desks = new Map<string, (body: unknown, from: Ident) => unknown>();
  const docs = new Map<string, Doc>();
  const mails: string[] = [];
  const is = { fence: 3 as number | null, load: 0, reached: true, running: 0 };
  const row: SheetRow = { server: 'm2', born: 'x', part: 'decode', stage: 'serving', by: 'e9' };
  const post = {
    on: (kind: string, _form: unknown, fn: (body: unknown, from: Ident) => unknown) => void desks.set(kind, fn),
    ask: (addr: string, _id: string, kind: string) => {
      mails.push(`${kind} ${addr}`);
      return Promise.resolve(is.reached ? Ok({ ok: true, running: is.running }) : Err('lost'));
    },
  } as unknown as PostBox;
  const loan = (): Loan | null => (docs.get('loan:m2')?.body as Loan | undefined) ?? null;
  const lender = Lender.make({
    world: { clock: { mono: () => now, wall: () => now }, tell: () => undefined } as unknown as World,
    post,
    loan,
    sheet: {
      charter: () => charter,
      rows: () => new Map([['m2', { row, mark: [3, 0] }]]),
      mark: (name: string) => docs.get(name)?.mark ?? null,
    } as never,
    town: { good: () => ({}) } as never,
    duty: { fence: () => is.fence } as never,
    purge: { publish: (d: Doc) => docs.set(d.name, d) !== undefined } as never,
    load: () => ({ read: 0, write: is.load }),
    self: () => 'e9',
  });
  const ask = (id: string, order = 1): string => {
    const r = desks.get('loan.ask')!({ server: 'm2', born: 'x', burst: `b${order}`, order }, who(id)) as {
      ok: boolean;
      slots: number;
      why: string;
    };
    return r.ok ? `lent ${r.slots}` : r.why;
  };
  return {
    ...{ lender, ask, is, loan, mails },
    give: (id: string): unknown => desks.get('loan.give')!({ server: 'm2', running: 0 }, who(id)),
    mark: () => docs.get('loan:m2')?.mark,
    wait: (ms: number): void => {
      now += ms;
    },
    settle: (): Promise<void> => new Promise((done) => void setImmediate(done)),
  };
};

describe('The lender of a server', () => {
  it('lends what the clause and the load leave, and tells of it once', () => {
    const r = rig();
    expect(r.ask('e1')).to.equal('lent 4');
    expect(r.loan()).to.include({ holder: 'e1', slots: 4, burst: 'b1', why: 'lent', by: 'e9' });
    const mark = r.mark();
    expect(r.ask('e1')).to.equal('lent 4');
    expect(r.mark()).to.equal(mark);
    r.is.load = 5;
    expect(r.ask('e1')).to.equal('lent 1');
  });
  it('counts on what was begun for one that was called back and never replied, also after its lease', async () => {
    const r = rig();
    r.is.reached = false;
    expect(r.ask('e1')).to.equal('lent 4');
    r.lender.recalled('m2');
    await r.settle();
    r.wait(2300);
    r.lender.tick();
    expect(r.ask('e2')).to.equal('nothing');
    r.wait(6100);
    expect(r.ask('e2')).to.equal('lent 4');
  });
  it('lends nothing without a live fence', () => {
    const r = rig();
    r.is.fence = null;
    expect(r.ask('e1')).to.equal('notmine');
    expect(r.loan()).to.equal(null);
  });
  it('has one holder, until the lease is past by its own clock', () => {
    const r = rig();
    r.ask('e1');
    expect(r.ask('e2', 1)).to.equal('held');
    r.wait(2100);
    expect(r.ask('e2', 1)).to.equal('held');
    r.wait(150);
    r.lender.tick();
    expect(r.loan()).to.include({ slots: 0, why: 'lapsed', holder: 'e1' });
    r.wait(6100);
    expect(r.ask('e2', 1)).to.equal('lent 4');
  });
  it('counts what may still run for a holder that has gone', () => {
    const r = rig();
    r.ask('e1');
    r.wait(2300);
    r.lender.tick();
    expect(r.ask('e2', 1)).to.equal('nothing');
  });
  it('does so, and tells that the loan ran out, also when another asks before it has looked', () => {
    const r = rig();
    r.ask('e1');
    r.wait(2300);
    expect(r.ask('e2', 1)).to.equal('nothing');
    expect(r.loan()).to.include({ slots: 0, why: 'lapsed', holder: 'e1' });
  });
  it('gives another the server at once when it was given back with nothing running', () => {
    const r = rig();
    r.ask('e1');
    r.give('e2');
    expect(r.ask('e2', 1)).to.equal('held');
    r.give('e1');
    expect(r.loan()).to.include({ slots: 0, why: 'given' });
    expect(r.ask('e2', 1)).to.equal('lent 4');
  });
  it('renews no later burst while an earlier one asks', () => {
    const r = rig();
    r.ask('e1', 2);
    expect(r.ask('e2', 1)).to.equal('held');
    expect(r.ask('e1', 2)).to.equal('older');
    r.give('e1');
    expect(r.ask('e1', 2)).to.equal('older');
    expect(r.ask('e2', 1)).to.equal('lent 4');
    r.give('e2');
    r.wait(1100);
    expect(r.ask('e1', 2)).to.equal('lent 4');
  });
  it('calls back at once, says so to the holder, and lends nothing for a while', async () => {
    const r = rig();
    r.ask('e1');
    r.lender.recalled('m2');
    expect(r.mails).to.deep.equal(['loan.recall 10.0.0.1:1']);
    expect(r.loan()).to.include({ slots: 0, why: 'live' });
    await r.settle();
    expect(r.ask('e1')).to.equal('nothing');
    r.wait(1600);
    expect(r.ask('e1')).to.equal('lent 4');
  });
  it('keeps a server from others while a holder that was called back does not reply', async () => {
    const r = rig();
    r.ask('e1');
    r.is.reached = false;
    r.lender.recalled('m2');
    await r.settle();
    r.wait(1600);
    expect(r.ask('e2', 1)).to.equal('held');
  });
  it('calls back once live work and what is kept leave nothing', () => {
    const r = rig();
    r.ask('e1');
    r.is.load = 6;
    r.lender.tick();
    expect(r.loan()).to.include({ slots: 0, why: 'load' });
  });
  it('ends the loans that a lender before it told of', () => {
    const r = rig();
    r.ask('e1');
    const next = rig();
    next.is.fence = 4;
    next.ask('e1');
    next.wait(2300);
    next.lender.tick();
    expect(next.mark()).to.deep.equal([4, 1]);
    expect(next.loan()).to.include({ slots: 0 });
  });
});
