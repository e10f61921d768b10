import type { Charter } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Target } from './target.js';

type Part = 'prefill' | 'decode';
const ids = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'];
const charter = (fixed: Record<string, Part> = {}): Charter => ({
  sites: ['s'],
  rules: [],
  servers: ids.map((id) => ({ id, site: 's', part: fixed[id] ?? 'either', slots: 4 })),
  casting: { prefill: 2, floor: { prefill: 1, decode: 2 }, swing: true, calm: 5000 },
});
const live = (parts: string) =>
  [...parts].map((c, i) => ({
    id: ids[i]!,
    part: c === 'p' ? ('prefill' as const) : c === 'd' ? ('decode' as const) : null,
  }));
const cases: [string, string, number, boolean, { reads: number; moved: number }, Record<string, Part>?][] = [
  ['a fleet just met', '------', 2, true, { reads: 2, moved: 0 }],
  ['a fleet as wished', 'ppdddd', 2, true, { reads: 2, moved: 0 }],
  ['one reader too few', 'pddddd', 2, true, { reads: 2, moved: 1 }],
  ['three readers too many swap one at a time', 'pppppd', 2, true, { reads: 4, moved: 1 }],
  ['no swap while it is calm', 'pddddd', 2, false, { reads: 1, moved: 0 }],
  ['never below the floor of decode', 'ppppdd', 6, true, { reads: 4, moved: 0 }],
  ['never below the floor of prefill', 'pddddd', 0, true, { reads: 1, moved: 0 }],
  ['a newcomer fills the gap', 'p-dddd', 2, true, { reads: 2, moved: 0 }],
  ['fixed parts stay', 'ddpppp', 1, true, { reads: 3, moved: 1 }, { m3: 'prefill' }],
];

describe('Target', () => {
  for (const [name, parts, wish, swaps, want, fixed] of cases) {
    it(`casts ${name}`, () => {
      const c = charter(fixed),
        now = live(parts);
      const next = now.map((l) => Target.part(c, wish, now, l.id, swaps));
      expect(next.filter((p) => p === 'prefill').length).to.equal(want.reads);
      expect(next.filter((p, i) => now[i]!.part !== null && p !== now[i]!.part).length).to.equal(want.moved);
    });
  }
  it('leaves alone a server the charter does not name', () =>
    expect(Target.part(charter(), 2, [{ id: 'zz', part: null }], 'zz', true)).to.equal(null));
});
