import {
  Err,
  Ok,
  type FleetConfiguration,
  type Doc,
  type Ident,
  type Messenger,
  type World,
} from '@pumicebarrow/forms';
import type { Loan, StageAssignment } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { Lender } from './lender.js';

const configuration: FleetConfiguration = {
  sites: ['s'],
  rules: [],
  servers: ['m1', 'm2'].map((id) => ({ id, site: 's', part: 'either' as const, slots: 8 })),
  casting: { prefill: 1, floor: { prefill: 1, decode: 1 }, swing: false, calm: 1000 },
  lending: { rules: ['rollout'], most: { prefill: 0.5, decode: 0.5 }, keep: { prefill: 0, decode: 2 }, length: 2000 },
};
const daemon = (id: string): Ident => ({ id, born: 'b', addr: `10.0.0.${id.slice(1)}:1`, site: 's', role: 'counter' });

/** A lender of one server with a simulated clock, whose handlers are called directly. */
const setup = () => {
  let now = 0;
  const handlers = new Map<string, (body: unknown, from: Ident) => unknown>();
  const docs = new Map<string, Doc>();
  const messages: string[] = [];
  const state = { fence: 3 as number | null, decodeLoad: 0, holderReachable: true, running: 0 };
  const assignment: StageAssignment = { server: 'm2', born: 'x', part: 'decode', stage: 'serving', by: 'e9' };
  const post = {
    on: (kind: string, _schema: unknown, handler: (body: unknown, from: Ident) => unknown) =>
      void handlers.set(kind, handler),
    ask: (addr: string, _id: string, kind: string) => {
      messages.push(`${kind} ${addr}`);
      return Promise.resolve(state.holderReachable ? Ok({ ok: true, running: state.running }) : Err('lost'));
    },
  } as unknown as Messenger;
  const loan = (): Loan | null => (docs.get('loan:m2')?.body as Loan | undefined) ?? null;
  const lender = Lender.make({
    world: { clock: { mono: () => now, wall: () => now }, recordEvent: () => undefined } as unknown as World,
    post,
    loan,
    sheet: {
      configuration: () => configuration,
      assignments: () => new Map([['m2', { assignment, stamp: [3, 0] }]]),
      stamp: (name: string) => docs.get(name)?.mark ?? null,
    } as never,
    town: { findServing: () => ({}) } as never,
    duty: { fence: () => state.fence } as never,
    purge: { publish: (d: Doc) => docs.set(d.name, d) !== undefined } as never,
    load: () => ({ read: 0, write: state.decodeLoad }),
    self: () => 'e9',
  });
  const ask = (id: string, order = 1): string => {
    const reply = handlers.get('loan.ask')!({ server: 'm2', born: 'x', burst: `b${order}`, order }, daemon(id)) as {
      ok: boolean;
      slots: number;
      why: string;
    };
    return reply.ok ? `lent ${reply.slots}` : reply.why;
  };
  return {
    ...{ lender, ask, state, loan, messages },
    give: (id: string): unknown => handlers.get('loan.give')!({ server: 'm2', running: 0 }, daemon(id)),
    mark: () => docs.get('loan:m2')?.mark,
    wait: (ms: number): void => {
      now += ms;
    },
    settle: (): Promise<void> => new Promise((done) => void setImmediate(done)),
  };
};

