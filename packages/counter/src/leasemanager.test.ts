import { Verdicts, type Ident, type World } from '@pumicebarrow/forms';
import type { ControlClient } from '@pumicebarrow/registry';
import { expect } from 'chai';
import { LeaseManager } from './leasemanager.js';

const self: Ident = { id: 'e1', born: 'b', addr: '10.0.0.1:1', site: 's', role: 'counter' };
/** A reply of the control replicas to a lease request, time that passes, or an expected fencing token. */
type Step = ['given', number] | ['held'] | ['unsure'] | ['wait', number] | ['drop'] | ['fence', number | null];
const cases: [string, Step[]][] = [
  [
    'the first lease ever of a name is used at once',
    [
      ['given', 1],
      ['fence', 1],
    ],
  ],
  [
    'a lease taken over is used only after the takeover delay',
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
    'a lease expires unless renewed',
    [
      ['given', 1],
      ['wait', 1999],
      ['fence', 1],
      ['wait', 2],
      ['fence', null],
    ],
  ],
  ['a lease held by another daemon gives no fencing token', [['held'], ['fence', null]]],
  ['a lease request with an uncertain outcome gives no fencing token', [['unsure'], ['fence', null]]],
  [
    'a renewal under the same fencing token has no takeover delay',
    [
      ['given', 1],
      ['wait', 1500],
      ['given', 1],
      ['fence', 1],
    ],
  ],
  [
    'a new fencing token after an expired lease has the takeover delay',
    [
      ['given', 1],
      ['wait', 2500],
      ['given', 3],
      ['fence', null],
    ],
  ],
  [
    'a daemon that was suspended drops its leases, and has the takeover delay again',
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

describe('LeaseManager', () => {
  for (const [name, steps] of cases) {
    it(name, async () => {
      let now = 1000;
      let reply: Step = ['held'];
      const world = {
        clock: { mono: () => now, wall: () => 0, after: () => () => undefined },
        recordEvent: () => undefined,
      } as unknown as World;
      const controlClient = {
        write: () =>
          Promise.resolve(
            reply[0] === 'given'
              ? { ruling: { verdict: Verdicts.ran('claimed', ''), fence: reply[1] }, term: 2000, sent: now }
              : {
                  ruling: {
                    verdict: reply[0] === 'held' ? Verdicts.notRun('held', '') : Verdicts.maybeRun('unsure', ''),
                  },
                  term: 0,
                  sent: now,
                },
          ),
      } as unknown as ControlClient;
      const leases = LeaseManager.make(
        world,
        controlClient,
        () => self,
        () => [self],
      );
      for (const step of steps) {
        if (step[0] === 'wait') now += step[1];
        else if (step[0] === 'drop') leases.forgetAll();
        else if (step[0] === 'fence') expect(leases.fence('row:m1'), JSON.stringify(step)).to.equal(step[1]);
        else {
          reply = step;
          leases.tick(['row:m1']);
          for (let i = 0; i < 5; i++) await Promise.resolve();
        }
      }
    });
  }
});
