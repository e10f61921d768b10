import { expect } from 'chai';
import { play } from './play.test.js';
import { ReadDeadline } from './readdeadline.js';
import { prompt, server } from './stand.test.js';

describe('requests that would be read too late', () => {
  const c = { waits: 1000, own: 30, beside: false, aim: 800, left: 8000 };
  const cases: [string, Partial<typeof c>, boolean][] = [
    ['a short prompt is taken behind others', {}, false],
    ['a long one is, if it is read in time', { own: 1500 }, false],
    ['it is not, if it is not', { own: 1600 }, true],
    ['it is where nothing waits', { own: 4000, waits: 0 }, false],
    ['a short one is taken beside runs', { beside: true }, false],
    ['a long one is not', { own: 400, beside: true }, true],
    ['it is beside runs too where nothing waits', { own: 4000, waits: 0, beside: true }, false],
    ['none is that its caller would not wait for', { waits: 2600 }, true],
    ['nor one whose caller has little time left', { left: 1200 }, true],
    ['a longer aim is waited for longer', { waits: 2600, aim: 1500 }, false],
  ];
  for (const [name, more, want] of cases) it(name, () => expect(ReadDeadline.missed({ ...c, ...more })).to.equal(want));
  const lone = () => ({ servers: [server('d1', 'decode')], script: [{ run: 'ok' as const, events: 1 }] });
  for (const [name, tokens, own, code] of [
    ['are refused at once where a decode server is alone: a long prompt where much waits', 30_000, 12_000, 'overload'],
    ['are not the short ones there', 30_000, 800, undefined],
    ['are not the long ones where nothing waits', 0, 12_000, undefined],
    ['are the short ones too where all too much waits', 90_000, 800, 'overload'],
  ] as const)
    it(name, async () => {
      const got = await play({ ...lone(), busy: { d1: tokens }, request: { prompt: prompt(0, own) } });
      expect(got.verdict?.code).to.equal(code);
      if (code) expect(got.verdict?.ran).to.equal('no');
    });
  it('are refused at once where one server reads and another decodes', async () => {
    const got = await play({ script: [], busy: { p1: 150_000, d1: 90_000, d2: 90_000 } });
    expect([got.verdict?.ran, got.verdict?.code, got.calls]).to.deep.equal(['no', 'overload', []]);
    expect(got.verdict?.after).to.be.greaterThan(0);
  });
  it('are none where the readers have time', async () => {
    const got = await play({ script: [{ read: 'ok' }, { run: 'ok', events: 1 }], busy: { d1: 90_000, d2: 90_000 } });
    expect(got.verdict).to.equal(null);
  });
});
