import { expect } from 'chai';
import { withoutServerNumbers, SHORT_PROMPT, runScenario, type Scenario } from './scenario.test.js';
import { RequestLog } from './requestlog.js';
import { server, testClock } from './fixtures.test.js';

describe('the recorded steps of a request', () => {
  const cases: [string, Scenario, string[]][] = [
    [
      'one prefilled by a prefill server',
      { script: [{ read: 'ok' }, { run: 'ok', events: 2 }] },
      ['taken llm r', 'prefill p1', 'handle p1 h1', 'run d p1', 'first d', 'done yes whole'],
    ],
    [
      'one prefilled by its decode server',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1 }] },
      ['taken llm r', 'beside', 'run d', 'first d', 'done yes whole'],
    ],
    [
      'a failed prefill',
      { script: [{ read: 'broken' }, { run: 'ok', events: 1 }] },
      ['taken llm r', 'prefill p1', 'unread p1 broken', 'run d', 'first d', 'done yes whole'],
    ],
    [
      'a stream that continues at another server',
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'broken', events: 1 },
          { run: 'ok', events: 1 },
        ],
      },
      ['taken llm r', 'beside', 'run d', 'first d', 'failed d broken', 'beside', 'run d', 'done yes whole'],
    ],
    [
      'one for which no server is available',
      { ...SHORT_PROMPT, script: [], servers: [server('p1', 'prefill')] },
      ['taken llm r', 'beside', 'done no noserver'],
    ],
    ['one without a route', { script: [], request: { path: '/other/' } }, ['done no unknownroute']],
    ['one under a list that is too old', { script: [], listTooOld: true }, ['done no oldlist']],
  ];
  for (const [name, setting, want] of cases) {
    it(`are reported for ${name}`, async () => {
      const { steps } = await runScenario(setting);
      expect(
        withoutServerNumbers(steps.map((s) => [s.what, s.at, s.word].filter((w) => w !== '').join(' '))),
      ).to.deep.equal(want);
    });
  }
  it('include the tokens to prefill and whether the server is the home of the prefix', async () => {
    const { steps } = await runScenario({ script: [{ read: 'ok' }, { run: 'ok', events: 1 }] });
    const read = steps.find((s) => s.what === 'prefill');
    expect(read).to.deep.include({ tokens: 6000, ahead: 0, why: 'home' });
  });
  it('are held in a ring buffer that overwrites the oldest first', () => {
    const log = RequestLog.make(testClock().clock, 4);
    for (const id of ['a', 'b', 'b', 'c', 'b']) log.record(id, 'beside', { at: id });
    expect(log.stepsOf('a')).to.deep.equal([]);
    expect(log.stepsOf('b')).to.have.length(3);
    expect(log.stepsOf('c').map((s) => s.at)).to.deep.equal(['c']);
  });
});