describe('Lender', () => {
  it('lends what the configured limits and the load leave, and publishes each loan once', () => {
    const s = setup();
    expect(s.ask('e1')).to.equal('lent 4');
    expect(s.loan()).to.include({ holder: 'e1', slots: 4, burst: 'b1', why: 'lent', by: 'e9' });
    const mark = s.mark();
    expect(s.ask('e1')).to.equal('lent 4');
    expect(s.mark()).to.equal(mark);
    s.state.decodeLoad = 5;
    expect(s.ask('e1')).to.equal('lent 1');
  });
  it('counts the requests of a recalled holder that never replied as running, also after its lease', async () => {
    const s = setup();
    s.state.holderReachable = false;
    expect(s.ask('e1')).to.equal('lent 4');
    s.lender.recall('m2');
    await s.settle();
    s.wait(2300);
    s.lender.tick();
    expect(s.ask('e2')).to.equal('nothing');
    s.wait(6100);
    expect(s.ask('e2')).to.equal('lent 4');
  });
  it('lends nothing without a valid fencing token', () => {
    const s = setup();
    s.state.fence = null;
    expect(s.ask('e1')).to.equal('notmine');
    expect(s.loan()).to.equal(null);
  });
  it('has one holder, until the lease has ended by the clock of the lender', () => {
    const s = setup();
    s.ask('e1');
    expect(s.ask('e2', 1)).to.equal('held');
    s.wait(2100);
    expect(s.ask('e2', 1)).to.equal('held');
    s.wait(150);
    s.lender.tick();
    expect(s.loan()).to.include({ slots: 0, why: 'lapsed', holder: 'e1' });
    s.wait(6100);
    expect(s.ask('e2', 1)).to.equal('lent 4');
  });
  it('counts requests that may still run for a holder that has gone', () => {
    const s = setup();
    s.ask('e1');
    s.wait(2300);
    s.lender.tick();
    expect(s.ask('e2', 1)).to.equal('nothing');
  });
  it('counts them, and publishes the expiry, also if another daemon requests the server before a tick', () => {
    const s = setup();
    s.ask('e1');
    s.wait(2300);
    expect(s.ask('e2', 1)).to.equal('nothing');
    expect(s.loan()).to.include({ slots: 0, why: 'lapsed', holder: 'e1' });
  });
  it('lends to another daemon at once a server that was given back with nothing running', () => {
    const s = setup();
    s.ask('e1');
    s.give('e2');
    expect(s.ask('e2', 1)).to.equal('held');
    s.give('e1');
    expect(s.loan()).to.include({ slots: 0, why: 'given' });
    expect(s.ask('e2', 1)).to.equal('lent 4');
  });
  it('renews no loan for a later burst while an earlier one requests the server', () => {
    const s = setup();
    s.ask('e1', 2);
    expect(s.ask('e2', 1)).to.equal('held');
    expect(s.ask('e1', 2)).to.equal('older');
    s.give('e1');
    expect(s.ask('e1', 2)).to.equal('older');
    expect(s.ask('e2', 1)).to.equal('lent 4');
    s.give('e2');
    s.wait(1100);
    expect(s.ask('e1', 2)).to.equal('lent 4');
  });
  it('recalls at once, informs the holder, and lends nothing for a while', async () => {
    const s = setup();
    s.ask('e1');
    s.lender.recall('m2');
    expect(s.messages).to.deep.equal(['loan.recall 10.0.0.1:1']);
    expect(s.loan()).to.include({ slots: 0, why: 'live' });
    await s.settle();
    expect(s.ask('e1')).to.equal('nothing');
    s.wait(1600);
    expect(s.ask('e1')).to.equal('lent 4');
  });
  it('does not lend a server to another daemon while a recalled holder does not reply', async () => {
    const s = setup();
    s.ask('e1');
    s.state.holderReachable = false;
    s.lender.recall('m2');
    await s.settle();
    s.wait(1600);
    expect(s.ask('e2', 1)).to.equal('held');
  });
  it('recalls once live requests and the configured reserve leave nothing', () => {
    const s = setup();
    s.ask('e1');
    s.state.decodeLoad = 6;
    s.lender.tick();
    expect(s.loan()).to.include({ slots: 0, why: 'load' });
  });
  it('ends the loans that a previous lender published', () => {
    const s = setup();
    s.ask('e1');
    const next = setup();
    next.state.fence = 4;
    next.ask('e1');
    next.wait(2300);
    next.lender.tick();
    expect(next.mark()).to.deep.equal([4, 1]);
    expect(next.loan()).to.include({ slots: 0 });
  });
});
