import { expect } from 'chai';
import fc from 'fast-check';
import { server, type ScriptedResult } from './fixtures.test.js';
import { SHORT_PROMPT, runScenario, withoutServerNumbers, type Scenario } from './scenario.test.js';

type ScriptedRun = Extract<ScriptedResult, { run: unknown }>;
const DECODE_SERVERS = ['d1', 'd2', 'd3'].map((id) => server(id, 'decode'));
/** Longer than any request of these scenarios takes. */
const WHOLE_REQUEST_MS = 9000;

const piecesOf = (run: ScriptedRun): number => (run.events ?? 0) + (run.pauseMs === undefined ? 0 : 1);
/** Each server's part in a request, by the scripted client's calls. */
const runsByServer = (calls: readonly string[], script: readonly ScriptedRun[]) =>
  new Map(
    calls.map((call, i) => {
      const [, id = '', after = '0'] = /^run (\S+)(?: after (\d+))?$/.exec(call) ?? [];
      return [id, { id, after: Number(after), ...script[i]! }];
    }),
  );

// Guards against one complete looking response that was made of the parts of two servers' answers.
describe('answers that break off', () => {
  const cases: [string, Scenario, { calls: string[]; log: string[] }][] = [
    [
      'are cut on a resumable route if they are no stream of events',
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'broken', events: 2, plain: true, status: 404 },
          { run: 'ok', events: 3, plain: true, status: 404 },
        ],
      },
      { calls: ['run d'], log: ['d.1;', 'd.2;', 'cut'] },
    ],
    [
      'are not continued by a plain answer if they are a stream of events',
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'broken', events: 1 },
          { run: 'ok', events: 1, plain: true },
        ],
      },
      { calls: ['run d', 'run d after 1'], log: ['1;', 'cut'] },
    ],
    [
      'are not continued by another server after an event without an id',
      {
        ...SHORT_PROMPT,
        script: [
          { run: 'broken', events: 1, withoutIds: true },
          { run: 'ok', events: 1 },
        ],
      },
      { calls: ['run d'], log: ['1;', 'cut'] },
    ],
  ];
  for (const [name, scenario, expected] of cases) {
    it(name, async () => {
      const got = await runScenario(scenario);
      expect(withoutServerNumbers(got.calls)).to.deep.equal(expected.calls);
      expect(got.log.slice(1).map((line) => line.replace(/^d\d/, 'd'))).to.deep.equal(expected.log);
    });
  }
  it('are not run elsewhere while they are silent, if they are no stream of events', async () => {
    const got = await runScenario({
      ...SHORT_PROMPT,
      script: [
        { run: 'ok', events: 1, plain: true, pauseMs: 1900 },
        { run: 'ok', events: 1, plain: true },
      ],
      duringRequest: (time) => time.advance(WHOLE_REQUEST_MS),
    });
    expect(got.calls).to.have.length(1);
    expect(got.log.slice(1).map((line) => line.replace(/^d\d/, 'd'))).to.deep.equal(['d.1;', 'd.2;', 'end']);
  });
  it('are never joined with parts of another answer, nor complete without their last part', async () => {
    const answer: fc.Arbitrary<ScriptedRun> = fc.record(
      {
        run: fc.constantFrom('ok' as const, 'broken' as const),
        events: fc.integer({ min: 0, max: 3 }),
        plain: fc.boolean(),
        status: fc.constantFrom(200, 200, 404, 500),
        pauseMs: fc.constantFrom(200, 1500, 3000),
      },
      { requiredKeys: ['run', 'events', 'plain', 'status'] },
    );
    const rejection = fc.constant<ScriptedRun>({ run: 'refused' });
    const scriptedRun = fc.oneof({ weight: 4, arbitrary: answer }, { weight: 1, arbitrary: rejection });
    const route = fc.constantFrom(
      { kind: 'stream' as const, resumable: true, tries: 3 },
      { kind: 'stream' as const, resumable: false, tries: 2 },
      { kind: 'idempotent' as const, resumable: false, tries: 3 },
    );
    await fc.assert(
      fc.asyncProperty(fc.array(scriptedRun, { minLength: 3, maxLength: 3 }), route, async (script, chosenRoute) => {
        const got = await runScenario({
          ...SHORT_PROMPT,
          ...{ route: chosenRoute, servers: DECODE_SERVERS, budgetSlack: 100, script: [...script] },
          duringRequest: (time) => time.advance(WHOLE_REQUEST_MS),
        });
        const [head, ...rest] = got.log;
        if (head === undefined) return;
        const [status = '', headServer = ''] = head.split(' ');
        const pieces = rest.slice(0, -1);
        const runs = runsByServer(got.calls, script);
        const isPlain = runs.get(headServer)!.plain;
        const prefix = isPlain ? `${headServer}.` : '';
        expect(pieces).to.deep.equal(pieces.map((_, i) => `${prefix}${i + 1};`));
        expect(rest.at(-1)).to.be.oneOf(['end', 'cut']);
        if (rest.at(-1) === 'cut') return;
        const complete = [...runs.values()].filter(
          (run) =>
            run.run === 'ok' &&
            (run.plain ?? false) === isPlain &&
            String(run.status) === status &&
            run.after + piecesOf(run) === pieces.length &&
            (!isPlain || run.id === headServer),
        );
        expect(complete).to.not.deep.equal([]);
      }),
      { numRuns: 400, seed: 53 },
    );
  });
});
