import { MetricsRegistry, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { RequestMetrics } from './requestmetrics.js';

type Event = Parameters<World['recordEvent']>[0];
type Step = [ms: number, d: Event];
const requestEvent = (what: string, more: object = {}): Event => ({ what, key: 'k', attempt: 1, ...more });
const admitted = requestEvent('gated', { rule: 'verdict' });

/** Metrics text after some events, each so many ms after the one before. */
const metricsAfter = async (steps: readonly Step[]): Promise<string> => {
  let now = 0;
  const meters = MetricsRegistry.make();
  const meter = RequestMetrics.make(meters, () => now);
  const forwarded: Event[] = [];
  const world = meter.countEvents({ recordEvent: (event: Event) => forwarded.push(event) } as unknown as World);
  for (const [ms, event] of steps) {
    now += ms;
    world.recordEvent(event);
  }
  expect(forwarded.length).to.equal(steps.length);
  return meters.render();
};

describe('RequestMetrics', () => {
  const cases: [string, Step[], string[]][] = [
    [
      'a request by route and verdict',
      [
        [0, admitted],
        [900, requestEvent('visit', { ran: 'yes', code: 'ran' })],
      ],
      [
        'pumicebarrow_visits_total{rule="verdict",ran="yes",code="ran"} 1',
        'pumicebarrow_visit_seconds_sum{rule="verdict"} 0.9',
      ],
    ],
    [
      'a request that was refused at admission, without a route',
      [[0, requestEvent('visit', { ran: 'no', code: 'full' })]],
      ['pumicebarrow_visits_total{rule="none",ran="no",code="full"} 1'],
    ],
    [
      'the wait once, up to the first send',
      [
        [0, admitted],
        [250, requestEvent('send', { part: 'prefill' })],
        [250, requestEvent('send', { part: 'decode' })],
      ],
      ['pumicebarrow_wait_seconds_sum{rule="verdict"} 0.25', 'pumicebarrow_wait_seconds_count{rule="verdict"} 1'],
    ],
    [
      'the first piece',
      [
        [0, admitted],
        [500, requestEvent('streams')],
      ],
      ['pumicebarrow_first_piece_seconds_sum{rule="verdict"} 0.5'],
    ],
    [
      'retries by the code of the fault',
      [
        [0, requestEvent('extra', { code: 'lapsed' })],
        [0, requestEvent('extra', { code: 'lapsed' })],
      ],
      ['pumicebarrow_extra_tries_total{code="lapsed"} 2'],
    ],
    [
      'record versions by how they were received',
      [[0, requestEvent('held', { via: 'sender' })]],
      ['pumicebarrow_docs_held_total{via="sender"} 1'],
    ],
  ];
  for (const [name, steps, expectedLines] of cases) {
    it(`counts ${name}`, async () => {
      const text = await metricsAfter(steps);
      for (const line of expectedLines) expect(text).to.contain(`${line}\n`);
    });
  }
  it('tracks no more requests than its limit, and counts one that it dropped', () => {
    const meter = RequestMetrics.make(MetricsRegistry.make(), () => 0);
    const world = meter.countEvents({ recordEvent: () => undefined } as unknown as World);
    for (let i = 0; i < 10_000; i++) world.recordEvent({ ...admitted, key: `k${i}` });
    expect(meter.trackedCount()).to.equal(8192);
    world.recordEvent({ ...requestEvent('visit', { ran: 'yes', code: 'ran' }), key: 'k0' });
    expect(meter.trackedCount()).to.equal(8192);
  });
  it('measures the time between the pieces of a stream', async () => {
    let now = 0;
    const meters = MetricsRegistry.make();
    const meter = RequestMetrics.make(meters, () => now);
    meter.countEvents({ recordEvent: () => undefined } as unknown as World).recordEvent(admitted);
    const writer = meter.timePieces({ key: 'k', attempt: 1 }, { writePiece: () => undefined } as never);
    for (const at of [10, 30, 70]) {
      now = at;
      writer.writePiece(1, 'x');
    }
    expect(await meters.render()).to.contain('pumicebarrow_between_pieces_seconds_sum{rule="verdict"} 0.06\n');
  });
});
