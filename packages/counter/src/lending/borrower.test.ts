import { Err, Ok, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Borrower } from './borrower.js';

const lender: Ident = { id: 'e9', born: 'b', addr: '10.0.0.9:1', site: 's', role: 'counter' };
type Reply = { ok: boolean; slots: number; term: number; why: string };
const granted: Reply = { ok: true, slots: 3, term: 2000, why: 'lent' };
const refused: Reply = { ok: false, slots: 0, term: 0, why: 'nothing' };

/** A borrower with a simulated clock, and a lender that gives `state.reply` to each request. */
const setup = () => {
  let now = 0;
  const state = { reply: granted as Reply | null, replyDelay: 0, loansEnded: 0, onAsk: () => undefined as void };
  const messages: string[] = [];
  const post = {
    ask: (_addr: string, _id: string, kind: string) => {
      messages.push(kind);
      now += state.replyDelay;
      state.onAsk();
      return Promise.resolve(state.reply ? Ok(state.reply) : Err('lost'));
    },
  } as unknown as Messenger;
  const assignment = { server: 'm1', born: 'x', part: 'decode', stage: 'serving', by: 'e9' };
  const borrower = Borrower.make({
    world: { clock: { mono: () => now } } as unknown as World,
    post,
    sheet: { assignments: () => new Map([['m1', { assignment, stamp: [1, 0] }]]) } as never,
    town: { findServing: () => ({}) } as never,
    roster: () => [lender],
    runningWeight: () => 0,
    checkSuspension: () => undefined,
    onLoanEnded: () => void state.loansEnded++,
  });
  const tick = async (need = true): Promise<void> => {
    borrower.tick(need ? { burst: 'a', order: 1 } : null, 2000);
    await new Promise((done) => void setImmediate(done));
  };
  return {
    ...{ borrower, state, messages, tick },
    wait: (ms: number): void => {
      now += ms;
    },
  };
};

describe('Borrower', () => {
  it('counts a lease from before it was requested', async () => {
    const s = setup();
    s.state.replyDelay = 300;
    await s.tick();
    expect(s.borrower.slots('m1', 'x')).to.equal(3);
    s.wait(1699);
    expect(s.borrower.slots('m1', 'x')).to.equal(3);
    s.wait(1);
    expect(s.borrower.slots('m1', 'x')).to.equal(0);
  });
  it('has no lease on another incarnation of the server', async () => {
    const s = setup();
    await s.tick();
    expect(s.borrower.slots('m1', 'y')).to.equal(0);
  });
  it('renews a lease before it ends, and lets it expire if the lender does not reply', async () => {
    const s = setup();
    await s.tick();
    await s.tick();
    expect(s.messages).to.deep.equal(['loan.ask']);
    s.state.reply = null;
    s.wait(1000);
    await s.tick();
    expect(s.messages.length).to.equal(2);
    expect(s.borrower.slots('m1', 'x')).to.equal(3);
    s.wait(1000);
    await s.tick();
    expect([s.borrower.slots('m1', 'x'), s.state.loansEnded]).to.deep.equal([0, 1]);
  });
  it('ends a lease at once if its renewal is refused', async () => {
    const s = setup();
    await s.tick();
    s.state.reply = refused;
    s.wait(1000);
    await s.tick();
    expect([s.borrower.slots('m1', 'x'), s.state.loansEnded]).to.deep.equal([0, 1]);
  });
  it('ends a recalled lease at once, and requests none for a while', async () => {
    const s = setup();
    await s.tick();
    expect(s.borrower.recalled('m1')).to.equal(true);
    expect([s.borrower.slots('m1', 'x'), s.state.loansEnded]).to.deep.equal([0, 1]);
    await s.tick();
    expect(s.messages.length).to.equal(1);
    s.wait(1001);
    await s.tick();
    expect(s.borrower.slots('m1', 'x')).to.equal(3);
  });
  it('ignores a grant that was requested before the loan was recalled', async () => {
    const s = setup();
    s.state.onAsk = () => void s.borrower.recalled('m1');
    await s.tick();
    expect(s.borrower.slots('m1', 'x')).to.equal(0);
  });
  it('keeps no lease through a suspension of the daemon', async () => {
    const s = setup();
    s.state.onAsk = () => s.borrower.forgetAll();
    await s.tick();
    expect(s.borrower.slots('m1', 'x')).to.equal(0);
    s.state.onAsk = () => undefined;
    await s.tick();
    s.borrower.forgetAll();
    expect(s.borrower.slots('m1', 'x')).to.equal(0);
  });
  it('gives its loans back when nothing needs them', async () => {
    const s = setup();
    await s.tick();
    await s.tick(false);
    expect(s.messages).to.deep.equal(['loan.ask', 'loan.give']);
    expect(s.borrower.count()).to.equal(0);
  });
});
