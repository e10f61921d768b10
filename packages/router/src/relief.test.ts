import { expect } from 'chai';
import { play } from './play.test.js';
import { Relief } from './relief.js';
import { prompt, server } from './stand.test.js';

describe('the relief of decode servers that are left alone', () => {
  const c = { waits: 1000, own: 30, aim: 800, left: 8000 };
  const cases: [string, Partial<typeof c>, boolean][] = [
    ['a short prompt is taken behind others', {}, false],
    ['a long one is not', { own: 400 }, true],
    ['it is where nothing waits', { own: 4000, waits: 0 }, false],
    ['none is that its caller would not wait for', { waits: 2600 }, true],
    ['nor one whose caller has little time left', { left: 1200 }, true],
    ['a longer aim is waited for longer', { waits: 2600, aim: 1500 }, false],
  ];
  for (const [name, more, want] of cases) it(name, () => expect(Relief.needed({ ...c, ...more })).to.equal(want));
  const lone = () => ({ servers: [server('d1', 'decode')], script: [{ run: 'ok' as const, events: 1 }] });
  for (const [name, tokens, own, code] of [
    ['refuses a long prompt where much waits', 30_000, 12_000, 'drowned'],
    ['serves a short one there', 30_000, 800, undefined],
    ['serves a long one where nothing waits', 0, 12_000, undefined],
    ['refuses a short one where all too much waits', 90_000, 800, 'drowned'],
  ] as const)
    it(name, async () => {
      const got = await play({ ...lone(), busy: { d1: tokens }, request: { prompt: prompt(0, own) } });
      expect(got.verdict?.code).to.equal(code);
      if (code) expect(got.verdict?.ran).to.equal('no');
    });
  it('leaves alone what readers are there for', async () => {
    const got = await play({ script: [{ read: 'ok' }, { run: 'ok', events: 1 }], busy: { d1: 90_000, d2: 90_000 } });
    expect(got.verdict).to.equal(null);
  });
});
