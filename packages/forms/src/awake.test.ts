import { expect } from 'chai';
import { Awake } from './awake.js';

const cases: [string, [number, number][], number][] = [
  [
    'ordinary beats',
    [
      [100, 100],
      [100, 100],
      [130, 130],
    ],
    0,
  ],
  [
    'a frozen process',
    [
      [100, 100],
      [3000, 3000],
      [100, 100],
    ],
    1,
  ],
  [
    'a paused machine',
    [
      [100, 100],
      [5, 4500],
      [100, 100],
    ],
    1,
  ],
  [
    'a wall clock set forward',
    [
      [100, 3_600_000],
      [100, 100],
    ],
    1,
  ],
  [
    'a wall clock set back',
    [
      [100, -3_600_000],
      [100, 100],
    ],
    0,
  ],
  [
    'two sleeps',
    [
      [2000, 2000],
      [100, 100],
      [1, 9000],
    ],
    2,
  ],
];

describe('Awake', () => {
  for (const [name, steps, want] of cases) {
    it(`counts ${want} for ${name}`, () => {
      let mono = 0,
        wall = 1e12,
        woke = 0;
      const a = Awake.make({ mono: () => mono, wall: () => wall, after: () => () => undefined }, () => {
        woke++;
      });
      for (const [m, w] of steps) {
        mono += m;
        wall += w;
        a.look();
      }
      expect(woke).to.equal(want);
    });
  }
});
