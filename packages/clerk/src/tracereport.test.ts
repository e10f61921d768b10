import { expect } from 'chai';
import { TraceReport } from './tracereport.js';

type Trace = Parameters<typeof TraceReport.formatLines>[0];
type Mark = [number, number];
const step = (mark: Mark, wall: number, via: string, from: string, hops: number) => ({
  ...{ mark, via, from, origin: 'k1', hops, age: 0, round: 9, wall },
});
const daemon = (id: string, holds: Mark | null, steps: Trace['daemons'][number]['steps'] = [], reached = true) => ({
  ...{ id, reached, holds, steps },
});

describe('TraceReport', () => {
  const daemons = [
    daemon('k1', [3, 2], [step([3, 1], 1000, 'origin', 'k1', 0), step([3, 2], 2000, 'origin', 'k1', 0)]),
    daemon('r1', [3, 2], [step([3, 1], 1100, 'sender', 'k1', 1), step([3, 2], 2100, 'sender', 'k1', 1)]),
    daemon('r2', [3, 1], [step([3, 1], 1200, 'sender', 'r1', 2)]),
    daemon('r3', [4, 0]),
    daemon('r4', null, [], false),
  ];
  it('with a step counts daemons that hold that step or a newer one', () => {
    expect(TraceReport.formatLines({ name: 'list', title: 'list 3.2', version: 3, step: 2, daemons })).to.deep.equal([
      'list 3.2: 3 of 5 daemons hold it or a newer one.',
      '  +    0 ms  k1     made it, in its round 9.',
      '  +  100 ms  r1     pulled it from the sender from k1, hop 1, in its round 9.',
      '  Hold it or a newer one, but no longer remember how: r3.',
      '  Missing: r2 (holds 3.1).',
      '  Unreachable, and not counted: r4.',
    ]);
  });
  it('without a step shows the last step of that version at each daemon', () => {
    expect(TraceReport.formatLines({ name: 'row:m1', version: 3, daemons })).to.deep.equal([
      'row:m1 3: 4 of 5 daemons hold it or a newer one.',
      '  +    0 ms  r2     pulled it from the sender from r1, hop 2, in its round 9.',
      '  +  800 ms  k1     made it, in its round 9.',
      '  +  900 ms  r1     pulled it from the sender from k1, hop 1, in its round 9.',
      '  Hold it or a newer one, but no longer remember how: r3.',
      '  Unreachable, and not counted: r4.',
    ]);
  });
});
