import { Bounds, type Figure } from '@pumicebarrow/sim';
import { expect } from 'chai';
import { InForce } from './inforce.js';
import { RoutedBounds } from './routedbounds.js';
import { RoutedRuns } from './routedruns.js';
import { RoutedWorks } from './routedworks.js';

const SIZES: Record<string, readonly number[]> = {
  routers: [25, 50, 75],
  routedlist: [16, 64, 256],
  routedruns: [8, 27],
  routedroutes: [8, 32, 128],
  routedlongroutes: [400, 800],
  routedlonglist: [4000, 8000],
  desk: [200, 400, 800],
};
/** ms measured of each fleet, fewer than for the page. */
const SPAN = 7000;
/** What depends on the machine, and not on the seed alone. */
const OWN = ['core%', 'heap'];
const counted = (all: readonly Figure[]): Figure[] => all.filter((f) => !OWN.includes(f.unit));

describe('What control of a routed fleet costs, as it was counted', () => {
  const all: Figure[] = [];
  before(async () => {
    for (const [name, sizes] of Object.entries(SIZES))
      for (const n of sizes) all.push(...(await RoutedRuns[name]!.job(n, 7, SPAN)));
  });
  for (const b of RoutedBounds.list) {
    it(`${Bounds.name(b)}: ${b.why}`, () => {
      expect(Bounds.slope(all, b)).to.be.at.most(b.most);
      // A made-up cost that grows by one order more breaks this bound.
      const least = Math.min(...all.filter((f) => f.run === b.run).map((f) => f.at));
      const worse = all.map((f) =>
        f.run === b.run && f.what === b.what ? { ...f, value: (f.value * f.at) / least } : f,
      );
      expect(RoutedBounds.broken(worse)).to.include(Bounds.name(b));
    });
  }
  it('lays nothing out beforehand for prompts that a server may be sent', () => {
    const [heap] = RoutedWorks.prompts(1000);
    expect(heap!.value / 1000).to.be.below(4000);
  });
  it('takes figures that are missing for broken', () => {
    expect(RoutedBounds.broken([])).to.have.length(RoutedBounds.list.length);
  });
  it('counts the same from the same seed', async () => {
    const was = counted(all.filter((f) => f.run === 'routers' && f.at === 25));
    expect(was.length).to.be.greaterThan(30);
    expect(counted(await RoutedRuns['routers']!.job(25, 7, SPAN))).to.deep.equal(was);
  });
  it('counts something else from another seed', async () => {
    const was = counted(all.filter((f) => f.run === 'routers' && f.at === 25));
    expect(counted(await RoutedRuns['routers']!.job(25, 8, SPAN))).not.to.deep.equal(was);
  });
  it('brings every change into force everywhere', () => {
    const rounds = all.filter((f) => f.what === 'a configuration in force, worst' && f.unit === 'ms');
    const fleets = Object.entries(SIZES).flatMap(([name, sizes]) => (name === 'desk' ? [] : sizes));
    expect(rounds).to.have.length(fleets.length);
    for (const f of rounds) expect(f.value).to.be.below(10_000);
  });
});

describe('When a version is in force everywhere', () => {
  const make = () => {
    let now = 0;
    const force = InForce.make(
      () => now,
      () => ['a', 'b'],
    );
    return { force, at: (ms: number) => (now = ms) };
  };
  it('is when the last daemon holds it, and not before', () => {
    const { force, at } = make();
    force.held('a', 'list', [1, 0], 'origin');
    expect(force.times('list', 0, 0)).to.deep.equal([Infinity]);
    at(300);
    force.held('b', 'list', [1, 0], 'sender');
    expect(force.times('list', 0, 0)).to.deep.equal([300]);
    expect(force.share('list', ['sender'])).to.equal(0.5);
  });
  it('is also when the last daemon holds a newer one', () => {
    const { force, at } = make();
    force.held('a', 'list', [1, 0], 'origin');
    at(100);
    force.held('a', 'list', [1, 1], 'origin');
    at(400);
    force.held('b', 'list', [1, 1], 'sender');
    expect(force.times('list', 0, 100)).to.deep.equal([300, 400]);
    expect(force.times('charter', 0, 100)).to.deep.equal([]);
  });
});
