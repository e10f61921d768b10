import { expect } from 'chai';
import { SuspendDetector } from './suspenddetector.js';

const cases: [string, [number, number][], number][] = [
  [
    'regular checks',
    [
      [100, 100],
      [100, 100],
      [130, 130],
    ],
    0,
  ],
  [
    'a frozen process, seen on both clocks',
    [
      [100, 100],
      [3000, 3000],
      [100, 100],
    ],
    1,
  ],
  [
    'a paused machine, seen on the wall clock only',
    [
      [100, 100],
      [5, 4500],
      [100, 100],
    ],
    1,
  ],
  [
    'a forward jump of the wall clock',
    [
      [100, 3_600_000],
      [100, 100],
    ],
    1,
  ],
  [
    'a backward jump of the wall clock',
    [
      [100, -3_600_000],
      [100, 100],
    ],
    0,
  ],
  [
    'two suspensions',
    [
      [2000, 2000],
      [100, 100],
      [1, 9000],
    ],
    2,
  ],
];

describe('SuspendDetector', () => {
  for (const [name, steps, want] of cases) {
    it(`detects ${want} for ${name}`, () => {
      let mono = 0,
        wall = 1e12,
        resumptions = 0;
      const detector = SuspendDetector.make(
        { mono: () => mono, wall: () => wall, after: () => () => undefined },
        () => {
          resumptions++;
        },
      );
      for (const [monoStep, wallStep] of steps) {
        mono += monoStep;
        wall += wallStep;
        detector.check();
      }
      expect(resumptions).to.equal(want);
    });
  }
});
