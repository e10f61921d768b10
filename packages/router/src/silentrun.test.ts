import { expect } from 'chai';
import { server } from './fixtures.test.js';
import { SHORT_PROMPT, runScenario, withoutServerNumbers, type Scenario } from './scenario.test.js';

type Expected = { calls: string[]; log: string[]; ended?: number };
/** A pause that is longer than a stream may be silent before another server is tried, and the time after it. */
const PAUSE_MS = 1900;
const AFTER_PAUSE_MS = 2000;
const passPause: Scenario['duringRequest'] = async (time) => time.advance(AFTER_PAUSE_MS);
const silent = (more: Partial<Scenario>): Scenario => ({
  ...SHORT_PROMPT,
  duringRequest: passPause,
  script: [],
  ...more,
});
const THREE_DECODE_SERVERS = ['d1', 'd2', 'd3'].map((id) => server(id, 'decode'));

// Guards against streams that were cut because their server was silent, although no other server went on with them.
describe('a run that is silent for a while', () => {
  const cases: [string, Scenario, Expected][] = [
    [
      'goes on at its server if the retry budget covers no second run',
      silent({ script: [{ run: 'ok', events: 1, pauseMs: PAUSE_MS }], budget: 0 }),
      { calls: ['run d'], log: ['1;', '2;', 'end'] },
    ],
    [
      'goes on at its server if there is no other server',
      silent({ script: [{ run: 'ok', events: 1, pauseMs: PAUSE_MS }], servers: [server('d1', 'decode')] }),
      { calls: ['run d'], log: ['1;', '2;', 'end'] },
    ],
    [
      'goes on at its server if the other server rejects it',
      silent({ script: [{ run: 'ok', events: 1, pauseMs: PAUSE_MS }, { run: 'refused' }] }),
      { calls: ['run d', 'run d after 1'], log: ['1;', '2;', 'end'] },
    ],
    [
      'goes on at its server if the other server breaks off',
      silent({ script: [{ run: 'ok', events: 1, pauseMs: PAUSE_MS }, { run: 'broken' }] }),
      { calls: ['run d', 'run d after 1'], log: ['1;', '2;', 'end'] },
    ],
    [
      'goes on at its server if the other server answers with an error',
      silent({
        script: [
          { run: 'ok', events: 1, pauseMs: PAUSE_MS },
          { run: 'ok', events: 1, status: 500 },
        ],
      }),
      { calls: ['run d', 'run d after 1'], log: ['1;', '2;', 'end'] },
    ],
    [
      'goes on at its server if that one sends before the other server does, and the other run is ended',
      silent({
        script: [
          { run: 'ok', events: 1, pauseMs: PAUSE_MS },
          { run: 'ok', hang: true },
        ],
      }),
      { calls: ['run d', 'run d after 1'], log: ['1;', '2;', 'end'], ended: 1 },
    ],
    [
      'goes on at the other server if its own breaks off meanwhile',
      silent({
        script: [
          { run: 'broken', events: 1, pauseMs: 1500, silentAtEnd: true },
          { run: 'ok', pauseMs: 500 },
        ],
      }),
      { calls: ['run d', 'run d after 1'], log: ['1;', '2;', 'end'] },
    ],
    [
      'of an idempotent route is answered late rather than given up without retry budget',
      silent({
        route: { kind: 'idempotent', resumable: false },
        script: [{ run: 'ok', pauseMs: 2600 }],
        budget: 0,
        duringRequest: async (time) => time.advance(3000),
      }),
      { calls: ['run d'], log: ['1;', 'end'] },
    ],
    [
      'of an idempotent route is answered by whichever server comes first, under that server’s head',
      silent({
        route: { kind: 'idempotent', resumable: false },
        script: [
          { run: 'ok', pauseMs: 3500 },
          { run: 'ok', pauseMs: 300 },
        ],
        listRefreshedAfterMs: 1500,
        duringRequest: async (time) => time.advance(2500),
      }),
      { calls: ['run d', 'run d'], log: ['1;', 'end'], ended: 1 },
    ],
  ];
  for (const [name, scenario, expected] of cases) {
    it(name, async () => {
      const got = await runScenario(scenario);
      expect(withoutServerNumbers(got.calls)).to.deep.equal(expected.calls);
      expect(got.log.slice(1)).to.deep.equal(expected.log);
      expect(got.ended).to.have.length(expected.ended ?? 0);
      expect(got.verdict).to.equal(null);
      expect([...got.loads.ownLoads()]).to.deep.equal([]);
    });
  }
  it('ends at its server only once the other server sends an event', async () => {
    const got = await runScenario(
      silent({
        script: [
          { run: 'ok', events: 1, hang: true },
          { run: 'ok', pauseMs: 300 },
        ],
        duringRequest: async (time, output, ended) => {
          await time.advance(1500);
          expect([output.log.slice(1), ended]).to.deep.equal([['1;'], []]);
          await time.advance(400);
        },
      }),
    );
    expect(got.ended).to.deep.equal([got.calls[0]!.split(' ')[1]]);
    expect(got.log.slice(1)).to.deep.equal(['1;', '2;', 'end']);
  });
  it('costs no retry if the second run never reached a server', async () => {
    const script: Scenario['script'] = [{ run: 'ok', events: 1, pauseMs: PAUSE_MS }, { run: 'unsent' }];
    const got = await runScenario(silent({ script }));
    const without = await runScenario(silent({ script: [script[0]!], servers: [server('d1', 'decode')] }));
    expect(got.calls).to.have.length(2);
    expect(got.log.at(-1)).to.equal('end');
    expect(got.level).to.equal(without.level);
  });
  it('is tried at no more servers than the route allows', async () => {
    const got = await runScenario(
      silent({
        script: [{ run: 'ok', events: 1, pauseMs: PAUSE_MS }, { run: 'refused' }, { run: 'ok', hang: true }],
        servers: THREE_DECODE_SERVERS,
        route: { tries: 3 },
        budgetSlack: 100,
      }),
    );
    expect(withoutServerNumbers(got.calls)).to.deep.equal(['run d', 'run d after 1', 'run d after 1']);
    expect(got.ended).to.have.length(1);
    expect(new Set(got.calls.map((call) => call.split(' ')[1])).size).to.equal(3);
    expect(got.log.slice(1)).to.deep.equal(['1;', '2;', 'end']);
  });
  it('ends at both servers once the client has disconnected', async () => {
    const got = await runScenario(
      silent({
        script: [
          { run: 'ok', events: 1, hang: true },
          { run: 'ok', hang: true },
        ],
        duringRequest: async (time, output) => {
          await time.advance(PAUSE_MS);
          output.disconnect();
        },
      }),
    );
    expect(withoutServerNumbers(got.calls)).to.deep.equal(['run d', 'run d after 1']);
    expect(got.ended).to.have.length(2);
    expect(got.log.at(-1)).to.equal('cut');
    expect([...got.loads.ownLoads()]).to.deep.equal([]);
  });
  it("passes on a server's own error where the retry budget covers no second run", async () => {
    const got = await runScenario({ ...SHORT_PROMPT, script: [{ run: 'ok', events: 1, status: 500 }], budget: 0 });
    expect(got.calls).to.have.length(1);
    expect(got.log[0]).to.match(/^500 /);
    expect(got.log.slice(1)).to.deep.equal(['1;', 'end']);
  });
});
