import { Meters, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { RequestMeter } from './requestmeter.js';

type Deed = Parameters<World['tell']>[0];
type Step = [ms: number, d: Deed];
const of = (what: string, more: object = {}): Deed => ({ what, key: 'k', attempt: 1, ...more });
const admitted = of('gated', { rule: 'verdict' });

/** What the meter shows after some deeds, each so many ms after the one before. */
const shown = async (steps: readonly Step[]): Promise<string> => {
  let now = 0;
  const meters = Meters.make();
  const meter = RequestMeter.make(meters, () => now);
  const told: Deed[] = [];
  const world = meter.listen({ tell: (d: Deed) => told.push(d) } as unknown as World);
  for (const [ms, d] of steps) {
    now += ms;
    world.tell(d);
  }
  expect(told.length).to.equal(steps.length);
  return meters.text();
};

describe('RequestMeter', () => {
  const cases: [string, Step[], string[]][] = [
    [
      'a request by rule and verdict',
      [
        [0, admitted],
        [900, of('visit', { ran: 'yes', code: 'ran' })],
      ],
      [
        'pumicebarrow_visits_total{rule="verdict",ran="yes",code="ran"} 1',
        'pumicebarrow_visit_seconds_sum{rule="verdict"} 0.9',
      ],
    ],
    [
      'a request that was refused at admission, without a rule',
      [[0, of('visit', { ran: 'no', code: 'full' })]],
      ['pumicebarrow_visits_total{rule="none",ran="no",code="full"} 1'],
    ],
    [
      'the wait once, up to the first send',
      [
        [0, admitted],
        [250, of('send', { part: 'prefill' })],
        [250, of('send', { part: 'decode' })],
      ],
      ['pumicebarrow_wait_seconds_sum{rule="verdict"} 0.25', 'pumicebarrow_wait_seconds_count{rule="verdict"} 1'],
    ],
    [
      'the first piece',
      [
        [0, admitted],
        [500, of('streams')],
      ],
      ['pumicebarrow_first_piece_seconds_sum{rule="verdict"} 0.5'],
    ],
    [
      'extra tries by what was met',
      [
        [0, of('extra', { code: 'lapsed' })],
        [0, of('extra', { code: 'lapsed' })],
      ],
      ['pumicebarrow_extra_tries_total{code="lapsed"} 2'],
    ],
    [
      'versions by how they came',
      [[0, of('held', { via: 'sender' })]],
      ['pumicebarrow_docs_held_total{via="sender"} 1'],
    ],
  ];
  for (const [name, steps, want] of cases) {
    it(`counts ${name}`, async () => {
      const text = await shown(steps);
      for (const line of want) expect(text).to.contain(`${line}\n`);
    });
  }
  it('remembers no more requests than its bound, and counts one that it forgot', () => {
    const meter = RequestMeter.make(Meters.make(), () => 0);
    const world = meter.listen({ tell: () => undefined } as unknown as World);
    for (let i = 0; i < 10_000; i++) world.tell({ ...admitted, key: `k${i}` });
    expect(meter.under()).to.equal(8192);
    world.tell({ ...of('visit', { ran: 'yes', code: 'ran' }), key: 'k0' });
    expect(meter.under()).to.equal(8192);
  });
  it('times the pieces of a stream', async () => {
    let now = 0;
    const meters = Meters.make();
    const meter = RequestMeter.make(meters, () => now);
    meter.listen({ tell: () => undefined } as unknown as World).tell(admitted);
    const sink = meter.timed({ key: 'k', attempt: 1 }, { piece: () => undefined } as never);
    for (const at of [10, 30, 70]) {
      now = at;
      sink.piece(1, 'x');
    }
    expect(await meters.text()).to.contain('pumicebarrow_between_pieces_seconds_sum{rule="verdict"} 0.06\n');
  });
});
