import { Verdicts } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { withoutServerNumbers, SHORT_PROMPT, runScenario, type Scenario } from './scenario.test.js';
import { server } from './fixtures.test.js';

describe('request handling', () => {
  const cases: [
    string,
    Scenario,
    { calls: string[]; log?: string[]; code?: string; ran?: string; suspects?: number; turned?: string[] },
  ][] = [
    [
      'long prompts are prefilled first and then run from the handle',
      { script: [{ read: 'ok' }, { run: 'ok', events: 2 }] },
      { calls: ['read p1', 'run d from h1'], log: ['1;', '2;', 'end'] },
    ],
    [
      'short prompts are prefilled by the decode server',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1 }] },
      { calls: ['run d'], log: ['1;', 'end'] },
    ],
    [
      'a request that resumes after an event passes the event id on',
      { script: [{ read: 'ok' }, { run: 'ok', events: 1 }], request: { lastEventId: '7' } },
      { calls: ['read p1', 'run d from h1 after 7'], log: ['8;', 'end'] },
    ],
    [
      'after a failed prefill the decode server prefills the prompt itself',
      { script: [{ read: 'broken' }, { run: 'ok', events: 1 }] },
      { calls: ['read p1', 'run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      'nothing follows an interrupted prefill that the retry budget cannot cover',
      { script: [{ read: 'broken' }, { run: 'ok', events: 1 }], budget: 0 },
      { calls: ['read p1'], code: 'noserver', ran: 'no', suspects: 1 },
    ],
    [
      'a rejected prefill counts as a try',
      { script: [{ read: 'refused' }], route: { tries: 1 } },
      { calls: ['read p1'], code: 'noserver', ran: 'no' },
    ],
    [
      'a rejected run is sent to one other server',
      { ...SHORT_PROMPT, script: [{ run: 'refused' }, { run: 'refused' }] },
      { calls: ['run d', 'run d'], code: 'noserver', ran: 'no' },
    ],
    [
      'a rejected run is not sent again if the route allows one try',
      { ...SHORT_PROMPT, script: [{ run: 'refused' }], route: { tries: 1 } },
      { calls: ['run d'], code: 'noserver', ran: 'no' },
    ],
    [
      'a rejected run is not sent again without retry budget',
      { ...SHORT_PROMPT, script: [{ run: 'refused' }], budget: 0 },
      { calls: ['run d'], code: 'noserver', ran: 'no' },
    ],
    [
      'a send that never arrived costs no try, and another server fetches the KV cache',
      { script: [{ read: 'ok' }, { run: 'unsent' }, { run: 'ok', events: 1 }], route: { tries: 1 }, budget: 0 },
      { calls: ['read p1', 'run d from h1', 'run d from h1'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      'a send for which no connection is left costs no try and counts against no server',
      { script: [{ read: 'ok' }, { run: 'crowded' }, { run: 'ok', events: 1 }], route: { tries: 1 }, budget: 0 },
      { calls: ['read p1', 'run d from h1', 'run d from h1'], log: ['1;', 'end'] },
    ],
    [
      'a handle that could not be fetched does not count against the server that should have fetched it',
      { script: [{ read: 'ok' }, { run: 'refused' }, { run: 'ok', events: 1 }] },
      { calls: ['read p1', 'run d from h1', 'run d'], log: ['1;', 'end'], turned: [] },
    ],
    [
      'KV cache memory that no run fetched is released',
      { script: [{ read: 'ok' }, { run: 'unsent' }, { run: 'unsent' }] },
      { calls: ['read p1', 'run d from h1', 'run d from h1', 'free h1'], code: 'noserver', ran: 'no', suspects: 2 },
    ],
    [
      'a resumable stream continues after its last event, under the original response head',
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
      'a stream that cannot be resumed is aborted, never ended normally',
      { ...SHORT_PROMPT, script: [{ run: 'broken', events: 2 }], route: { resumable: false } },
      { calls: ['run d'], log: ['1;', '2;', 'cut'], suspects: 1 },
    ],
    [
      'a request that may have run and must not run again is reported as such',
      { ...SHORT_PROMPT, script: [{ run: 'broken' }], route: { resumable: false } },
      { calls: ['run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'after a run that may have happened, a rejection elsewhere does not promise that it did not',
      { ...SHORT_PROMPT, script: [{ run: 'broken' }, { run: 'refused' }] },
      { calls: ['run d', 'run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'an idempotent request runs again from the start while nothing has been sent to the client',
      { ...SHORT_PROMPT, script: [{ run: 'broken' }, { run: 'ok', events: 1 }], route: { kind: 'idempotent' } },
      { calls: ['run d', 'run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      'an idempotent response that has started is aborted',
      { ...SHORT_PROMPT, script: [{ run: 'broken', events: 1 }], route: { kind: 'idempotent', resumable: false } },
      { calls: ['run d'], log: ['1;', 'cut'], suspects: 1 },
    ],
    [
      'a second response with another status is not appended to the first',
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
      "a server's own error is passed on unchanged",
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 500 }], route: { resumable: false } },
      { calls: ['run d'], log: ['1;', 'end'], suspects: 1 },
    ],
    [
      "a server's own error is not passed on if another server may run the request",
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
      "a server's 503 that does not say that the request did not run is not passed on",
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 503 }], route: { resumable: false } },
      { calls: ['run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'a 429 that does not say so is not passed on either',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 429 }], route: { kind: 'once', resumable: false } },
      { calls: ['run d'], code: 'broken', ran: 'maybe', suspects: 1 },
    ],
    [
      'a request without a route gets its own verdict',
      { script: [], request: { path: '/other/' } },
      { calls: [], code: 'unknownroute' },
    ],
    [
      'a request waits briefly for a fresh list',
      { ...SHORT_PROMPT, script: [{ run: 'ok', events: 1 }], listTooOld: true, listRefreshedAfterMs: 400 },
      { calls: ['run d'], log: ['1;', 'end'] },
    ],
    [
      'nothing is sent under a list that is too old',
      { script: [], listTooOld: true },
      { calls: [], code: 'oldlist', ran: 'no' },
    ],
    [
      'nothing is sent while the configuration is not confirmed',
      { script: [], unavailable: Verdicts.notRun('asking', 'learning', 0.2) },
      { calls: [], code: 'asking', ran: 'no' },
    ],
    [
      'a request for which there is no server is refused at once',
      { ...SHORT_PROMPT, script: [], servers: [server('p1', 'prefill')] },
      { calls: [], code: 'noserver', ran: 'no' },
    ],
    [
      'nothing is sent to a server that is draining',
      { ...SHORT_PROMPT, script: [], servers: [server('d1', 'decode', { state: 'draining' })] },
      { calls: [], code: 'noserver', ran: 'no' },
    ],
  ];
  for (const [name, setting, want] of cases) {
    it(name, async () => {
      const got = await runScenario(setting);
      expect(withoutServerNumbers(got.calls)).to.deep.equal(want.calls);
      if (want.log) expect(got.log.slice(1)).to.deep.equal(want.log);
      else expect(got.log).to.deep.equal([]);
      expect(got.verdict?.code).to.equal(want.code);
      if (want.ran) expect(got.verdict?.ran).to.equal(want.ran);
      expect(got.suspected).to.have.length(want.suspects ?? 0);
      expect([...got.loads.ownLoads()]).to.deep.equal([]);
      if (want.turned) expect(got.turned).to.deep.equal(want.turned);
    });
  }
  it('defers a first attempt while the prefill servers are far behind and serves its retry', async () => {
    const busy = { p1: 60_000, d1: 60_000, d2: 60_000 };
    const first = await runScenario({ script: [{ read: 'ok' }], queuedTokens: busy });
    expect(first.calls).to.deep.equal([]);
    expect(first.log).to.deep.equal([]);
    expect(first.verdict).to.include({ code: 'deferred', ran: 'no' });
    expect(first.verdict?.after).to.be.within(0.3, 2.6);
    const back = await runScenario({
      script: [{ read: 'ok' }, { run: 'ok', events: 1 }],
      queuedTokens: busy,
      retryTimeoutMs: 6000,
    });
    expect(withoutServerNumbers(back.calls)).to.deep.equal(['read p1', 'run d from h1']);
    expect(back.log.at(-1)).to.equal('end');
  });
  it('moves a silent resumable stream to another server and suspects the first', async () => {
    const got = await runScenario({
      ...SHORT_PROMPT,
      script: [
        { run: 'ok', events: 1, hang: true },
        { run: 'ok', events: 1 },
      ],
      duringRequest: async (t) => t.advance(2000),
    });
    expect(withoutServerNumbers(got.calls)).to.deep.equal(['run d', 'run d after 1']);
    expect(got.log.slice(1)).to.deep.equal(['1;', '2;', 'end']);
    expect(got.suspected).to.have.length(1);
  });
  it('keeps waiting for a silent stream that cannot be resumed', async () => {
    const got = await runScenario({
      ...SHORT_PROMPT,
      route: { resumable: false },
      script: [{ run: 'ok', events: 1, hang: true }],
      duringRequest: async (t, output) => {
        await t.advance(3000);
        expect(output.log).to.deep.equal([output.log[0], '1;']);
        output.disconnect();
      },
    });
    expect(got.calls).to.have.length(1);
    expect(got.log.at(-1)).to.equal('cut');
  });
  it('aborts the run at the server once the client has disconnected', async () => {
    const got = await runScenario({
      ...SHORT_PROMPT,
      script: [{ run: 'ok', hang: true }],
      duringRequest: async (t, output) => {
        await t.settle();
        output.disconnect();
      },
    });
    expect(got.calls).to.have.length(1);
    expect(got.log).to.deep.equal([]);
    expect(got.verdict?.code).to.equal('gone');
  });
});
