import type { FleetConfiguration } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { StageTarget } from './stagetarget.js';

type Stage = 'prefill' | 'decode';
const ids = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'];
const configuration = (fixed: Record<string, Stage> = {}): FleetConfiguration => ({
  sites: ['s'],
  rules: [],
  servers: ids.map((id) => ({ id, site: 's', part: fixed[id] ?? 'either', slots: 4 })),
  casting: { prefill: 2, floor: { prefill: 1, decode: 2 }, swing: true, calm: 5000 },
});
const live = (stages: string) =>
  [...stages].map((c, i) => ({
    id: ids[i]!,
    part: c === 'p' ? ('prefill' as const) : c === 'd' ? ('decode' as const) : null,
  }));
const cases: [string, string, number, boolean, { prefill: number; switched: number }, Record<string, Stage>?][] = [
  ['a fleet without assignments', '------', 2, true, { prefill: 2, switched: 0 }],
  ['a fleet that is as wanted', 'ppdddd', 2, true, { prefill: 2, switched: 0 }],
  ['one prefill server too few', 'pddddd', 2, true, { prefill: 2, switched: 1 }],
  ['of three prefill servers too many one is switched at a time', 'pppppd', 2, true, { prefill: 4, switched: 1 }],
  ['nothing is switched during the pause between switches', 'pddddd', 2, false, { prefill: 1, switched: 0 }],
  ['decode is never taken below its floor', 'ppppdd', 6, true, { prefill: 4, switched: 0 }],
  ['prefill is never taken below its floor', 'pddddd', 0, true, { prefill: 1, switched: 0 }],
  ['a new server fills the gap', 'p-dddd', 2, true, { prefill: 2, switched: 0 }],
  ['configured stages are kept', 'ddpppp', 1, true, { prefill: 3, switched: 1 }, { m3: 'prefill' }],
];

describe('StageTarget', () => {
  for (const [name, stages, wanted, maySwitch, expected, fixed] of cases) {
    it(`assigns stages: ${name}`, () => {
      const config = configuration(fixed),
        servers = live(stages);
      const next = servers.map((l) => StageTarget.stageFor(config, wanted, servers, l.id, maySwitch));
      expect(next.filter((p) => p === 'prefill').length).to.equal(expected.prefill);
      expect(next.filter((p, i) => servers[i]!.part !== null && p !== servers[i]!.part).length).to.equal(
        expected.switched,
      );
    });
  }
  it('assigns nothing to a server that is not configured', () =>
    expect(StageTarget.stageFor(configuration(), 2, [{ id: 'zz', part: null }], 'zz', true)).to.equal(null));
});
