import { Err, Ok, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Borrower } from './borrower.js';

const lender: Ident = { id: 'e9', born: 'b', addr: '10.0.0.9:1', site: 's', role: 'counter' };
type Reply = { ok: boolean; slots: number; term: number; why: string };
const lent: Reply = { ok: true, slots: 3, term: 2000, why: 'lent' };
const no: Reply = { ok: false, slots: 0, term: 0, why: 'nothing' };

const rig = () => {
  let now = 0;
  const is = { reply: lent as Reply | null, takes: 0, ended: 0, onask: () => undefined as void };
  const mails: string[] = [];
  const post = {
    ask: (_addr: string, _id: string, kind: string) => {
      mails.push(kind);
      now += is.takes;
      is.onask();
      return Promise.resolve(is.reply ? Ok(is.reply) : Err('lost'));
    },
  } as unknown as PostBox;
  const row = { server: 'm1', born: 'x', part: 'decode', stage: 'serving', by: 'e9' };
  const b = Borrower.make({
    world: { clock: { mono: () => now } } as unknown as World,
    post,
    sheet: { rows: () => new Map([['m1', { row, mark: [1, 0] }]]) } as never,
    town: { good: () => ({}) } as never,
    roster: () => [lender],
    running: () => 0,
    look: () => undefined,
    ended: () => void is.ended++,
  });
  const tick = async (need = true): Promise<void> => {
    b.tick(need ? { burst: 'a', order: 1 } : null, 2000);
    await new Promise((done) => void setImmediate(done));
  };
  return {
    ...{ b, is, mails, tick },
    wait: (ms: number): void => {
      now += ms;
    },
  };
};

describe('The borrower of a server', () => {
  it('counts a lease from before it asked', async () => {
    const r = rig();
    r.is.takes = 300;
    await r.tick();
    expect(r.b.slots('m1', 'x')).to.equal(3);
    r.wait(1699);
    expect(r.b.slots('m1', 'x')).to.equal(3);
    r.wait(1);
    expect(r.b.slots('m1', 'x')).to.equal(0);
  });
  it('has no lease for another life of the server', async () => {
    const r = rig();
    await r.tick();
    expect(r.b.slots('m1', 'y')).to.equal(0);
  });
  it('asks again while some of it is left, and lets it lapse where nobody replies', async () => {
    const r = rig();
    await r.tick();
    await r.tick();
    expect(r.mails).to.deep.equal(['loan.ask']);
    r.is.reply = null;
    r.wait(1000);
    await r.tick();
    expect(r.mails.length).to.equal(2);
    expect(r.b.slots('m1', 'x')).to.equal(3);
    r.wait(1000);
    await r.tick();
    expect([r.b.slots('m1', 'x'), r.is.ended]).to.deep.equal([0, 1]);
  });
  it('ends a lease that is refused, at once', async () => {
    const r = rig();
    await r.tick();
    r.is.reply = no;
    r.wait(1000);
    await r.tick();
    expect([r.b.slots('m1', 'x'), r.is.ended]).to.deep.equal([0, 1]);
  });
  it('ends a lease that is called back, and does not ask for a while', async () => {
    const r = rig();
    await r.tick();
    expect(r.b.recalled('m1')).to.equal(true);
    expect([r.b.slots('m1', 'x'), r.is.ended]).to.deep.equal([0, 1]);
    await r.tick();
    expect(r.mails.length).to.equal(1);
    r.wait(1001);
    await r.tick();
    expect(r.b.slots('m1', 'x')).to.equal(3);
  });
  it('takes no lease that was granted before it was called back', async () => {
    const r = rig();
    r.is.onask = () => void r.b.recalled('m1');
    await r.tick();
    expect(r.b.slots('m1', 'x')).to.equal(0);
  });
  it('takes no lease that it slept through', async () => {
    const r = rig();
    r.is.onask = () => r.b.drop();
    await r.tick();
    expect(r.b.slots('m1', 'x')).to.equal(0);
    r.is.onask = () => undefined;
    await r.tick();
    r.b.drop();
    expect(r.b.slots('m1', 'x')).to.equal(0);
  });
  it('gives back what nothing needs', async () => {
    const r = rig();
    await r.tick();
    await r.tick(false);
    expect(r.mails).to.deep.equal(['loan.ask', 'loan.give']);
    expect(r.b.count()).to.equal(0);
  });
});
