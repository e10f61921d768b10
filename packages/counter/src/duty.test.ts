import { Verdicts, type Ident, type World } from '@pumicebarrow/forms';
import type { ControlClient } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { Duty } from './duty.js';

const me: Ident = { id: 'e1', born: 'b', addr: '10.0.0.1:1', site: 's', role: 'counter' };
type Step = ['given', number] | ['held'] | ['unsure'] | ['wait', number] | ['drop'] | ['fence', number | null];
const cases: [string, Step[]][] = [
  [
    'the first lease ever acts at once',
    [
      ['given', 1],
      ['fence', 1],
    ],
  ],
  [
    'a lease taken over waits out the quiet time',
    [
      ['given', 2],
      ['fence', null],
      ['wait', 1500],
      ['given', 2],
      ['wait', 1400],
      ['given', 2],
      ['fence', null],
      ['wait', 200],
      ['fence', 2],
    ],
  ],
  [
    'a lease runs out unless renewed',
    [
      ['given', 1],
      ['wait', 1999],
      ['fence', 1],
      ['wait', 2],
      ['fence', null],
    ],
  ],
  ['a lease held by another gives nothing', [['held'], ['fence', null]]],
  ['an uncertain lease gives nothing', [['unsure'], ['fence', null]]],
  [
    'a renewal under the same fence waits no quiet time',
    [
      ['given', 1],
      ['wait', 1500],
      ['given', 1],
      ['fence', 1],
    ],
  ],
  [
    'a new fence after one lost waits the quiet time',
    [
      ['given', 1],
      ['wait', 2500],
      ['given', 3],
      ['fence', null],
    ],
  ],
  [
    'a daemon that slept drops its leases, and waits as for a new one',
    [
      ['given', 2],
      ['wait', 1900],
      ['given', 2],
      ['wait', 1900],
      ['given', 2],
      ['fence', 2],
      ['drop'],
      ['fence', null],
      ['given', 2],
      ['fence', null],
    ],
  ],
];

describe('Duty', () => {
  for (const [name, steps] of cases) {
    it(name, async () => {
      let now = 1000;
      let next: Step = ['held'];
      const world = {
        clock: { mono: () => now, wall: () => 0, after: () => () => undefined },
        tell: () => undefined,
      } as unknown as World;
      const line = {
        write: () =>
          Promise.resolve(
            next[0] === 'given'
              ? { ruling: { verdict: Verdicts.ran('claimed', ''), fence: next[1] }, term: 2000, sent: now }
              : {
                  ruling: { verdict: next[0] === 'held' ? Verdicts.not('held', '') : Verdicts.maybe('unsure', '') },
                  term: 0,
                  sent: now,
                },
          ),
      } as unknown as ControlClient;
      const duty = Duty.make(
        world,
        line,
        () => me,
        () => [me],
      );
      for (const s of steps) {
        if (s[0] === 'wait') now += s[1];
        else if (s[0] === 'drop') duty.drop();
        else if (s[0] === 'fence') expect(duty.fence('row:m1'), JSON.stringify(s)).to.equal(s[1]);
        else {
          next = s;
          duty.tick(['row:m1']);
          for (let i = 0; i < 5; i++) await Promise.resolve();
        }
      }
    });
  }
});
