import { expect } from 'chai';
import fc from 'fast-check';
import type { Member } from '../membership/member.js';
import { BootstrapRules } from './bootstraprules.js';
import { VoterPlacement } from './voterplacement.js';

/** Members named by their zone and a number, as `a1`; zones are in regions by their letters, as `a` in `ab`. */
const member = (id: string): Member => ({ id, born: 'b', addr: `${id}:1` });
const REGIONS: Readonly<Record<string, string>> = { a: 'ab', b: 'ab', c: 'cd', d: 'cd', e: 'ef', f: 'ef' };
const locate = (m: Member) => ({ zone: m.id[0]!, region: REGIONS[m.id[0]!]! });
const ids = (members: readonly Member[] | undefined): string => (members ?? []).map((m) => m.id).join(' ');
const tolerate = (machines: number, zones: number, regions = 0) => ({ machines, zones, regions });

describe('The placement of votes', () => {
  const chosen: [string, string, ReturnType<typeof tolerate>, string][] = [
    ['takes the first by id where no zone may be lost', 'a1 a2 b1 b2 c1', tolerate(1, 0), 'a1 a2 b1'],
    ['takes one of each zone where a zone may be lost', 'a1 a2 b1 b2 c1', tolerate(1, 1), 'a1 b1 c1'],
    ['spreads five votes over three zones', 'a1 a2 a3 b1 b2 c1', tolerate(2, 1), 'a1 a2 b1 b2 c1'],
    ['takes five zones where two may be lost', 'a1 a2 b1 c1 c2 d1 e1', tolerate(1, 2), 'a1 b1 c1 d1 e1'],
    ['takes one of each region where a region may be lost', 'a1 b1 c1 d1 e1', tolerate(1, 0, 1), 'a1 c1 e1'],
    ['spreads votes over the zones of a region', 'a1 a2 b1 c1 c2 e1', tolerate(2, 1, 1), 'a1 b1 c1 c2 e1'],
  ];
  for (const [name, candidates, tolerance, expected] of chosen) {
    it(name, () => {
      const all = candidates.split(' ').map(member);
      const voters = VoterPlacement.choose(all, VoterPlacement.voterCount(tolerance), tolerance, locate);
      expect(ids(voters)).to.equal(expected);
      expect(VoterPlacement.excess(voters, tolerance, locate)).to.equal(0);
    });
  }
  const swaps: [string, string, string, string | null][] = [
    ['moves a vote out of a zone that holds two', 'a1 a2 b1', 'c1', 'a1>c1'],
    ['moves no vote to a zone that is as full', 'a1 b1 c1', 'a2', null],
    ['moves no vote where nothing is gained by it', 'a1 a2 b1', 'b2', null],
    ['moves no vote without a candidate', 'a1 a2 b1', '', null],
  ];
  for (const [name, voters, candidates, expected] of swaps) {
    it(name, () => {
      const members = (text: string): Member[] => text.split(' ').filter(Boolean).map(member);
      const swap = VoterPlacement.bestSwap(members(voters), members(candidates), tolerate(1, 1), locate);
      expect(swap && `${swap.oldVoter.id}>${swap.newVoter.id}`).to.equal(expected);
    });
  }
  it('leaves a majority after any tolerated loss, wherever some votes of the candidates can', () => {
    const subsets = <T>(all: readonly T[], size: number): T[][] =>
      size === 0 ? [[]] : all.flatMap((x, i) => subsets(all.slice(i + 1), size - 1).map((rest) => [x, ...rest]));
    const survives = (voters: readonly Member[], lost: number, part: 'zone' | 'region'): boolean => {
      const places = [...new Set(voters.map((m) => locate(m)[part]))];
      const left = subsets(places, Math.min(lost, places.length)).map(
        (gone) => voters.filter((m) => !gone.includes(locate(m)[part])).length,
      );
      return left.every((count) => count * 2 > voters.length);
    };
    const zone = fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f');
    const tolerances = [
      tolerate(1, 1),
      tolerate(1, 0, 1),
      tolerate(2, 1),
      tolerate(1, 2),
      tolerate(2, 2),
      tolerate(2, 1, 1),
    ];
    fc.assert(
      fc.property(
        fc.array(zone, { minLength: 5, maxLength: 8 }),
        fc.constantFrom(...tolerances),
        (zones, tolerance) => {
          const all = BootstrapRules.sortedById(zones.map((z, i) => member(`${z}${i}`)));
          const count = VoterPlacement.voterCount(tolerance);
          const bears = (voters: readonly Member[]): boolean =>
            survives(voters, tolerance.zones, 'zone') && survives(voters, tolerance.regions, 'region');
          const voters = VoterPlacement.choose(all, count, tolerance, locate);
          expect(bears(voters)).to.equal(subsets(all, count).some(bears));
          expect(VoterPlacement.excess(voters, tolerance, locate) === 0).to.equal(bears(voters));
        },
      ),
      { numRuns: 500 },
    );
  });
});

describe('A first view', () => {
  const propose = (candidates: string, tolerance: ReturnType<typeof tolerate>) => {
    const all = candidates.split(' ').map(member);
    const view = BootstrapRules.firstView(all, all[0]!, { tolerance, locate });
    return view && `${ids(view.voters)} ${BootstrapRules.bearsTolerance(view, { tolerance, locate })}`;
  };
  const cases: [string, string, ReturnType<typeof tolerate>, string | null][] = [
    ['has one vote in each of three zones', 'a1 a2 b1 b2 c1', tolerate(1, 1), 'a1 b1 c1 true'],
    ['does not bear the loss of a zone with two zones', 'a1 a2 b1 b2', tolerate(1, 1), 'a1 a2 b1 false'],
    ['has fewer votes than two zones need while too few are known', 'a1 b1 c1 d1', tolerate(1, 2), 'a1 b1 c1 false'],
    ['is not proposed by too few for the loss of machines', 'a1 b1', tolerate(1, 1), null],
    ['has one vote where nothing may be lost', 'a1 a2 b1 b2', tolerate(0, 0), 'a1 true'],
    [
      'has nine votes where four machines may be lost',
      'a1 a2 a3 b1 b2 b3 c1 c2 c3 d1',
      tolerate(4, 0),
      'a1 a2 a3 b1 b2 b3 c1 c2 c3 true',
    ],
  ];
  for (const [name, candidates, tolerance, expected] of cases)
    it(name, () => expect(propose(candidates, tolerance)).to.equal(expected));
});
