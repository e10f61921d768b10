import { Err, Ok, type Clock } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { ModelServerClient } from './modelserverclient.js';
import { ServerClockTable } from './serverclocktable.js';
import type { ListedServer } from './listedserver.js';

const server: ListedServer = { id: 'm1', addr: '10.0.0.9:1', site: 's', born: 'one', mark: 'serving' };
type Step =
  | ['hail', { clock: number; born?: string; takes?: number }]
  | ['silent']
  | ['wait', number]
  | ['drop']
  | ['bound', number, number | null];
const cases: [string, Step[]][] = [
  ['there is no bound before the first reading', [['bound', 2000, null]]],
  [
    "a bound is the daemon's deadline translated to the server's clock",
    [
      ['hail', { clock: 50 }],
      ['bound', 3000, 2050],
    ],
  ],
  [
    'the delay of a reply makes the bound earlier, never later',
    [
      ['hail', { clock: 50, takes: 300 }],
      ['bound', 3000, 1750],
    ],
  ],
  [
    'an old reading translates a deadline as well as a new one',
    [
      ['hail', { clock: 50 }],
      ['wait', 9000],
      ['bound', 12_000, 11_050],
    ],
  ],
  [
    'a deadline that has passed gives no bound',
    [
      ['hail', { clock: 50 }],
      ['wait', 900],
      ['bound', 1900, null],
    ],
  ],
  [
    'a reading of another incarnation gives no bound',
    [
      ['hail', { clock: 50, born: 'two' }],
      ['bound', 3000, null],
    ],
  ],
  [
    'a probe without a reply leaves the last reading in force',
    [['hail', { clock: 50 }], ['silent'], ['bound', 3000, 2050]],
  ],
  ['after a suspension no reading is valid', [['hail', { clock: 50 }], ['drop'], ['bound', 3000, null]]],
  [
    'a reading expires after half a minute',
    [
      ['hail', { clock: 50 }],
      ['wait', 30_000],
      ['bound', 40_000, null],
    ],
  ],
];

describe('ServerClockTable', () => {
  for (const [name, steps] of cases) {
    it(name, async () => {
      let now = 1000;
      let reply: Step = ['silent'];
      const clock: Clock = { mono: () => now, wall: () => 0, after: () => () => undefined };
      const back = {
        fetchState: () => {
          if (reply[0] !== 'hail') return Promise.resolve(Err({ ran: 'maybe', code: 'broken', dark: true, why: '' }));
          now += reply[1].takes ?? 0;
          const incarnation = reply[1].born ?? 'one';
          return Promise.resolve(
            Ok({
              id: 'm1',
              born: incarnation,
              part: 'none',
              stage: 'serving',
              fence: 0,
              step: 0,
              busy: 0,
              clock: reply[1].clock,
            }),
          );
        },
      } as unknown as ModelServerClient;
      const clocks = ServerClockTable.make(
        clock,
        back,
        () => [server],
        () => undefined,
      );
      for (const step of steps) {
        if (step[0] === 'wait') now += step[1];
        else if (step[0] === 'drop') clocks.forgetAll();
        else if (step[0] === 'bound') expect(clocks.bound(server, step[1])?.by ?? null).to.equal(step[2]);
        else {
          reply = step;
          await clocks.probe(server, 500);
        }
      }
    });
  }
  it('a probe during which the daemon was suspended is ignored', async () => {
    let answer: (v: unknown) => void = () => undefined;
    const back = {
      fetchState: () =>
        new Promise((done) => {
          answer = done;
        }),
    } as unknown as ModelServerClient;
    const clocks = ServerClockTable.make(
      { mono: () => 0, wall: () => 0, after: () => () => undefined },
      back,
      () => [server],
      () => undefined,
    );
    const probe = clocks.probe(server, 500);
    clocks.forgetAll();
    answer(Ok({ id: 'm1', born: 'one', part: 'none', stage: 'serving', fence: 0, step: 0, busy: 0, clock: 5 }));
    await probe;
    expect(clocks.isKnown(server)).to.equal(false);
  });
});
