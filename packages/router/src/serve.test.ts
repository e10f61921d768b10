import { Verdicts } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { withoutServerNumbers, SHORT_PROMPT, play, type Scenario } from './play.test.js';
import { server } from './stand.test.js';

describe('the serving of a request', () => {
  const cases: [
    string,
    Scenario,
    { calls: string[]; log?: string[]; code?: string; ran?: string; suspects?: number; turned?: string[] },
  ][] = [
    [
      'long prompts are read first, then run from the handle',
      { script: [{ read: 'ok' }, { run: 'ok', events: 2 }] },
      { calls: ['read p1', 'run d from h1'], log: ['1;', '2;', 'end'] },
    ],
    [
      'short prompts are read where they run',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1 }] },
      { calls: ['run d'], log: ['1;', 'end'] },
    ],
    [
      'one that goes on after an event names it',
      { script: [{ read: 'ok' }, { run: 'ok', events: 1 }], request: { after: '7' } },
      { calls: ['read p1', 'run d from h1 after 7'], log: ['8;', 'end'] },
    ],
    [
      'a read that fails leaves the run to read for itself',
      { script: [{ read: 'broken' }, { run: 'ok', events: 1 }] },
      { calls: ['read p1', 'run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      'nothing follows a read that was cut where it can not be paid for',
      { script: [{ read: 'broken' }, { run: 'ok', events: 1 }], budget: 0 },
      { calls: ['read p1'], code: 'noserver', ran: 'no', suspects: 1 },
    ],
    [
      'a read that is turned away counts as a try',
      { script: [{ read: 'refused' }], route: { tries: 1 } },
      { calls: ['read p1'], code: 'noserver', ran: 'no' },
    ],
    [
      'a run turned away goes to another, once',
      { ...SHORT_PROMPT, script: [{ run: 'refused' }, { run: 'refused' }] },
      { calls: ['run d', 'run d'], code: 'noserver', ran: 'no' },
    ],
    [
      'a run turned away is not sent again where one try is all',
      { ...SHORT_PROMPT, script: [{ run: 'refused' }], route: { tries: 1 } },
      { calls: ['run d'], code: 'noserver', ran: 'no' },
    ],
    [
      'a run turned away is not sent again without budget',
      { ...SHORT_PROMPT, script: [{ run: 'refused' }], budget: 0 },
      { calls: ['run d'], code: 'noserver', ran: 'no' },
    ],
    [
      'a send that never arrived costs no try, and the memory is fetched by another',
      { script: [{ read: 'ok' }, { run: 'unsent' }, { run: 'ok', events: 1 }], route: { tries: 1 }, budget: 0 },
      { calls: ['read p1', 'run d from h1', 'run d from h1'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      'a send for which no connection is left costs no try, and speaks against no server',
      { script: [{ read: 'ok' }, { run: 'crowded' }, { run: 'ok', events: 1 }], route: { tries: 1 }, budget: 0 },
      { calls: ['read p1', 'run d from h1', 'run d from h1'], log: ['1;', 'end'] },
    ],
    [
      'a handle that could not be fetched speaks against no server that should have fetched it',
      { script: [{ read: 'ok' }, { run: 'refused' }, { run: 'ok', events: 1 }] },
      { calls: ['read p1', 'run d from h1', 'run d'], log: ['1;', 'end'], turned: [] },
    ],
    [
      'memory that no run took is given back',
      { script: [{ read: 'ok' }, { run: 'unsent' }, { run: 'unsent' }] },
      { calls: ['read p1', 'run d from h1', 'run d from h1', 'free h1'], code: 'noserver', ran: 'no', suspects: 2 },
    ],
    [
      'a stream that may be resumed goes on after its last event, under the first head',
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'broken', events: 2 },
          { run: 'ok', events: 1 },
        ],
      },
      { calls: ['run d', 'run d after 2'], log: ['1;', '2;', '3;', 'end'], suspects: 1 },
    ],
    [
      'a stream that may not be resumed is cut, never ended',
      { ...SHORT_PROMPT, script: [{ run: 'broken', events: 2 }], route: { resumable: false } },
      { calls: ['run d'], log: ['1;', '2;', 'cut'], suspects: 1 },
    ],
    [
      'what may have run and may not run again is told so',
      { ...SHORT_PROMPT, script: [{ run: 'broken' }], route: { resumable: false } },
      { calls: ['run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'after a run that may have been, a refusal elsewhere is no promise',
      { ...SHORT_PROMPT, script: [{ run: 'broken' }, { run: 'refused' }] },
      { calls: ['run d', 'run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'what may run again does, from the start, while nothing has gone out',
      { ...SHORT_PROMPT, script: [{ run: 'broken' }, { run: 'ok', events: 1 }], route: { kind: 'idempotent' } },
      { calls: ['run d', 'run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      'an idempotent answer that has begun is cut',
      { ...SHORT_PROMPT, script: [{ run: 'broken', events: 1 }], route: { kind: 'idempotent', resumable: false } },
      { calls: ['run d'], log: ['1;', 'cut'], suspects: 1 },
    ],
    [
      'what a second server answers other than a stream is no part of the first',
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'broken', events: 1 },
          { run: 'ok', events: 1, status: 404 },
        ],
      },
      { calls: ['run d', 'run d after 1'], log: ['1;', 'cut'], suspects: 2 },
    ],
    [
      "a server's own failure is told as it came",
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 500 }], route: { resumable: false } },
      { calls: ['run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      "a server's own failure is not told where another may run it",
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'ok', events: 1, status: 500 },
          { run: 'ok', events: 1 },
        ],
      },
      { calls: ['run d', 'run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      "a server's own 503 without a word that it did not run is told as no promise",
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 503 }], route: { resumable: false } },
      { calls: ['run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'nor is its 429, its 408',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 429 }], route: { kind: 'once', resumable: false } },
      { calls: ['run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    ['no route is said as such', { script: [], request: { path: '/other/' } }, { calls: [], code: 'unknownroute' }],
    [
      'a request waits a little for a young list',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1 }], old: true, renewed: 400 },
      { calls: ['run d'], log: ['1;', 'end'] },
    ],
    ['an old list sends nothing', { script: [], old: true }, { calls: [], code: 'oldlist', ran: 'no' }],
    [
      'a daemon that is not sure sends nothing',
      { script: [], shut: Verdicts.not('asking', 'learning', 0.2) },
      { calls: [], code: 'asking', ran: 'no' },
    ],
    [
      'no server is said at once',
      { ...SHORT_PROMPT, script: [], servers: [server('p1', 'prefill')] },
      { calls: [], code: 'noserver', ran: 'no' },
    ],
    [
      'a server that leaves is sent nothing',
      { ...SHORT_PROMPT, script: [], servers: [server('d1', 'decode', { state: 'draining' })] },
      { calls: [], code: 'noserver', ran: 'no' },
    ],
  ];
  for (const [name, setting, want] of cases) {
    it(name, async () => {
      const got = await play(setting);
      expect(withoutServerNumbers(got.calls)).to.deep.equal(want.calls);
      if (want.log) expect(got.log.slice(1)).to.deep.equal(want.log);
      else expect(got.log).to.deep.equal([]);
      expect(got.verdict?.code).to.equal(want.code);
      if (want.ran) expect(got.verdict?.ran).to.equal(want.ran);
      expect(got.suspected).to.have.length(want.suspects ?? 0);
      expect([...got.loads.mine()]).to.deep.equal([]);
      if (want.turned) expect(got.turned).to.deep.equal(want.turned);
    });
  }

  it('sends a first try away at once while the readers are far behind, and takes it when it is back', async () => {
    const busy = { p1: 60_000, d1: 60_000, d2: 60_000 };
    const first = await play({ script: [{ read: 'ok' }], busy });
    expect(first.calls).to.deep.equal([]);
    expect(first.log).to.deep.equal([]);
    expect(first.verdict).to.include({ code: 'deferred', ran: 'no' });
    expect(first.verdict?.after).to.be.within(0.3, 2.6);
    const back = await play({ script: [{ read: 'ok' }, { run: 'ok', events: 1 }], busy, wait: 6000 });
    expect(withoutServerNumbers(back.calls)).to.deep.equal(['read p1', 'run d from h1']);
    expect(back.log.at(-1)).to.equal('end');
  });

  it('moves a silent stream that may go on elsewhere, and suspects the server', async () => {
    const got = await play({
      ...SHORT_PROMPT,
      script: [
        { run: 'ok', events: 1, hang: true },
        { run: 'ok', events: 1 },
      ],
      after: async (t) => t.pass(2000),
    });
    expect(withoutServerNumbers(got.calls)).to.deep.equal(['run d', 'run d after 1']);
    expect(got.log.slice(1)).to.deep.equal(['1;', '2;', 'end']);
    expect(got.suspected).to.have.length(1);
  });

  it('stays with a silent stream that may not', async () => {
    const got = await play({
      ...SHORT_PROMPT,
      route: { resumable: false },
      script: [{ run: 'ok', events: 1, hang: true }],
      after: async (t, sink) => {
        await t.pass(3000);
        expect(sink.log).to.deep.equal([sink.log[0], '1;']);
        sink.leave();
      },
    });
    expect(got.calls).to.have.length(1);
    expect(got.log.at(-1)).to.equal('cut');
  });

  it('stops at the server once the client has gone', async () => {
    const got = await play({
      ...SHORT_PROMPT,
      script: [{ run: 'ok', hang: true }],
      after: async (t, sink) => {
        await t.settle();
        sink.leave();
      },
    });
    expect(got.calls).to.have.length(1);
    expect(got.log).to.deep.equal([]);
    expect(got.verdict?.code).to.equal('gone');
  });
});
