import { Err, Ok, type Clock } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { Back } from './back.js';
import { Hails } from './hails.js';
import type { Listed } from './listed.js';

const m1: Listed = { id: 'm1', addr: '10.0.0.9:1', site: 's', born: 'one', mark: 'serving' };
type Step =
  | ['hail', { clock: number; born?: string; takes?: number }]
  | ['silent']
  | ['wait', number]
  | ['drop']
  | ['bound', number, number | null];
const cases: [string, Step[]][] = [
  ['nothing is sent before a first exchange', [['bound', 2000, null]]],
  [
    "a bound is our own, on the server's clock",
    [
      ['hail', { clock: 50 }],
      ['bound', 3000, 2050],
    ],
  ],
  [
    'the time a reply took makes the bound earlier, never later',
    [
      ['hail', { clock: 50, takes: 300 }],
      ['bound', 3000, 1750],
    ],
  ],
  [
    'an exchange long ago bounds as well as a new one',
    [
      ['hail', { clock: 50 }],
      ['wait', 9000],
      ['bound', 12_000, 11_050],
    ],
  ],
  [
    'a bound that has gone by is none',
    [
      ['hail', { clock: 50 }],
      ['wait', 900],
      ['bound', 1900, null],
    ],
  ],
  [
    'an exchange with another life is none',
    [
      ['hail', { clock: 50, born: 'two' }],
      ['bound', 3000, null],
    ],
  ],
  ['one that does not reply leaves what was known', [['hail', { clock: 50 }], ['silent'], ['bound', 3000, 2050]]],
  ['after a sleep nothing is known', [['hail', { clock: 50 }], ['drop'], ['bound', 3000, null]]],
  [
    'half a minute without a word is too long',
    [
      ['hail', { clock: 50 }],
      ['wait', 30_000],
      ['bound', 40_000, null],
    ],
  ],
];

describe('Hails', () => {
  for (const [name, steps] of cases) {
    it(name, async () => {
      let now = 1000;
      let next: Step = ['silent'];
      const clock: Clock = { mono: () => now, wall: () => 0, after: () => () => undefined };
      const back = {
        state: () => {
          if (next[0] !== 'hail') return Promise.resolve(Err({ ran: 'maybe', code: 'broken', dark: true, why: '' }));
          now += next[1].takes ?? 0;
          const born = next[1].born ?? 'one';
          return Promise.resolve(
            Ok({ id: 'm1', born, part: 'none', stage: 'serving', fence: 0, step: 0, busy: 0, clock: next[1].clock }),
          );
        },
      } as unknown as Back;
      const hails = Hails.make(
        clock,
        back,
        () => [m1],
        () => undefined,
      );
      for (const s of steps) {
        if (s[0] === 'wait') now += s[1];
        else if (s[0] === 'drop') hails.drop();
        else if (s[0] === 'bound') expect(hails.bound(m1, s[1])?.by ?? null).to.equal(s[2]);
        else {
          next = s;
          await hails.ask(m1, 500);
        }
      }
    });
  }
  it('an exchange that a sleep fell into counts for nothing', async () => {
    let free: (v: unknown) => void = () => undefined;
    const back = {
      state: () =>
        new Promise((done) => {
          free = done;
        }),
    } as unknown as Back;
    const hails = Hails.make(
      { mono: () => 0, wall: () => 0, after: () => () => undefined },
      back,
      () => [m1],
      () => undefined,
    );
    const job = hails.ask(m1, 500);
    hails.drop();
    free(Ok({ id: 'm1', born: 'one', part: 'none', stage: 'serving', fence: 0, step: 0, busy: 0, clock: 5 }));
    await job;
    expect(hails.known(m1)).to.equal(false);
  });
});
